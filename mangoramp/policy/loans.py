"""A domain's bucket that lends to other domains, and borrows from them.

What is lent leaves the lender first and is void for the borrower before the lender
counts on it again. So the buckets and the loans of all domains together never hold
more than the burst, and never refill faster than the rate, whatever messages are lost,
late or doubled.
"""

from __future__ import annotations

from dataclasses import dataclass

from .rate import Bucket

LOAN_S = 0.5
"""Seconds from the ask until borrowed tokens are void."""
SHARE_S = 1.0
"""Seconds from the ask until a borrowed share is void."""
CLOCK_DRIFT = 0.02
"""By how much two clocks may differ in speed."""
LOAN_HOLD_S = LOAN_S * (1 + CLOCK_DRIFT)
"""Seconds for which a lender does without the tokens of a loan."""
SHARE_HOLD_S = (SHARE_S + LOAN_HOLD_S) * (1 + CLOCK_DRIFT)
"""Seconds for which a lender does without its share; its borrower may lend from it."""
EPSILON = 1e-9
"""Tokens that are lost in rounding."""


@dataclass(frozen=True, slots=True)
class LoanEnd:
    """A loan that the borrower is done with.

    Attributes:
        number: The number of its ask.
        unused: Tokens of it that come back.
    """

    number: int
    unused: float


@dataclass(frozen=True, slots=True)
class Share:
    """A part of a customer's rate and burst.

    Attributes:
        rate: Tokens a second.
        burst: Tokens at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Ask:
    """Asks another domain for tokens.

    Attributes:
        lender: The domain that is asked.
        borrower: The asking domain's home, unique to this run of it.
        number: The ask's number, unique to the borrower.
        need: Tokens that requests wait for.
        want: Tokens wanted in all; 0 only ends loans.
        share: Whether the lender's whole share is wanted for a while.
        ended: Earlier loans of this lender that are over.
    """

    lender: str
    borrower: str
    number: int
    need: float
    want: float
    share: bool = False
    ended: tuple[LoanEnd, ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """What is lent on an ask.

    Attributes:
        lender: The domain that lends.
        borrower: The home that asked.
        number: The ask's number.
        tokens: Tokens lent, 0 if there are none to spare.
        left: Tokens that the lender has left.
        share: The share lent, None if none is.
    """

    lender: str
    borrower: str
    number: int
    tokens: float
    left: float
    share: Share | None = None


@dataclass(slots=True)
class Loan:
    """Tokens that were borrowed and can be used until they are void."""

    lender: str
    number: int
    tokens: float
    until: float


@dataclass(frozen=True, slots=True)
class _Lent:
    tokens: float
    until: float


@dataclass(frozen=True, slots=True)
class _LentShare:
    borrower: str
    share: Share
    until: float


@dataclass(frozen=True, slots=True)
class _BorrowedShare:
    share: Share
    until: float


class LendingBucket:
    """The bucket of one domain, with what it lent and borrowed.

    Args:
        own: The domain's own share.
        now: The time, in seconds. The bucket begins empty.
    """

    def __init__(self, own: Share, now: float) -> None:
        self._own = own
        self._bucket = Bucket(own.rate, own.burst, now=now)
        self._lent: dict[tuple[str, int], _Lent] = {}
        self._lent_share: _LentShare | None = None
        self._shares: dict[str, _BorrowedShare] = {}
        self._loans: list[Loan] = []

    @property
    def share(self) -> Share:
        """What the bucket refills at and holds now, with shares lent and borrowed."""
        return Share(self._bucket.rate, self._bucket.burst)

    @property
    def loans(self) -> tuple[Loan, ...]:
        """The borrowed tokens that are not used yet."""
        return tuple(self._loans)

    def settle(self, now: float) -> None:
        """End what is over by now."""
        self._void_shares(now)
        for key in [k for k, lent in self._lent.items() if now >= lent.until]:
            self._bucket.release(self._lent.pop(key).tokens, now)
        if self._lent_share is not None and now >= self._lent_share.until:
            self._lent_share = None
            self._apply(now)
        self._loans = [loan for loan in self._loans if now < loan.until]

    def resize(self, own: Share, now: float) -> None:
        """Take over a changed share."""
        self._own = own
        self._apply(now)

    def level(self, now: float) -> float:
        """Tokens in the bucket, without those borrowed."""
        return self._bucket.level(now)

    def available(self, now: float) -> float:
        """Tokens that can be used now."""
        return self._bucket.level(now) + sum(loan.tokens for loan in self._loans)

    def spend(self, now: float) -> tuple[Loan, ...]:
        """Use one token, a borrowed one first.

        Returns:
            The loans that are used up by this.
        """
        left = 1.0
        over = []
        self._loans.sort(key=lambda loan: loan.until)
        while self._loans and left > EPSILON:
            loan = self._loans[0]
            used = min(left, loan.tokens)
            loan.tokens -= used
            left -= used
            if loan.tokens <= EPSILON:
                over.append(self._loans.pop(0))
        self._bucket.draw(left, now)
        return tuple(over)

    def borrow(self, loan: Loan) -> None:
        """Take in borrowed tokens."""
        self._loans.append(loan)

    def give_back(self, loan: Loan) -> None:
        """Stop counting on a loan."""
        self._loans.remove(loan)

    def borrow_share(
        self, lender: str, share: Share, tokens: float, *, until: float, now: float
    ) -> None:
        """Take in or renew a borrowed share, with the tokens that came with it."""
        self._shares[lender] = _BorrowedShare(share, until)
        self._apply(now)
        self._bucket.release(0.0, now, returned=tokens)

    def share_until(self, lender: str) -> float:
        """When the share borrowed from a domain is void, in seconds; 0 if none is."""
        known = self._shares.get(lender)
        return known.until if known is not None else 0.0

    def lend(self, borrower: str, number: int, most: float, now: float) -> float:
        """Lend tokens; the same ask is lent once.

        Returns:
            The tokens lent.
        """
        key = (borrower, number)
        if key in self._lent:
            return self._lent[key].tokens
        tokens = self._bucket.draw(most, now)
        if tokens > EPSILON:
            self._bucket.hold(tokens, now)
            self._lent[key] = _Lent(tokens, now + LOAN_HOLD_S)
        return tokens

    def end(self, borrower: str, ended: LoanEnd, now: float) -> None:
        """Take back what is left of a loan; one that is unknown or over is nothing."""
        lent = self._lent.pop((borrower, ended.number), None)
        if lent is not None:
            unused = min(ended.unused, lent.tokens)
            self._bucket.release(lent.tokens, now, returned=unused)

    def lend_share(self, borrower: str, now: float) -> tuple[Share, float] | None:
        """Lend the whole own share, or renew the loan of it.

        Returns:
            The share and the tokens that go with it, None if somebody else has it.
        """
        lent = self._lent_share
        if lent is not None and lent.borrower != borrower:
            return None
        tokens = self._bucket.draw(self._own.burst, now)
        out = sum(lent.tokens for lent in self._lent.values())
        share = Share(self._own.rate, max(0.0, self._own.burst - out))
        self._lent_share = _LentShare(borrower, share, now + SHARE_HOLD_S)
        self._apply(now)
        return share, min(tokens, share.burst)

    def _void_shares(self, now: float) -> None:
        over = [(s.until, name) for name, s in self._shares.items() if now >= s.until]
        for until, name in sorted(over):
            del self._shares[name]
            self._apply(until)

    def _apply(self, now: float) -> None:
        rate = self._own.rate
        burst = self._own.burst
        if self._lent_share is not None:
            rate = max(0.0, rate - self._lent_share.share.rate)
            burst = max(0.0, burst - self._lent_share.share.burst)
        rate += sum(borrowed.share.rate for borrowed in self._shares.values())
        burst += sum(borrowed.share.burst for borrowed in self._shares.values())
        self._bucket.resize(rate, burst, now)
