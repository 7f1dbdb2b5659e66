"""Reports of the instances' states to one another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from ..decoding import MAX_INTEGER
from ..policy.hubs import HubFields
from ..policy.revision import Revision

NEW_PROOF_MS = 700  # two reports; receivers add the time since then themselves
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class Proof(msgspec.Struct, frozen=True, array_like=True):
    """That the sender of a report knew all changes in the store some time ago.

    Attributes:
        age_ms: Milliseconds since then.
        revision: The store's revision of then.
        era: The era of the revision.
        hops: How often it was passed on from the instance that the store answered to
            the sender.
    """

    age_ms: _Number
    revision: _Number
    era: _Number = 0
    hops: _Number = 0

    @property
    def known_to(self) -> Revision:
        """The revision up to which all changes were known."""
        return Revision(self.era, self.revision)

    @property
    def is_own_and_new(self) -> bool:
        """Whether the store has just answered the sender itself."""
        return self.hops == 0 and self.age_ms <= NEW_PROOF_MS


class Confirmed(msgspec.Struct, frozen=True, array_like=True):
    """The latest proofs of what the sender of a report follows in the store.

    Attributes:
        configuration: The proof for the configuration, None if there is none.
        registry: The proof for the server registry, None if there is none.
        evacuations: The proof for the evacuations, None if there is none.
    """

    configuration: Proof | None = None
    registry: Proof | None = None
    evacuations: Proof | None = None


def _own_and_new(proof: Proof | None) -> Proof | None:
    return proof if proof is not None and proof.is_own_and_new else None


class Report(msgspec.Struct, frozen=True, array_like=True):
    """The status of one instance.

    Attributes:
        name: The instance's name.
        incarnation: Random id of its process.
        number: Sequence number within the process.
        is_leaving: Whether the process is about to exit.
        is_draining: Whether it accepts no new work.
        revision: The revision of the configuration that it has in force.
        registry_revision: The latest registry revision that it knows.
        spent: Operations admitted since its start, by customer; counts of missing
            customers are unchanged.
        heard: Milliseconds since each primary last answered it, by the checksum of
            group and primary; None if left out of this report.
        strength: Its relative capacity.
        failure_domain: The failure domain it runs in.
        is_current: Whether its calls to the store, if any, are answered.
        version: The version of the configuration that it has in force.
        era: The era of ``registry_revision``.
        hub: What the membership of a large fleet needs, None between few instances.
        evacuations_at: Era and number of the newest revision of the evacuations that it
            knows, None if it knows none.
        is_isolated: Whether it hears no other failure domain any more.
        confirmed: How long ago it knew all changes in the store; None in reports of
            former builds.
        knows_hubs: Whether its build reports through hubs in a large fleet. Former
            builds that do say so only by ``hub``.
    """

    name: str
    incarnation: int
    number: int
    is_leaving: bool = False
    is_draining: bool = False
    revision: int = 0
    registry_revision: int = 0
    spent: dict[str, int] = {}
    heard: dict[int, int] | None = None
    strength: int = 1
    failure_domain: str = ""
    is_current: bool = True
    version: int = 0
    era: int = 0
    hub: HubFields | None = None
    evacuations_at: tuple[int, int] | None = None
    is_isolated: bool = False
    confirmed: Confirmed | None = None
    knows_hubs: bool = False

    @property
    def registry_at(self) -> Revision:
        """The latest registry revision that the instance knows."""
        return Revision(self.era, self.registry_revision)

    def with_own_proofs(self) -> Report:
        """Return a report for instances that hear all who have proofs themselves."""
        if self.confirmed is None:
            return self
        proofs = (
            _own_and_new(self.confirmed.configuration),
            _own_and_new(self.confirmed.registry),
            _own_and_new(self.confirmed.evacuations),
        )
        confirmed = Confirmed(*proofs) if any(proofs) else None
        return msgspec.structs.replace(self, confirmed=confirmed)


@dataclass(frozen=True, slots=True)
class KnownState:
    """How much of the store's state an instance knows.

    Attributes:
        version: The version of the configuration in force.
        registry: The latest registry revision.
        revision: The number of the configuration's revision in the store.
        evacuations: The newest revision of the evacuations, None if unknown.
        follows_evacuations: Whether the instance uses evacuations.
    """

    version: int
    registry: Revision
    revision: int = 0
    evacuations: Revision | None = None
    follows_evacuations: bool = False

    def is_behind(self, report: Report) -> bool:
        """Return whether the sender of a report knows more."""
        return bool(self.missing(report))

    def is_behind_on_configuration(self, report: Report) -> bool:
        """Return whether the sender of a report has a newer configuration in force."""
        if report.version:
            return report.version > self.version
        return report.revision > self.revision  # a former build reports no version

    def missing(self, report: Report) -> tuple[str, ...]:
        """Return the names of what the sender of a report knows more of."""
        parts = {
            "configuration": self.is_behind_on_configuration(report),
            "registry": report.registry_at > self.registry,
            "evacuations": self._is_behind_on_evacuations(report),
        }
        return tuple(name for name, is_missing in parts.items() if is_missing)

    def _is_behind_on_evacuations(self, report: Report) -> bool:
        if not self.follows_evacuations or report.evacuations_at is None:
            return False
        known = self.evacuations
        return known is None or Revision(*report.evacuations_at) > known


def merge_reports(report: Report, previous: Report) -> Report:
    """Return a report with what only the previous one of the same process has."""
    heard = previous.heard if report.heard is None else report.heard
    return msgspec.structs.replace(
        report, spent=previous.spent | report.spent, heard=heard
    )
