"""Revisions of the object store, ordered across its restorations from a copy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """A revision of the store within one era.

    A restoration from a copy begins a new era. Revision numbers then go back and are
    given out again, so numbers of different eras cannot be compared.

    Attributes:
        era: The era, which rises with each restoration; 0 if the store reports none.
        number: The revision number within the era.
    """

    era: int = 0
    number: int = 0

    def next(self) -> Revision:
        """Return the lowest revision after this one in the same era."""
        return Revision(self.era, self.number + 1)

    def __str__(self) -> str:
        return f"{self.era}:{self.number}"


NO_REVISION = Revision()
"""Ordered before every revision of the store."""
