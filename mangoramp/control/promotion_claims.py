"""The claims to replace primaries, kept in the store, one for each group."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec
from returns.result import Success

from ..decoding import decode_json, log_unreadable
from ..events import PROMOTION_SKIPPED, emit
from ..platform.client import PlatformClient
from ..policy.authority import is_claim_unseen
from ..policy.duty import (
    FORMER_TENURE_S,
    TENURE_S,
    ClaimView,
    Replacement,
    RevisionAges,
    Tenure,
    wait_to_claim_s,
)
from ..policy.fencing import fencing_token
from ..policy.revision import NO_REVISION, Revision

CLAIM_KIND = "mangoramp-promotion"
MAX_TENURE_MS = 60_000


class Claim(msgspec.Struct, frozen=True):
    """An instance's claim, kept in the store, to replace a group's primary.

    Attributes:
        holder: The instance that made the claim.
        token: Its fencing token, which increases with each claim.
        former: The server to replace, empty if there was no primary.
        former_since: The registry revision at which that server became primary.
        successor: The server to promote.
        former_era: The era of ``former_since``.
        terms: The lowest known position of each term of the group's log, as term and
            number; a former build leaves them out.
        tenure_ms: Milliseconds after the claim in which the holder may call the
            platform; a former build leaves it out.
        is_over: Whether the holder makes no call under this claim any more.
        is_unused: Whether it made none.
        used_at: Era and number of the store's revision of the last claim before this
            one under which a call may have been made.
    """

    holder: str
    token: int
    former: str
    former_since: int
    successor: str
    former_era: int = 0
    terms: tuple[tuple[int, int], ...] = ()
    tenure_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TENURE_MS)] = round(
        FORMER_TENURE_S * 1000
    )
    is_over: bool = False
    is_unused: bool = False
    used_at: tuple[int, int] = (0, 0)

    @property
    def primary_since(self) -> Revision:
        """The registry revision at which the former primary became primary."""
        return Revision(self.former_era, self.former_since)

    @property
    def replacement(self) -> Replacement:
        """The replacement that it is for."""
        return Replacement(self.former, self.primary_since)


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """The latest claim to a group, as read from the store.

    Attributes:
        group: The group's name.
        version: The object's revision, 0 if there is none.
        era: The era of the revision.
        claim: The claim, None if there is none or another writer has replaced it.
    """

    group: str
    version: int
    era: int
    claim: Claim | None

    @property
    def revision(self) -> Revision:
        """The store's revision of the claim."""
        return Revision(self.era, self.version)

    @property
    def used_at(self) -> Revision:
        """The revision of the last claim under which a call may have been made."""
        if self.claim is not None and self.claim.is_unused:
            return Revision(*self.claim.used_at)
        return self.revision if self.version else NO_REVISION


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim of this instance that is in force.

    Attributes:
        claim: The claim.
        tenure: The time in which it allows calls.
    """

    claim: Claim
    tenure: Tenure


class PromotionClaims:
    """Reads the claims to the groups, and makes and ends those of this instance.

    Args:
        name: This instance's name.
        client: The client of the store.
        clock: Returns the time in seconds; counts pauses.
        registry_at: Returns the newest revision of the registry that is known here.
        is_away: Returns whether an instance is silent or stopping.
        heard: Returns when each instance in touch was last heard, in seconds.
        is_fenced: Returns whether the platform refuses a call with an older token.
    """

    def __init__(
        self,
        name: str,
        client: PlatformClient,
        clock: Callable[[], float],
        *,
        registry_at: Callable[[], Revision],
        is_away: Callable[[str], bool],
        heard: Callable[[], Mapping[str, float]],
        is_fenced: Callable[[], bool],
    ) -> None:
        self._name = name
        self._client = client
        self._clock = clock
        self._registry_at = registry_at
        self._is_away = is_away
        self._heard = heard
        self._is_fenced = is_fenced
        self._ages = RevisionAges()
        self._own_tokens: dict[str, int] = {}  # the last one of each group
        self._heard_at: dict[str, float] = {}  # also of instances that have left
        self._started_at = clock()

    def observe(self) -> None:
        """Record which revisions are known now, and who is in touch, to date calls."""
        self._ages.record(self._clock(), self._registry_at())
        self._heard_at.update(self._heard())

    async def read(self, group: str) -> StoredClaim | None:
        """Read the latest claim to a group; None if the store does not answer."""
        found = await self._client.get(CLAIM_KIND, group, msgspec.Raw)
        if not isinstance(found, Success):
            emit(PROMOTION_SKIPPED, group=group, reason=found.failure().message)
            return None
        known = found.unwrap()
        claim = _decode_claim(group, known.version, known.value)
        stored = StoredClaim(group, known.version, known.era, claim)
        self._ages.record(self._clock(), stored.revision)
        return stored

    def wait_s(self, stored: StoredClaim, decided: Replacement) -> float:
        """Return the seconds until this instance may replace a claim by its own.

        Args:
            stored: The latest claim.
            decided: The replacement to claim.
        """
        claim = stored.claim
        if claim is None:
            return 0.0
        now = self._clock()
        self.observe()
        is_unseen = claim.successor != decided.former and is_claim_unseen(
            stored.used_at, self._registry_at()
        )
        is_own_name = claim.holder == self._name
        view = ClaimView(
            age_s=self._ages.age_s(stored.revision, now),
            tenure_s=claim.tenure_ms / 1000,
            is_own=is_own_name and claim.token == self._own_tokens.get(stored.group),
            is_own_name=is_own_name,
            is_over=claim.is_over,
            is_unused=claim.is_unused,
            is_away=self._is_away(claim.holder),
            silent_s=now - self._heard_at.get(claim.holder, self._started_at),
            is_unseen=is_unseen,
            is_settled=claim.replacement != decided and not is_unseen,
        )
        return wait_to_claim_s(view, is_fenced=self._is_fenced())

    async def make(
        self,
        stored: StoredClaim,
        decided: Replacement,
        successor: str,
        terms: tuple[tuple[int, int], ...],
    ) -> HeldClaim | None:
        """Replace a claim by one of this instance.

        Args:
            stored: The claim to replace, as it was read.
            decided: The replacement to claim.
            successor: The server to promote.
            terms: The lowest known position of each term, as term and number.

        Returns:
            None if another instance was quicker, or it is unknown whether the claim
            was made.
        """
        used_at = stored.used_at
        claim = Claim(
            holder=self._name,
            token=fencing_token(stored.revision),
            former=decided.former,
            former_since=decided.since.number,
            successor=successor,
            former_era=decided.since.era,
            terms=terms,
            tenure_ms=round(TENURE_S * 1000),
            used_at=(used_at.era, used_at.number),
        )
        tenure = Tenure(self._clock())
        self._own_tokens[stored.group] = claim.token
        if await self._put(stored, claim):
            return HeldClaim(claim, tenure)
        emit(PROMOTION_SKIPPED, group=stored.group, reason="the claim was not made")
        return None

    async def end(
        self,
        group: str,
        claim: Claim,
        terms: tuple[tuple[int, int], ...],
        *,
        is_unused: bool,
    ) -> None:
        """Tell the others that no call will be made under a claim any more.

        Args:
            group: The group's name.
            claim: The claim, of this instance.
            terms: The lowest known position of each term, as term and number.
            is_unused: Whether no call was made.
        """
        stored = await self.read(group)
        if stored is None or stored.claim != claim:
            return  # a newer claim has the terms that its holder knows
        changed = msgspec.structs.replace(
            claim, terms=terms, is_over=True, is_unused=is_unused
        )
        await self._put(stored, changed)

    async def _put(self, stored: StoredClaim, claim: Claim) -> bool:
        put = await self._client.put(
            CLAIM_KIND, stored.group, claim, version=stored.version, era=stored.era
        )
        return isinstance(put, Success) and put.unwrap()


def _decode_claim(name: str, version: int, raw: msgspec.Raw | None) -> Claim | None:
    if raw is None:
        return None
    try:
        return decode_json(raw, Claim)
    except ValueError as exc:
        log_unreadable(CLAIM_KIND, name, version, exc)
        return None
