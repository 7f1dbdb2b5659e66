"""Distributed rate limiter for one customer, with token loans between failure domains.

Each failure domain owns an equal part of the rate and burst, and a domain that runs
short borrows tokens from others. If the parts of the burst are small, one domain, the
coordinator, borrows the shares of all domains, and the others ask it for tokens. The
choice of coordinator affects only efficiency: the loans alone enforce the total limit.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ._rendezvous import rendezvous
from .loans import (
    EPSILON,
    LOAN_HOLD_S,
    LOAN_TTL_S,
    SHARE_HOLD_S,
    SHARE_TTL_S,
    Ask,
    Grant,
    LendingBucket,
    Loan,
    LoanEnd,
    Share,
)
from .token_bucket import TokenBucket

RETURN_AFTER_S = 0.3
"""Seconds from the ask until unused tokens are returned."""
RENEW_BEFORE_S = 0.5
"""Seconds before its expiry at which a borrowed share is renewed."""
ASK_TIMEOUT_S = 0.1
"""Seconds for which tokens from an unanswered ask are still expected."""
MAX_WAIT_S = 0.1
"""Seconds that a request may wait for a token."""
MAX_WAITING = 512
"""The most requests of one customer that may wait for tokens."""
DEMAND_AVERAGING_S = 0.5
"""Time constant of the demand average, in seconds."""
LOW_STOCK_S = 0.05
"""Seconds of demand; with fewer tokens in stock, more are borrowed in advance."""
BORROW_AHEAD_S = 0.2
"""Seconds of demand that are borrowed in advance."""
MAX_PEERS_PER_ROUND = 3
"""The most peers asked in one round."""
ASK_ROUNDS_PER_S = 40.0
"""Sustained rate of rounds of asks, per second."""
ASK_ROUNDS_BURST = 40.0
"""The most rounds of asks in a burst."""
MIN_ASK_REFILL_S = 0.05
"""Seconds of a peer's refill below which an ask is not worth its message."""
MIN_BACKOFF_S = 0.02
"""The shortest backoff from a peer after a low grant, in seconds; doubles each time."""
MAX_BACKOFF_S = 0.5
"""The longest backoff from a peer, in seconds."""
LOW_GRANT_PART = 0.25
"""The part of the expected tokens below which a grant causes a backoff."""
MIN_ASK_PART = 0.9
"""The part of the target amount from which on an ask is worth its message."""
MIN_RETURN_TOKENS = 0.5
"""Unused tokens from which on a return is worth its message."""
MIN_BURST_PER_DOMAIN = 4.0
"""Burst per domain, in tokens, from which on no coordinator is needed."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A waiting request that gets no token, and the seconds until a retry."""

    ticket: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Decision:
    """The actions to take now.

    Attributes:
        admitted: Tickets of the requests that got a token.
        refused: The requests that are refused.
        asks: The messages to send.
        next_decision_at: The latest time of the next decision, in seconds; None if none
            is due.
    """

    admitted: tuple[int, ...] = ()
    refused: tuple[Refusal, ...] = ()
    asks: tuple[Ask, ...] = ()
    next_decision_at: float | None = None


@dataclass(frozen=True, slots=True)
class _SentAsk:
    lender: str
    want: float
    share: bool
    at: float

    @property
    def expires_at(self) -> float:
        return self.at + (SHARE_TTL_S if self.share else LOAN_TTL_S)


@dataclass(frozen=True, slots=True)
class _Peer:
    left: float
    at: float
    backoff_s: float = 0.0

    def is_backing_off(self, now: float) -> bool:
        return now < self.at + self.backoff_s


@dataclass(frozen=True, slots=True)
class _Waiting:
    ticket: int
    queued_at: float


class FleetBucket:
    """One failure domain's part of a customer's rate and burst.

    Args:
        subject: What the rate applies to; determines the coordinator.
        domain: This failure domain.
        home: The name of this home; unique to each run of the home.
        domains: The number of failure domains that share the rate and burst.
        rate: Requests per second, over the whole fleet.
        burst: The most requests at once, over the whole fleet.
        now: When this home started, in seconds; it starts without tokens.
        holds: Returns whether this home's lease, as currently known, covers a time.
            Nothing is admitted after the lease ends, and nothing is lent beyond it.
        settled_at: When all loans of a predecessor have ended, in seconds, if it gave
            the home up before its lease ended; the own share is not used before then.
    """

    def __init__(
        self,
        subject: str,
        domain: str,
        home: str,
        *,
        domains: int,
        rate: float,
        burst: float,
        now: float,
        holds: Callable[[float], bool] = lambda now: True,
        settled_at: float = -math.inf,
    ) -> None:
        self.subject = subject
        self.domain = domain
        self.home = home
        self.rate = rate
        self.burst = burst
        self._domains = domains
        self._holds = holds
        self._settled_at = settled_at
        self._is_settled = now >= settled_at
        own = self._own_share if self._is_settled else Share(0.0, 0.0)
        self._bucket = LendingBucket(own, now)
        self._ended: dict[str, list[LoanEnd]] = {}
        self._sent: dict[int, _SentAsk] = {}
        self._peers: dict[str, _Peer] = {}
        self._share_retry_at: dict[str, float] = {}
        self._waiting: deque[_Waiting] = deque()
        self._last_ask_number = 0
        self._ask_rounds = TokenBucket(
            ASK_ROUNDS_PER_S, ASK_ROUNDS_BURST, now=now, level=ASK_ROUNDS_BURST
        )
        self._demand = 0.0
        self._demand_at = now

    def enqueue(self, ticket: int, now: float) -> None:
        """Add a request that waits for a token; the next decision may admit it."""
        self._demand = self._decayed_demand(now) + 1.0
        self._demand_at = now
        self._waiting.append(_Waiting(ticket, now))

    def cancel(self, ticket: int) -> None:
        """Remove a request whose caller has disconnected."""
        self._waiting = deque(w for w in self._waiting if w.ticket != ticket)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Apply a changed rate and burst."""
        self._expire(now)
        self.rate = rate
        self.burst = burst
        if self._is_settled:
            self._bucket.resize(self._own_share, now)

    def available(self, now: float) -> float:
        """Return the number of tokens that can be used here now."""
        self._expire(now)
        return self._bucket.available(now)

    def decide(self, now: float, peers: Sequence[str]) -> Decision:
        """Admit or refuse waiting requests, and ask other domains for tokens.

        Args:
            now: The current time, in seconds.
            peers: The other domains that can be asked.

        Returns:
            The actions to take now. Nothing is admitted after the lease has ended.
        """
        if not self._holds(now):
            return Decision(refused=self._refuse_all())
        self._expire(now)
        admitted = self._admit(now)
        asks = self._share_asks(now, peers) + self._token_asks(now, peers)
        refused = self._refuse(now, peers)
        returns = self._loan_returns(now)
        return Decision(
            admitted, refused, asks + returns, self._next_decision_at(now, peers)
        )

    def lend(self, ask: Ask, now: float) -> Grant:
        """Answer another domain's ask, deducting the lent tokens from this bucket.

        Args:
            ask: The ask; a duplicate is granted the same loan, not another one.
            now: The current time, in seconds.
        """
        self._expire(now)
        for ended in ask.ended:
            self._bucket.end_loan(ask.borrower, ended, now)
        tokens = 0.0
        share = None
        if ask.share and self._holds(now + SHARE_HOLD_S):
            lent = self._bucket.lend_share(ask.borrower, now)
            share, tokens = lent if lent is not None else (None, 0.0)
        elif ask.want > 0 and self._holds(now + LOAN_HOLD_S):
            limit = self._lendable(ask, now)
            tokens = self._bucket.lend(ask.borrower, ask.number, limit, now)
        left = self._spare_tokens(0.0, now)
        return Grant(ask.lender, ask.borrower, ask.number, tokens, left, share)

    def receive(self, grant: Grant, now: float) -> None:
        """Apply a grant; a late, duplicate or misdirected one is ignored."""
        self._expire(now)
        if grant.borrower != self.home or grant.number not in self._sent:
            return
        sent = self._sent.pop(grant.number)
        if grant.share is not None:
            self._bucket.add_share(
                sent.lender,
                grant.share,
                grant.tokens,
                expires_at=sent.expires_at,
                now=now,
            )
            return
        if sent.share:
            self._share_retry_at[sent.lender] = now + ASK_TIMEOUT_S
            return
        self._update_peer(sent, grant, now)
        if grant.tokens > 0:
            loan = Loan(sent.lender, grant.number, grant.tokens, sent.expires_at)
            self._bucket.add_loan(loan)

    @property
    def _own_share(self) -> Share:
        return Share(self.rate / self._domains, self.burst / self._domains)

    @property
    def _has_coordinator(self) -> bool:
        return self._domains > 1 and self.burst / self._domains < MIN_BURST_PER_DOMAIN

    def _coordinator(self, peers: Sequence[str]) -> str:
        return rendezvous(self.subject, (self.domain, *peers)) or self.domain

    def _expire(self, now: float) -> None:
        self._bucket.expire(now)
        if not self._is_settled and now >= self._settled_at:
            self._is_settled = True
            self._bucket.resize(self._own_share, now)
        for number, sent in list(self._sent.items()):
            if now >= sent.expires_at:
                del self._sent[number]
            elif now >= sent.at + ASK_TIMEOUT_S:
                self._record_timeout(sent, now)

    def _record_timeout(self, sent: _SentAsk, now: float) -> None:
        known = self._peers.get(sent.lender)
        if known is None or known.at < sent.at + ASK_TIMEOUT_S:
            self._peers[sent.lender] = _Peer(0.0, now, MAX_BACKOFF_S)

    def _lendable(self, ask: Ask, now: float) -> float:
        spare = self._spare_tokens(0.0, now)
        if self._has_coordinator and spare < ask.need:
            return float(math.floor(spare + EPSILON))
        needed = min(ask.need, spare)
        ahead = self._spare_tokens(LOW_STOCK_S, now) / 2
        return min(ask.want, max(needed, ahead))

    def _spare_tokens(self, ahead_s: float, now: float) -> float:
        own = len(self._waiting) + self._demand_rate(now) * ahead_s
        return max(0.0, self._bucket.level(now) - own)

    def _update_peer(self, sent: _SentAsk, grant: Grant, now: float) -> None:
        known = self._peers.get(sent.lender)
        expected = min(sent.want, self._expected_tokens(sent.lender, now))
        backoff_s = 0.0
        if self._has_coordinator:
            shortfall = max(0.0, 1.0 - grant.left)
            if grant.tokens <= EPSILON:
                before = known.backoff_s if known is not None else 0.0
                min_backoff_s = max(MIN_BACKOFF_S, shortfall / max(self.rate, EPSILON))
                backoff_s = max(min_backoff_s, before * 2)
            backoff_s = min(MAX_BACKOFF_S, backoff_s)
        elif grant.tokens < expected * LOW_GRANT_PART:
            before = known.backoff_s if known is not None else 0.0
            backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, before * 2))
        self._peers[sent.lender] = _Peer(grant.left, now, backoff_s)

    def _expected_tokens(self, peer: str, now: float) -> float:
        own = self._own_share
        known = self._peers.get(peer)
        if known is None:
            return own.burst
        return min(own.burst, known.left + own.rate * (now - known.at))

    def _admit(self, now: float) -> tuple[int, ...]:
        admitted = []
        while self._waiting and self._bucket.available(now) >= 1 - EPSILON:
            for loan in self._bucket.spend_token(now):
                self._record_end(loan, 0.0)
            admitted.append(self._waiting.popleft().ticket)
        return tuple(admitted)

    def _record_end(self, loan: Loan, unused: float) -> None:
        ended = LoanEnd(loan.number, unused)
        self._ended.setdefault(loan.lender, []).append(ended)

    def _share_asks(self, now: float, peers: Sequence[str]) -> tuple[Ask, ...]:
        if not self._has_coordinator or self._coordinator(peers) != self.domain:
            return ()
        asked = {sent.lender for sent in self._sent.values() if sent.share}
        due = [p for p in peers if p not in asked and self._is_share_due(p, now)]
        return tuple(self._ask(peer, 0.0, 0.0, now, share=True) for peer in due)

    def _is_share_due(self, peer: str, now: float) -> bool:
        return now >= self._share_due_at(peer)

    def _share_due_at(self, peer: str) -> float:
        retry_at = self._share_retry_at.get(peer, 0.0)
        return max(retry_at, self._bucket.share_expires_at(peer) - RENEW_BEFORE_S)

    def _token_asks(self, now: float, peers: Sequence[str]) -> tuple[Ask, ...]:
        demand = self._demand_rate(now)
        ahead_rate = max(0.0, demand - self._bucket.share.rate)
        expected_stock = (
            self._pending_tokens(now) + self._bucket.available(now) - len(self._waiting)
        )
        if expected_stock >= ahead_rate * LOW_STOCK_S - EPSILON:
            return ()
        need = max(0.0, -expected_stock) if self._waiting else 0.0
        ahead = max(demand * LOW_STOCK_S, ahead_rate * BORROW_AHEAD_S)
        want = need if self._has_coordinator else ahead - expected_stock
        if want <= EPSILON:
            return ()
        return self._distribute(need, want, now, peers)

    def _distribute(
        self, need: float, want: float, now: float, peers: Sequence[str]
    ) -> tuple[Ask, ...]:
        if self._has_coordinator:
            return self._ask_coordinator(need, now, peers)
        askable_peers = self._askable_peers(now, peers)
        expected = {peer: self._expected_tokens(peer, now) for peer in askable_peers}
        min_tokens = self._min_ask_tokens(want, len(askable_peers))
        chosen = [peer for peer, tokens in expected.items() if tokens >= min_tokens]
        chosen.sort(key=lambda peer: -expected[peer])
        chosen = chosen[:MAX_PEERS_PER_ROUND]
        total = sum(expected[peer] for peer in chosen) + self._pending_tokens(now)
        if self._bucket.available(now) + total < 1 - EPSILON:
            return ()
        if not self._may_ask(now):
            return ()
        asks = []
        for peer in chosen:
            tokens = min(want, expected[peer])
            if tokens <= EPSILON:
                break
            asks.append(self._ask(peer, min(need, tokens), tokens, now))
            need -= min(need, tokens)
            want -= tokens
        return tuple(asks)

    def _may_ask(self, now: float) -> bool:
        return self._ask_rounds.try_acquire(now) == 0.0

    def _min_ask_tokens(self, want: float, peers: int) -> float:
        part = min(1.0, want) / max(1, peers)
        min_tokens = max(part, self._own_share.rate * MIN_ASK_REFILL_S)
        return min(min_tokens, self._own_share.burst) * MIN_ASK_PART

    def _askable_peers(self, now: float, peers: Sequence[str]) -> list[str]:
        asked = {sent.lender for sent in self._sent.values() if not sent.share}
        return [p for p in peers if p not in asked and not self._is_backing_off(p, now)]

    def _ask_coordinator(
        self, need: float, now: float, peers: Sequence[str]
    ) -> tuple[Ask, ...]:
        coordinator = self._coordinator(peers)
        if coordinator == self.domain or self._is_backing_off(coordinator, now):
            return ()
        return (self._ask(coordinator, need, need, now),)

    def _is_backing_off(self, peer: str, now: float) -> bool:
        known = self._peers.get(peer)
        return known is not None and known.is_backing_off(now)

    def _ask(
        self, peer: str, need: float, want: float, now: float, *, share: bool = False
    ) -> Ask:
        self._last_ask_number += 1
        if want > 0 or share:
            self._sent[self._last_ask_number] = _SentAsk(peer, want, share, now)
        ended = tuple(self._ended.pop(peer, ()))
        return Ask(peer, self.home, self._last_ask_number, need, want, share, ended)

    def _pending_tokens(self, now: float) -> float:
        sent = [s for s in self._sent.values() if now < s.at + ASK_TIMEOUT_S]
        shares = [s for s in sent if s.share]
        first = [s for s in shares if self._bucket.share_expires_at(s.lender) <= now]
        return sum(s.want for s in sent) + len(first) * self._own_share.burst

    def _refuse(self, now: float, peers: Sequence[str]) -> tuple[Refusal, ...]:
        if not self._waiting:
            return ()
        refused = []
        kept: deque[_Waiting] = deque()
        tokens = self._bucket.available(now)
        borrowed = max(self._pending_tokens(now), self._borrowable_tokens(now, peers))
        for waiting in self._waiting:
            shortfall = len(kept) + 1 - tokens
            in_time = self._can_meet_max_wait(shortfall - borrowed, waiting, now)
            if len(kept) < MAX_WAITING and in_time:
                kept.append(waiting)
                continue
            refused.append(Refusal(waiting.ticket, self._retry_after(shortfall)))
        self._waiting = kept
        return tuple(refused)

    def _borrowable_tokens(self, now: float, peers: Sequence[str]) -> float:
        if self._has_coordinator:
            return 0.0
        min_tokens = self._min_ask_tokens(1.0, len(peers))
        free = (peer for peer in peers if not self._is_backing_off(peer, now))
        if self._ask_rounds.level(now) < 1 and not self._sent:
            return 0.0
        expected = [self._expected_tokens(peer, now) for peer in free]
        return sum(tokens for tokens in expected if tokens >= min_tokens)

    def _can_meet_max_wait(
        self, shortfall: float, waiting: _Waiting, now: float
    ) -> bool:
        begin = max(now, self._settled_at)
        left_s = max(waiting.queued_at, self._settled_at) + MAX_WAIT_S - begin
        if left_s <= 0:
            return False
        share = self._bucket.share if self._is_settled else self._own_share
        refill = share.rate * left_s if share.burst >= 1 else 0.0
        if self._has_coordinator:
            refill = max(refill, self.rate * left_s)
        return shortfall <= refill

    def _retry_after(self, shortfall: float) -> float:
        if self.rate <= 0 or self.burst < 1:
            return math.inf
        reachable_rate = (
            self.rate
            if self._has_coordinator
            else self._own_share.rate * self._max_reachable_domains
        )
        return shortfall / reachable_rate

    @property
    def _max_reachable_domains(self) -> int:
        return min(self._domains, 1 + MAX_PEERS_PER_ROUND)

    def _refuse_all(self) -> tuple[Refusal, ...]:
        refused = tuple(Refusal(w.ticket, MAX_WAIT_S) for w in self._waiting)
        self._waiting.clear()
        return refused

    def _loan_returns(self, now: float) -> tuple[Ask, ...]:
        due = [loan for loan in self._bucket.loans if self._is_return_due(loan, now)]
        for loan in due:
            self._bucket.remove_loan(loan)
            self._record_end(loan, loan.tokens)
        lenders = {loan.lender for loan in due}
        if self._has_coordinator:
            lenders.update(self._ended)
        return tuple(self._ask(lender, 0.0, 0.0, now) for lender in sorted(lenders))

    def _is_return_due(self, loan: Loan, now: float) -> bool:
        if self._has_coordinator:
            return not self._waiting
        return now >= _return_at(loan) and loan.tokens >= MIN_RETURN_TOKENS

    def _next_decision_at(self, now: float, peers: Sequence[str]) -> float | None:
        times = [_return_at(loan) for loan in self._bucket.loans]
        if self._has_coordinator and self._coordinator(peers) == self.domain:
            times += [self._share_due_at(peer) for peer in peers]
            times += [sent.expires_at for sent in self._sent.values() if sent.share]
        if self._waiting:
            queued_at = max(self._waiting[0].queued_at, self._settled_at)
            times.append(queued_at + MAX_WAIT_S)
            times += [sent.at + ASK_TIMEOUT_S for sent in self._sent.values()]
            times += [peer.at + peer.backoff_s for peer in self._peers.values()]
            times += [now + self._refill_s(now), self._settled_at]
        later = [time for time in times if now < time < math.inf]
        return min(later, default=None)

    def _refill_s(self, now: float) -> float:
        rate = self._bucket.share.rate
        shortfall = max(EPSILON, 1 - self._bucket.available(now))
        return shortfall / rate if rate > 0 else math.inf

    def _demand_rate(self, now: float) -> float:
        return self._decayed_demand(now) / DEMAND_AVERAGING_S

    def _decayed_demand(self, now: float) -> float:
        passed_s = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-passed_s / DEMAND_AVERAGING_S)


def _return_at(loan: Loan) -> float:
    return loan.expires_at - LOAN_TTL_S + RETURN_AFTER_S
