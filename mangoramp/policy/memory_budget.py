"""Bounds the memory that large statements and answers take in one process.

It answers the load of hundreds of sessions that each send a statement of 1 MB at once:
held together, these exceed the memory of the process, which is killed with all of its
sessions. A claim is granted before the bytes are read; the others wait, so that their
senders are blocked by TCP. Owners take turns, in each owner's order of arrival. A claim
that would wait too long is refused at once, with the time at which its turn would come.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass

BUDGET_PART = 0.4  # of the process's memory; the rest is for all that is not counted
STATE_PART = 0.1  # of the process's memory, for what sessions keep until they end
MAX_WAIT_S = 0.5  # a third of a usual statement's timeout
FIRST_HOLD_S = 0.1  # estimate before the first claim has ended
HOLD_WEIGHT = 0.1  # of the newest sample in the mean
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0


def budget_bytes(memory_bytes: int) -> int:
    """Return the part of a process's memory that claims may take, in bytes."""
    return round(BUDGET_PART * memory_bytes)


def state_bytes(memory_bytes: int) -> int:
    """Return the part of a process's memory that sessions' state may take, in bytes."""
    return round(STATE_PART * memory_bytes)


@dataclass(slots=True, eq=False)
class Claim:
    """A claim to a part of the budget.

    Attributes:
        owner: Whose claim it is.
        size: Bytes claimed.
        on_granted: Called when a claim that waited is granted.
        granted_at: When it was granted, in seconds; None while it waits.
    """

    owner: Hashable
    size: int
    on_granted: Callable[[], None]
    granted_at: float | None = None


@dataclass(frozen=True, slots=True)
class TooLate:
    """A claim would be granted too late.

    Attributes:
        retry_after_s: Seconds until its turn would come.
    """

    retry_after_s: float


class MemoryBudget:
    """Grants claims to memory in turns.

    Args:
        limit: Bytes that claims may take in total. A claim beyond the limit is granted
            if there is no other one.

    Attributes:
        held: Bytes of the granted claims.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self._waiting: OrderedDict[Hashable, deque[Claim]] = OrderedDict()
        self._mean_hold_s = FIRST_HOLD_S
        self._last_return_at = float("-inf")

    @property
    def waiting(self) -> int:
        """The number of claims that wait."""
        return sum(map(len, self._waiting.values()))

    def claim(
        self, owner: Hashable, size: int, now: float, on_granted: Callable[[], None]
    ) -> Claim | TooLate:
        """Claim memory.

        Args:
            owner: Whose claim it is; owners take turns.
            size: Bytes to claim.
            now: The current time, in seconds.
            on_granted: Called when the claim is granted after a wait.

        Returns:
            The claim, which has been granted or waits, or the refusal.
        """
        claim = Claim(owner, size, on_granted)
        if not self._waiting and self._has_room(size):
            self._grant(claim, now)
            return claim
        if self._expected_wait_s(owner, size) > MAX_WAIT_S:
            return self._refuse(owner, size, now)
        self._waiting.setdefault(owner, deque()).append(claim)
        return claim

    def try_claim(self, owner: Hashable, size: int, now: float) -> Claim | TooLate:
        """Claim memory for bytes that have arrived already, and so cannot wait."""
        if not self._has_room(size):
            return self._refuse(owner, size, now)
        claim = Claim(owner, size, _ignore)
        self._grant(claim, now)
        return claim

    def try_resize(self, claim: Claim, size: int, now: float) -> TooLate | None:
        """Change the size of a granted claim, which may grow only if there is room."""
        growth = size - claim.size
        if growth > 0 and self.held + growth > self.limit:
            return self._refuse(claim.owner, growth, now)
        self.resize(claim, size, now)
        return None

    def give_up(self, claim: Claim, now: float) -> TooLate:
        """End the wait of a claim that has waited for too long."""
        self._remove(claim)
        return self._refuse(claim.owner, claim.size, now)

    def resize(self, claim: Claim, size: int, now: float) -> None:
        """Change the size of a granted claim, once the actual size is known."""
        self.held += size - claim.size
        claim.size = size
        self._grant_waiting(now)

    def release(self, claim: Claim, now: float) -> None:
        """End a claim, whether it was granted or waits."""
        if claim.granted_at is None:
            self._remove(claim)
            return
        self.held -= claim.size
        held_s = now - claim.granted_at
        self._mean_hold_s += HOLD_WEIGHT * (held_s - self._mean_hold_s)
        self._grant_waiting(now)

    def _has_room(self, size: int) -> bool:
        return not self.held or self.held + size <= self.limit

    def _grant(self, claim: Claim, now: float) -> None:
        claim.granted_at = now
        self.held += claim.size

    def _grant_waiting(self, now: float) -> None:
        while self._waiting:
            owner, queue = next(iter(self._waiting.items()))
            if not self._has_room(queue[0].size):
                return
            claim = queue.popleft()
            if queue:
                self._waiting.move_to_end(owner)
            else:
                del self._waiting[owner]
            self._grant(claim, now)
            claim.on_granted()

    def _remove(self, claim: Claim) -> None:
        queue = self._waiting.get(claim.owner, deque())
        if claim in queue:
            queue.remove(claim)
        if not queue:
            self._waiting.pop(claim.owner, None)

    def _expected_wait_s(self, owner: Hashable, size: int) -> float:
        turn = len(self._waiting.get(owner, ())) + 1
        ahead = sum(min(len(queue), turn) for queue in self._waiting.values())
        return (ahead + 1) * self._s_per_claim(size)

    def _s_per_claim(self, size: int) -> float:
        return self._mean_hold_s * size / max(size, self.limit)

    def _refuse(self, owner: Hashable, size: int, now: float) -> TooLate:
        # Those who are refused return one after the other.
        turn_at = now + self._expected_wait_s(owner, size)
        next_at = self._last_return_at + self._s_per_claim(size)
        latest_at = now + MAX_RETRY_S
        self._last_return_at = min(max(turn_at, next_at), latest_at)
        return TooLate(max(MIN_RETRY_S, self._last_return_at - now))


def _ignore() -> None:
    """Accept the grant of a claim that did not wait."""
