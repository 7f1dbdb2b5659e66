"""Rate limiting at a home, which borrows tokens from the homes of other domains."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from .errors import Code, Fault, FaultError, Step
from .events import RATE_REFUSED, TOKENS_BORROWED, TOKENS_LENT, emit
from .policy.fleet_bucket import Decision, FleetBucket, Refusal
from .policy.loans import SHARE_HOLD_S, Ask, Grant

LEASE_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class Limits:
    """A customer's fleet-wide rate and burst, and its weight.

    Attributes:
        rate: Requests per second.
        burst: Requests that may be admitted at once.
        weight: The customer's relative share of busy servers.
    """

    rate: float
    burst: float
    weight: float


@dataclass(frozen=True, slots=True)
class Site:
    """Where a home runs and how it reaches the homes of other failure domains.

    Attributes:
        domain: The home's failure domain.
        home: The home's name, unique for each time that the home is opened.
        domains: The number of failure domains.
        peers: Returns the other failure domains that can be asked now.
        ask: Asks another domain's home for tokens; returns None if it doesn't answer.
    """

    domain: str
    home: str
    domains: int
    peers: Callable[[], Sequence[str]]
    ask: Callable[[str, Ask], Awaitable[Grant | None]]


async def ask_nobody(customer: str, ask: Ask) -> Grant | None:
    """Return no grant, for a home without peers."""
    return None


SINGLE_SITE = Site("", "home", 1, lambda: (), ask_nobody)


class RateLimiter:
    """Limits the rates of all customers at one home.

    Args:
        group: The group's name.
        site: Where the home runs and how it reaches other homes.
        holds: Returns whether the home's lease, as currently known, covers a time.
        settled_at: When the token loans of a predecessor that released the home before
            its lease expired have ended, in seconds.
        clock: Returns the current time, in seconds.
    """

    def __init__(
        self,
        group: str,
        site: Site,
        *,
        holds: Callable[[float], bool],
        settled_at: float = -math.inf,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._group = group
        self._site = site
        self._holds = holds
        self._settled_at = settled_at
        self._clock = clock
        self._started_at = clock()
        self._is_closed = False
        self._resets = 0
        self._buckets: dict[str, FleetBucket] = {}
        self._waiters: dict[int, asyncio.Future[None]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._tickets = itertools.count(1)

    async def acquire(self, customer: str, limits: Limits) -> None:
        """Acquire a token, waiting for it if necessary.

        Raises:
            FaultError: The customer's rate is used up.
        """
        ticket, fut = self._enqueue(customer, limits)
        try:
            await fut
        finally:
            if not fut.done() or fut.cancelled():
                self._cancel(customer, ticket)
            self._waiters.pop(ticket, None)

    def lend(self, customer: str, limits: Limits, ask: Ask) -> Grant:
        """Lend tokens to another home."""
        grant = self._get_bucket(customer, limits).lend(ask, self._clock())
        emit(
            TOKENS_LENT,
            group=self._group,
            customer=customer,
            borrower=ask.borrower,
            asked=ask.want,
            tokens=grant.tokens,
            left=grant.left,
            share=grant.share is not None,
        )
        return grant

    def register_customer(self, customer: str, limits: Limits) -> None:
        """Create a customer's token bucket before its first request."""
        self._get_bucket(customer, limits)
        self._decide(customer)

    def reset(self) -> None:
        """Discard all tokens and refuse the waiting requests.

        The home uses no token of its own until earlier loans have ended.
        """
        self._stop()
        self._buckets.clear()
        self._resets += 1
        self._started_at = self._clock()
        self._settled_at = self._started_at + SHARE_HOLD_S

    def close(self) -> None:
        """Stop, and refuse the waiting requests."""
        self._is_closed = True
        self._stop()

    def _stop(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        for task in self._tasks:
            task.cancel()
        self._timers.clear()
        for ticket in list(self._waiters):
            self._refuse("", Refusal(ticket, LEASE_RETRY_AFTER_S))

    def _enqueue(
        self, customer: str, limits: Limits
    ) -> tuple[int, asyncio.Future[None]]:
        bucket = self._get_bucket(customer, limits)
        ticket = next(self._tickets)
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = fut
        bucket.enqueue(ticket, self._clock())
        self._decide(customer)
        return ticket, fut

    def _get_bucket(self, customer: str, limits: Limits) -> FleetBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = FleetBucket(
                f"{self._group}\0{customer}",
                self._site.domain,
                f"{self._site.home}.{self._resets}",
                domains=self._site.domains,
                rate=limits.rate,
                burst=limits.burst,
                now=self._started_at,
                holds=self._holds,
                settled_at=self._settled_at,
            )
            self._buckets[customer] = bucket
        if (bucket.rate, bucket.burst) != (limits.rate, limits.burst):
            bucket.resize(limits.rate, limits.burst, self._clock())
        return bucket

    def _decide(self, customer: str) -> None:
        now = self._clock()
        decision = self._buckets[customer].decide(now, self._site.peers())
        for ticket in decision.admitted:
            self._admit(ticket)
        for refusal in decision.refused:
            self._refuse(customer, refusal)
        for ask in decision.asks:
            task = asyncio.ensure_future(self._ask_peer(customer, ask))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._set_timer(customer, decision, now)

    def _set_timer(self, customer: str, decision: Decision, now: float) -> None:
        timer = self._timers.pop(customer, None)
        if timer is not None:
            timer.cancel()
        if decision.next_decision_at is not None:
            loop = asyncio.get_running_loop()
            delay_s = decision.next_decision_at - now
            self._timers[customer] = loop.call_later(delay_s, self._decide, customer)

    async def _ask_peer(self, customer: str, ask: Ask) -> None:
        grant = await self._site.ask(customer, ask)
        if grant is None:
            return
        bucket = self._buckets.get(customer)
        if bucket is None:
            return
        bucket.receive(grant, self._clock())
        if ask.want > 0:
            emit(
                TOKENS_BORROWED,
                group=self._group,
                customer=customer,
                lender=ask.lender,
                asked=ask.want,
                tokens=grant.tokens,
                left=grant.left,
            )
        self._decide(customer)

    def _cancel(self, customer: str, ticket: int) -> None:
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.cancel(ticket)

    def _admit(self, ticket: int) -> None:
        fut = self._waiters.get(ticket)
        if fut is not None and not fut.done():
            fut.set_result(None)

    def _refuse(self, customer: str, refusal: Refusal) -> None:
        fut = self._waiters.get(refusal.ticket)
        if fut is not None and not fut.done():
            fut.set_exception(self._make_refusal(customer, refusal))

    def _make_refusal(self, customer: str, refusal: Refusal) -> FaultError:
        if self._is_closed or not self._holds(self._clock()):
            message = "the group's home has moved"
            return FaultError(
                Fault(
                    Code.NO_HOME, message, Step.ADMIT, retry_after_s=LEASE_RETRY_AFTER_S
                )
            )
        wait_s = refusal.retry_after_s
        emit(RATE_REFUSED, group=self._group, customer=customer, retry_after_s=wait_s)
        message = "the customer's rate is used up"
        retry_after_s = wait_s if math.isfinite(wait_s) else None
        return FaultError(
            Fault(Code.OVER_RATE, message, Step.ADMIT, retry_after_s=retry_after_s)
        )
