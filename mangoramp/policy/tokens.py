"""A customer's rate over the whole fleet: who is admitted, and who is asked for tokens.

Each failure domain owns an equal part of the rate and the burst. A domain that runs
short borrows tokens from others. Where the parts of the burst are small, one domain,
the keeper, borrows the shares of all and the others ask it. Who keeps is only a matter
of how well it works: what is admitted in all rests on the loans alone.
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
    LOAN_S,
    SHARE_HOLD_S,
    SHARE_S,
    Ask,
    Grant,
    LendingBucket,
    Loan,
    LoanEnd,
    Share,
)
from .rate import Bucket

RETURN_S = 0.3
"""Seconds from the ask until tokens that were not used go back."""
RENEW_S = 0.5
"""Seconds before its end at which a borrowed share is renewed."""
ASK_TIMEOUT_S = 0.1
"""Seconds for which a request counts on an ask."""
MAX_WAIT_S = 0.1
"""Seconds that a request may wait for a token."""
MAX_WAITING = 512
"""Requests of one customer that may wait for tokens."""
DEMAND_S = 0.5
"""Seconds over which demand is averaged."""
LOW_S = 0.05
"""Seconds of demand below which tokens are borrowed ahead."""
AHEAD_S = 0.2
"""Seconds of demand that are borrowed ahead."""
FANOUT = 3
"""Peers that are asked at the same time."""
ROUNDS_S = 40.0
"""Rounds of asks a second, over a long time."""
ROUNDS_BURST = 40.0
"""Rounds of asks at once."""
ASK_GAP_S = 0.05
"""Seconds of refill that make an ask worth its message."""
BACKOFF_S = 0.02
"""Seconds for which a peer that had little is not asked again, doubled each time."""
MAX_BACKOFF_S = 0.5
"""The longest such time, in seconds."""
LITTLE = 0.25
"""The part of the expected tokens below which an answer counts as little."""
NEARLY = 0.9
"""The part of the tokens looked for that makes an ask worth its message."""
WORTH_RETURNING = 0.5
"""Tokens that make a return worth its message."""
SPREAD_MIN = 4.0
"""Tokens of burst in each domain from which on no keeper is needed."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A waiting request that gets no token, and when to come back, in seconds."""

    ticket: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Decision:
    """What is to be done now.

    Attributes:
        admitted: Tickets of requests that got a token.
        refused: Requests that get none.
        asks: Messages to send.
        again_at: When to decide again at the latest, in seconds; None if never.
    """

    admitted: tuple[int, ...] = ()
    refused: tuple[Refusal, ...] = ()
    asks: tuple[Ask, ...] = ()
    again_at: float | None = None


@dataclass(frozen=True, slots=True)
class _Sent:
    lender: str
    want: float
    share: bool
    at: float

    @property
    def until(self) -> float:
        return self.at + (SHARE_S if self.share else LOAN_S)


@dataclass(frozen=True, slots=True)
class _Peer:
    left: float
    at: float
    pause_s: float = 0.0

    def paused(self, now: float) -> bool:
        return now < self.at + self.pause_s


@dataclass(frozen=True, slots=True)
class _Waiting:
    ticket: int
    since: float


class FleetBucket:
    """One failure domain's part of a customer's rate and burst.

    Args:
        subject: What the rate is for; it picks the keeper.
        domain: This failure domain.
        home: The name of this home, unique to this run of it.
        domains: How many failure domains share the rate and burst.
        rate: Requests a second over the whole fleet.
        burst: Requests at once over the whole fleet.
        now: When this home began, in seconds; it begins with no tokens.
        holds: Tells whether this home's lease, as known now, covers a time. Nothing is
            admitted after its end, and nothing is lent that would outlast it.
        settled_at: When loans of a predecessor are over at the latest, in seconds, if
            it gave the home up before its lease was over; nothing of the own share is
            used before.
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
        own = self._own if self._is_settled else Share(0.0, 0.0)
        self._bucket = LendingBucket(own, now)
        self._ended: dict[str, list[LoanEnd]] = {}
        self._sent: dict[int, _Sent] = {}
        self._peers: dict[str, _Peer] = {}
        self._share_pauses: dict[str, float] = {}
        self._waiting: deque[_Waiting] = deque()
        self._number = 0
        self._rounds = Bucket(ROUNDS_S, ROUNDS_BURST, now=now, level=ROUNDS_BURST)
        self._demand = 0.0
        self._demand_at = now

    def join(self, ticket: int, now: float) -> None:
        """Have a request wait for a token; the next decision may admit it at once."""
        self._demand = self._decayed(now) + 1.0
        self._demand_at = now
        self._waiting.append(_Waiting(ticket, now))

    def cancel(self, ticket: int) -> None:
        """Forget a request whose caller has left."""
        self._waiting = deque(w for w in self._waiting if w.ticket != ticket)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Take over a changed row of the table."""
        self._settle(now)
        self.rate = rate
        self.burst = burst
        if self._is_settled:
            self._bucket.resize(self._own, now)

    def available(self, now: float) -> float:
        """Tokens that can be used here now."""
        self._settle(now)
        return self._bucket.available(now)

    def decide(self, now: float, peers: Sequence[str]) -> Decision:
        """Admit and refuse requests that wait, and ask for tokens.

        Args:
            now: The time, in seconds.
            peers: The other domains that can be asked.

        Returns:
            What is to be done now. Nothing is admitted once the lease is over.
        """
        if not self._holds(now):
            return Decision(refused=self._refuse_all())
        self._settle(now)
        admitted = self._admit(now)
        asks = self._share_asks(now, peers) + self._asks(now, peers)
        refused = self._refuse(now, peers)
        returns = self._returns(now)
        return Decision(admitted, refused, asks + returns, self._again_at(now, peers))

    def lend(self, ask: Ask, now: float) -> Grant:
        """Answer another domain's ask; what is lent leaves this bucket first.

        Args:
            ask: The ask. If it comes twice, it is lent once.
            now: The time, in seconds.
        """
        self._settle(now)
        for ended in ask.ended:
            self._bucket.end(ask.borrower, ended, now)
        tokens = 0.0
        share = None
        if ask.share and self._holds(now + SHARE_HOLD_S):
            lent = self._bucket.lend_share(ask.borrower, now)
            share, tokens = lent if lent is not None else (None, 0.0)
        elif ask.want > 0 and self._holds(now + LOAN_HOLD_S):
            most = self._to_lend(ask, now)
            tokens = self._bucket.lend(ask.borrower, ask.number, most, now)
        left = self._spare(0.0, now)
        return Grant(ask.lender, ask.borrower, ask.number, tokens, left, share)

    def receive(self, grant: Grant, now: float) -> None:
        """Take a grant in; one that is late, doubled or not ours counts for nothing."""
        self._settle(now)
        if grant.borrower != self.home or grant.number not in self._sent:
            return
        sent = self._sent.pop(grant.number)
        if grant.share is not None:
            self._bucket.borrow_share(
                sent.lender, grant.share, grant.tokens, until=sent.until, now=now
            )
            return
        if sent.share:
            self._share_pauses[sent.lender] = now + ASK_TIMEOUT_S
            return
        self._learn(sent, grant, now)
        if grant.tokens > 0:
            loan = Loan(sent.lender, grant.number, grant.tokens, sent.until)
            self._bucket.borrow(loan)

    @property
    def _own(self) -> Share:
        return Share(self.rate / self._domains, self.burst / self._domains)

    @property
    def _is_kept(self) -> bool:
        return self._domains > 1 and self.burst / self._domains < SPREAD_MIN

    def _keeper(self, peers: Sequence[str]) -> str:
        return rendezvous(self.subject, (self.domain, *peers)) or self.domain

    def _settle(self, now: float) -> None:
        self._bucket.settle(now)
        if not self._is_settled and now >= self._settled_at:
            self._is_settled = True
            self._bucket.resize(self._own, now)
        for number, sent in list(self._sent.items()):
            if now >= sent.until:
                del self._sent[number]
            elif now >= sent.at + ASK_TIMEOUT_S:
                self._note_silence(sent, now)

    def _note_silence(self, sent: _Sent, now: float) -> None:
        known = self._peers.get(sent.lender)
        if known is None or known.at < sent.at + ASK_TIMEOUT_S:
            self._peers[sent.lender] = _Peer(0.0, now, MAX_BACKOFF_S)

    def _to_lend(self, ask: Ask, now: float) -> float:
        spare = self._spare(0.0, now)
        if self._is_kept and spare < ask.need:
            return float(math.floor(spare + EPSILON))
        urgent = min(ask.need, spare)
        ahead = self._spare(LOW_S, now) / 2
        return min(ask.want, max(urgent, ahead))

    def _spare(self, ahead_s: float, now: float) -> float:
        own = len(self._waiting) + self._demand_rate(now) * ahead_s
        return max(0.0, self._bucket.level(now) - own)

    def _learn(self, sent: _Sent, grant: Grant, now: float) -> None:
        known = self._peers.get(sent.lender)
        expected = min(sent.want, self._expected(sent.lender, now))
        pause_s = 0.0
        if self._is_kept:
            short = max(0.0, 1.0 - grant.left)
            if grant.tokens <= EPSILON:
                before = known.pause_s if known is not None else 0.0
                least_s = max(BACKOFF_S, short / max(self.rate, EPSILON))
                pause_s = max(least_s, before * 2)
            pause_s = min(MAX_BACKOFF_S, pause_s)
        elif grant.tokens < expected * LITTLE:
            before = known.pause_s if known is not None else 0.0
            pause_s = min(MAX_BACKOFF_S, max(BACKOFF_S, before * 2))
        self._peers[sent.lender] = _Peer(grant.left, now, pause_s)

    def _expected(self, peer: str, now: float) -> float:
        own = self._own
        known = self._peers.get(peer)
        if known is None:
            return own.burst
        return min(own.burst, known.left + own.rate * (now - known.at))

    def _admit(self, now: float) -> tuple[int, ...]:
        admitted = []
        while self._waiting and self._bucket.available(now) >= 1 - EPSILON:
            for loan in self._bucket.spend(now):
                self._end(loan, 0.0)
            admitted.append(self._waiting.popleft().ticket)
        return tuple(admitted)

    def _end(self, loan: Loan, unused: float) -> None:
        ended = LoanEnd(loan.number, unused)
        self._ended.setdefault(loan.lender, []).append(ended)

    def _share_asks(self, now: float, peers: Sequence[str]) -> tuple[Ask, ...]:
        if not self._is_kept or self._keeper(peers) != self.domain:
            return ()
        asked = {sent.lender for sent in self._sent.values() if sent.share}
        due = [p for p in peers if p not in asked and self._is_share_due(p, now)]
        return tuple(self._ask(peer, 0.0, 0.0, now, share=True) for peer in due)

    def _is_share_due(self, peer: str, now: float) -> bool:
        return now >= self._share_due_at(peer)

    def _share_due_at(self, peer: str) -> float:
        pause_until = self._share_pauses.get(peer, 0.0)
        return max(pause_until, self._bucket.share_until(peer) - RENEW_S)

    def _asks(self, now: float, peers: Sequence[str]) -> tuple[Ask, ...]:
        demand = self._demand_rate(now)
        ahead_rate = max(0.0, demand - self._bucket.share.rate)
        coming = self._pending(now) + self._bucket.available(now) - len(self._waiting)
        if coming >= ahead_rate * LOW_S - EPSILON:
            return ()
        need = max(0.0, -coming) if self._waiting else 0.0
        ahead = max(demand * LOW_S, ahead_rate * AHEAD_S)
        want = need if self._is_kept else ahead - coming
        if want <= EPSILON:
            return ()
        return self._spread(need, want, now, peers)

    def _spread(
        self, need: float, want: float, now: float, peers: Sequence[str]
    ) -> tuple[Ask, ...]:
        if self._is_kept:
            return self._ask_keeper(need, now, peers)
        askable = self._askable(now, peers)
        expected = {peer: self._expected(peer, now) for peer in askable}
        enough = self._worth_asking(want, len(askable))
        fit = [peer for peer, tokens in expected.items() if tokens >= enough]
        fit.sort(key=lambda peer: -expected[peer])
        fit = fit[:FANOUT]
        total = sum(expected[peer] for peer in fit) + self._pending(now)
        if self._bucket.available(now) + total < 1 - EPSILON:
            return ()
        if not self._may_ask(now):
            return ()
        asks = []
        for peer in fit:
            tokens = min(want, expected[peer])
            if tokens <= EPSILON:
                break
            asks.append(self._ask(peer, min(need, tokens), tokens, now))
            need -= min(need, tokens)
            want -= tokens
        return tuple(asks)

    def _may_ask(self, now: float) -> bool:
        return self._rounds.take(now) == 0.0

    def _worth_asking(self, want: float, peers: int) -> float:
        part = min(1.0, want) / max(1, peers)
        enough = max(part, self._own.rate * ASK_GAP_S)
        return min(enough, self._own.burst) * NEARLY

    def _askable(self, now: float, peers: Sequence[str]) -> list[str]:
        asked = {sent.lender for sent in self._sent.values() if not sent.share}
        return [p for p in peers if p not in asked and not self._is_paused(p, now)]

    def _ask_keeper(
        self, need: float, now: float, peers: Sequence[str]
    ) -> tuple[Ask, ...]:
        keeper = self._keeper(peers)
        if keeper == self.domain or self._is_paused(keeper, now):
            return ()
        return (self._ask(keeper, need, need, now),)

    def _is_paused(self, peer: str, now: float) -> bool:
        known = self._peers.get(peer)
        return known is not None and known.paused(now)

    def _ask(
        self, peer: str, need: float, want: float, now: float, *, share: bool = False
    ) -> Ask:
        self._number += 1
        if want > 0 or share:
            self._sent[self._number] = _Sent(peer, want, share, now)
        ended = tuple(self._ended.pop(peer, ()))
        return Ask(peer, self.home, self._number, need, want, share, ended)

    def _pending(self, now: float) -> float:
        sent = [s for s in self._sent.values() if now < s.at + ASK_TIMEOUT_S]
        shares = [s for s in sent if s.share]
        first = [s for s in shares if self._bucket.share_until(s.lender) <= now]
        return sum(s.want for s in sent) + len(first) * self._own.burst

    def _refuse(self, now: float, peers: Sequence[str]) -> tuple[Refusal, ...]:
        if not self._waiting:
            return ()
        refused = []
        kept: deque[_Waiting] = deque()
        tokens = self._bucket.available(now)
        borrowed = max(self._pending(now), self._within_reach(now, peers))
        for waiting in self._waiting:
            short = len(kept) + 1 - tokens
            in_time = self._in_time(short - borrowed, waiting, now)
            if len(kept) < MAX_WAITING and in_time:
                kept.append(waiting)
                continue
            refused.append(Refusal(waiting.ticket, self._retry_after(short)))
        self._waiting = kept
        return tuple(refused)

    def _within_reach(self, now: float, peers: Sequence[str]) -> float:
        if self._is_kept:
            return 0.0
        enough = self._worth_asking(1.0, len(peers))
        free = (peer for peer in peers if not self._is_paused(peer, now))
        if self._rounds.level(now) < 1 and not self._sent:
            return 0.0
        expected = [self._expected(peer, now) for peer in free]
        return sum(tokens for tokens in expected if tokens >= enough)

    def _in_time(self, short: float, waiting: _Waiting, now: float) -> bool:
        begin = max(now, self._settled_at)
        left_s = max(waiting.since, self._settled_at) + MAX_WAIT_S - begin
        if left_s <= 0:
            return False
        share = self._bucket.share if self._is_settled else self._own
        refill = share.rate * left_s if share.burst >= 1 else 0.0
        if self._is_kept:
            refill = max(refill, self.rate * left_s)
        return short <= refill

    def _retry_after(self, short: float) -> float:
        if self.rate <= 0 or self.burst < 1:
            return math.inf
        reached = self.rate if self._is_kept else self._own.rate * self._reached
        return short / reached

    @property
    def _reached(self) -> int:
        return min(self._domains, 1 + FANOUT)

    def _refuse_all(self) -> tuple[Refusal, ...]:
        refused = tuple(Refusal(w.ticket, MAX_WAIT_S) for w in self._waiting)
        self._waiting.clear()
        return refused

    def _returns(self, now: float) -> tuple[Ask, ...]:
        due = [loan for loan in self._bucket.loans if self._is_due(loan, now)]
        for loan in due:
            self._bucket.give_back(loan)
            self._end(loan, loan.tokens)
        lenders = {loan.lender for loan in due}
        if self._is_kept:
            lenders.update(self._ended)
        return tuple(self._ask(lender, 0.0, 0.0, now) for lender in sorted(lenders))

    def _is_due(self, loan: Loan, now: float) -> bool:
        if self._is_kept:
            return not self._waiting
        return now >= _return_at(loan) and loan.tokens >= WORTH_RETURNING

    def _again_at(self, now: float, peers: Sequence[str]) -> float | None:
        times = [_return_at(loan) for loan in self._bucket.loans]
        if self._is_kept and self._keeper(peers) == self.domain:
            times += [self._share_due_at(peer) for peer in peers]
            times += [sent.until for sent in self._sent.values() if sent.share]
        if self._waiting:
            since = max(self._waiting[0].since, self._settled_at)
            times.append(since + MAX_WAIT_S)
            times += [sent.at + ASK_TIMEOUT_S for sent in self._sent.values()]
            times += [peer.at + peer.pause_s for peer in self._peers.values()]
            times += [now + self._refill_s(now), self._settled_at]
        later = [time for time in times if now < time < math.inf]
        return min(later, default=None)

    def _refill_s(self, now: float) -> float:
        rate = self._bucket.share.rate
        short = max(EPSILON, 1 - self._bucket.available(now))
        return short / rate if rate > 0 else math.inf

    def _demand_rate(self, now: float) -> float:
        return self._decayed(now) / DEMAND_S

    def _decayed(self, now: float) -> float:
        passed_s = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-passed_s / DEMAND_S)


def _return_at(loan: Loan) -> float:
    return loan.until - LOAN_S + RETURN_S
