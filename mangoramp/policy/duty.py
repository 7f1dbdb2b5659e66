"""Decides which instance carries out a promotion, and until when it may send it.

Answers holders of the duty that are late, paused, cut off or ended between any two
steps. A promotion that is sent on an old decision deposes a healthy primary, and two
holders in turn undo each other's promotions. A claim in the store names the holder. Its
calls end with its tenure, which it counts from before the claim was written. The others
count from when they first knew that the claim existed, so that their wait ends later.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .lease import MAX_CLOCK_DRIFT
from .revision import NO_REVISION, Revision

LEASE_S = 3.0  # in which no second holder acts while the first is in touch
TENURE_S = 2.6  # a former build takes a claim over after 3 s
FORMER_TENURE_S = 6.5  # a former build sends three requests of up to 2 s
MIN_CALL_S = 0.5  # of the tenure left at the start of a call; most answers take less
MAX_HEARD_GAP_S = 0.5  # between two reports of an instance, one of them lost
UNSEEN_S = 3.0  # until the effect of a claim is known here or never comes
MAX_CLAIMS_IN_A_ROW = 3  # without an answer; then another instance gets its turn
HAND_OVER_S = 1.0  # for others to claim after a holder that could not call
MAX_REVISION_AGE_S = 30.0  # longer than any wait for a claim


@dataclass(frozen=True, slots=True)
class ClaimView:
    """What an instance knows of the latest claim to a group.

    Attributes:
        age_s: Seconds for which it has existed at least.
        tenure_s: Seconds after its writing in which its holder may call.
        is_own: Whether this process made it or tried to.
        is_own_name: Whether an instance of this name made it.
        is_over: Whether its holder will make no call under it any more.
        is_unused: Whether its holder made no call at all.
        is_away: Whether its holder is silent or stopping.
        silent_s: Seconds since its holder was last heard, 0 if it is in touch.
        is_unseen: Whether it may have changed the registry since that was last seen.
        is_settled: Whether the registry shows that it was for an earlier change.
    """

    age_s: float
    tenure_s: float
    is_own: bool = False
    is_own_name: bool = False
    is_over: bool = False
    is_unused: bool = False
    is_away: bool = False
    silent_s: float = 0.0
    is_unseen: bool = False
    is_settled: bool = False


def wait_to_claim_s(claim: ClaimView, *, is_fenced: bool) -> float:
    """Return the seconds until a claim may be replaced by one of this instance.

    Args:
        claim: The latest claim.
        is_fenced: Whether the platform refuses a call with an older token.
    """
    if claim.is_own:
        return 0.0
    wait_s = UNSEEN_S - claim.age_s if claim.is_unseen else 0.0
    if not claim.is_own_name and not claim.is_unused:
        calls_end_s = _calls_end_s(claim, is_fenced=is_fenced)
        last_call_s = claim.age_s - calls_end_s
        if claim.silent_s > MAX_HEARD_GAP_S:
            # A call of a holder that is not in touch any more takes no turn.
            last_call_s = max(last_call_s, claim.silent_s - MAX_HEARD_GAP_S)
        wait_s = max(wait_s, calls_end_s - claim.age_s, LEASE_S - last_call_s)
    return max(0.0, wait_s)


def _calls_end_s(claim: ClaimView, *, is_fenced: bool) -> float:
    """Return the age of a claim after which its holder surely sends no call."""
    # A call of an absent holder that arrives after the next one is refused.
    is_harmless = is_fenced and claim.is_away and claim.is_settled
    if claim.is_over or is_harmless:
        return 0.0
    return claim.tenure_s * (1 + MAX_CLOCK_DRIFT)


@dataclass(frozen=True, slots=True)
class Tenure:
    """The time in which the holder of a claim may call.

    Attributes:
        began_at: When the claim was made, before it was sent to the store, in seconds
            of a clock that counts pauses.
    """

    began_at: float

    def left_s(self, now: float) -> float:
        """Return the seconds until all calls must have ended."""
        return self.began_at + TENURE_S - now

    def may_call(self, now: float) -> bool:
        """Return whether there is time for a call and its answer."""
        return self.left_s(now) >= MIN_CALL_S


@dataclass(frozen=True, slots=True)
class Replacement:
    """The decision to replace a group's primary.

    Attributes:
        former: The id of the primary, empty if there is none.
        since: The registry revision at which it became the primary.
    """

    former: str
    since: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a group between two steps of a replacement.

    Attributes:
        primary: The id of the primary, empty if there is none.
        since: The registry revision at which it became the primary.
        is_due: Whether there is still a reason to replace it.
        wait_reason: Why this instance must not act now, empty if it may.
        successor_fault: Why the successor cannot be promoted, empty if it can.
    """

    primary: str
    since: Revision = NO_REVISION
    is_due: bool = True
    wait_reason: str = ""
    successor_fault: str = ""


def reason_to_stop(decided: Replacement, found: Situation) -> str:
    """Return why a replacement must not go on, empty if it may.

    A group that has lost its primary since still needs the successor.
    """
    if found.wait_reason:
        return found.wait_reason
    if found.primary and found.primary != decided.former:
        return f"{found.primary} is the primary now"
    if found.primary and found.since != decided.since:
        return f"{found.primary} has become the primary again"
    if found.primary and not found.is_due:
        return f"{found.primary} need not be replaced any more"
    return found.successor_fault


class RevisionAges:
    """Tells how long a revision of the store has existed at least.

    Objects of the store carry no time that instances could compare with their clocks.
    An object existed by the time when its revision, or a higher one, was known here.
    """

    def __init__(self) -> None:
        self._known: deque[tuple[float, Revision]] = deque()

    def record(self, now: float, revision: Revision) -> None:
        """Record that a revision is known, with the time in seconds."""
        if not self._known or revision > self._known[-1][1]:
            self._known.append((now, revision))
        while len(self._known) > 1 and now - self._known[1][0] > MAX_REVISION_AGE_S:
            self._known.popleft()

    def age_s(self, revision: Revision, now: float) -> float:
        """Return the least age of a revision in seconds, 0 if it was never known."""
        found = (now - at for at, known in self._known if known >= revision)
        return next(found, 0.0)
