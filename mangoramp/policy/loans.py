"""A token bucket of one failure domain that lends to and borrows from other domains.

Lent tokens leave the lender's bucket before they reach the borrower, and they expire at
the borrower before the lender uses that capacity again. All buckets and loans together
therefore never exceed the burst, nor refill faster than the rate, even if messages are
lost, delayed or duplicated.
"""

from __future__ import annotations

from dataclasses import dataclass

from .token_bucket import TokenBucket

LOAN_TTL_S = 0.5
"""Seconds from the ask until borrowed tokens expire."""
SHARE_TTL_S = 1.0
"""Seconds from the ask until a borrowed share expires."""
CLOCK_DRIFT = 0.02
"""The most by which two clocks may differ in rate, as a fraction."""
LOAN_HOLD_S = LOAN_TTL_S * (1 + CLOCK_DRIFT)
"""Seconds for which a lender sets aside the capacity of a loan."""
SHARE_HOLD_S = (SHARE_TTL_S + LOAN_HOLD_S) * (1 + CLOCK_DRIFT)
"""Seconds for which a lender does not use its lent share.

Includes a loan's time, as the borrower may lend tokens of the share to others.
"""
EPSILON = 1e-9
"""Amounts of tokens up to this are treated as rounding errors."""


@dataclass(frozen=True, slots=True)
class LoanEnd:
    """The end of a loan, reported by the borrower.

    Attributes:
        number: The number of the ask that the loan was granted for.
        unused: The number of unused tokens, which are returned.
    """

    number: int
    unused: float


@dataclass(frozen=True, slots=True)
class Share:
    """A part of a customer's rate and burst.

    Attributes:
        rate: Tokens per second.
        burst: The most tokens that accumulate.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Ask:
    """A request for tokens to another failure domain.

    Attributes:
        lender: The domain that is asked.
        borrower: The asking domain's home; unique to each run of the home.
        number: The ask's number, unique for the borrower.
        need: The number of tokens that requests are waiting for.
        want: The total number of tokens wanted; 0 if the ask only ends loans.
        share: Whether to borrow the lender's whole share for a limited time.
        ended: Earlier loans from this lender that have ended.
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
    """The answer to an ask.

    Attributes:
        lender: The domain that lends.
        borrower: The home that asked.
        number: The ask's number.
        tokens: The number of tokens lent, 0 if the lender has none to spare.
        left: The number of tokens that the lender can still spare.
        share: The share lent, None if none is lent.
    """

    lender: str
    borrower: str
    number: int
    tokens: float
    left: float
    share: Share | None = None


@dataclass(slots=True)
class Loan:
    """Borrowed tokens and the time at which they expire, in seconds."""

    lender: str
    number: int
    tokens: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Lent:
    tokens: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _LentShare:
    borrower: str
    share: Share
    expires_at: float


@dataclass(frozen=True, slots=True)
class _BorrowedShare:
    share: Share
    expires_at: float


class LendingBucket:
    """The token bucket of one domain, with the loans it gave and received.

    Args:
        own: The domain's own share.
        now: The current time, in seconds. The bucket starts empty.
    """

    def __init__(self, own: Share, now: float) -> None:
        self._own = own
        self._bucket = TokenBucket(own.rate, own.burst, now=now)
        self._lent: dict[tuple[str, int], _Lent] = {}
        self._lent_share: _LentShare | None = None
        self._borrowed_shares: dict[str, _BorrowedShare] = {}
        self._borrowed: list[Loan] = []

    @property
    def share(self) -> Share:
        """The current rate and burst, adjusted for shares lent and borrowed."""
        return Share(self._bucket.rate, self._bucket.burst)

    @property
    def loans(self) -> tuple[Loan, ...]:
        """The loans with unused borrowed tokens."""
        return tuple(self._borrowed)

    def expire(self, now: float) -> None:
        """End the loans and shares whose time has passed."""
        self._expire_shares(now)
        for key in [k for k, lent in self._lent.items() if now >= lent.expires_at]:
            self._bucket.release_room(self._lent.pop(key).tokens, now)
        if self._lent_share is not None and now >= self._lent_share.expires_at:
            self._lent_share = None
            self._apply_shares(now)
        self._borrowed = [loan for loan in self._borrowed if now < loan.expires_at]

    def resize(self, own: Share, now: float) -> None:
        """Change the domain's own share."""
        self._own = own
        self._apply_shares(now)

    def level(self, now: float) -> float:
        """Return the number of tokens in the bucket, without borrowed ones."""
        return self._bucket.level(now)

    def available(self, now: float) -> float:
        """Return the number of tokens that can be used now, with borrowed ones."""
        return self._bucket.level(now) + sum(loan.tokens for loan in self._borrowed)

    def spend_token(self, now: float) -> tuple[Loan, ...]:
        """Use one token, preferring borrowed tokens that expire first.

        Returns:
            The loans that are now used up.
        """
        left = 1.0
        used_up = []
        self._borrowed.sort(key=lambda loan: loan.expires_at)
        while self._borrowed and left > EPSILON:
            loan = self._borrowed[0]
            used = min(left, loan.tokens)
            loan.tokens -= used
            left -= used
            if loan.tokens <= EPSILON:
                used_up.append(self._borrowed.pop(0))
        self._bucket.acquire_up_to(left, now)
        return tuple(used_up)

    def add_loan(self, loan: Loan) -> None:
        """Add a loan of borrowed tokens."""
        self._borrowed.append(loan)

    def remove_loan(self, loan: Loan) -> None:
        """Stop using a loan, so that its tokens can be returned."""
        self._borrowed.remove(loan)

    def add_share(
        self, lender: str, share: Share, tokens: float, *, expires_at: float, now: float
    ) -> None:
        """Add or renew a borrowed share, with the tokens granted with it."""
        self._borrowed_shares[lender] = _BorrowedShare(share, expires_at)
        self._apply_shares(now)
        self._bucket.release_room(0.0, now, returned=tokens)

    def share_expires_at(self, lender: str) -> float:
        """Return when the share borrowed from a domain expires, 0 if there is none."""
        known = self._borrowed_shares.get(lender)
        return known.expires_at if known is not None else 0.0

    def lend(self, borrower: str, number: int, limit: float, now: float) -> float:
        """Lend tokens for an ask; a repeated ask returns the same loan.

        Returns:
            The number of tokens lent.
        """
        key = (borrower, number)
        if key in self._lent:
            return self._lent[key].tokens
        tokens = self._bucket.acquire_up_to(limit, now)
        if tokens > EPSILON:
            self._bucket.reserve_room(tokens, now)
            self._lent[key] = _Lent(tokens, now + LOAN_HOLD_S)
        return tokens

    def end_loan(self, borrower: str, ended: LoanEnd, now: float) -> None:
        """Take back the unused tokens of a loan; an unknown loan is ignored."""
        lent = self._lent.pop((borrower, ended.number), None)
        if lent is not None:
            unused = min(ended.unused, lent.tokens)
            self._bucket.release_room(lent.tokens, now, returned=unused)

    def lend_share(self, borrower: str, now: float) -> tuple[Share, float] | None:
        """Lend the domain's whole own share, or renew its loan.

        Returns:
            The share and the tokens lent with it, None if another home borrows it.
        """
        lent = self._lent_share
        if lent is not None and lent.borrower != borrower:
            return None
        tokens = self._bucket.acquire_up_to(self._own.burst, now)
        lent_tokens = sum(lent.tokens for lent in self._lent.values())
        share = Share(self._own.rate, max(0.0, self._own.burst - lent_tokens))
        self._lent_share = _LentShare(borrower, share, now + SHARE_HOLD_S)
        self._apply_shares(now)
        return share, min(tokens, share.burst)

    def _expire_shares(self, now: float) -> None:
        expired = [
            (s.expires_at, name)
            for name, s in self._borrowed_shares.items()
            if now >= s.expires_at
        ]
        for expires_at, name in sorted(expired):
            del self._borrowed_shares[name]
            self._apply_shares(expires_at)

    def _apply_shares(self, now: float) -> None:
        rate = self._own.rate
        burst = self._own.burst
        if self._lent_share is not None:
            rate = max(0.0, rate - self._lent_share.share.rate)
            burst = max(0.0, burst - self._lent_share.share.burst)
        rate += sum(borrowed.share.rate for borrowed in self._borrowed_shares.values())
        burst += sum(
            borrowed.share.burst for borrowed in self._borrowed_shares.values()
        )
        self._bucket.resize(rate, burst, now)
