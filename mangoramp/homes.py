"""Routes requests to a group's home in this failure domain, here or at a peer."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable

from msgspec.structs import replace
from returns.result import Success

from .admission import Admission
from .catalog import Catalog
from .endpoints.group import Group
from .errors import Code, Fault, FaultError, Outcome, Step
from .events import HOME_PLACED, REQUEST_FORWARDED, emit
from .home import Home
from .membership import Membership
from .policy._rendezvous import rendezvous
from .policy.loans import SHARE_HOLD_S, Ask, Grant
from .policy.statement import Kind
from .proxies.links import Links
from .proxies.messages import (
    AskTokens,
    GrantTokens,
    Message,
    Refused,
    Request,
    RunStatement,
)
from .rates import Limits, Site
from .settings import ProxySettings

CONTROL_CONNECTIONS = 1
RETRY_AFTER_S = 0.5
RUN_ID_BYTES = 4
FORWARD_MARGIN_S = 0.2
ASK_TOKENS_TIMEOUT_S = 0.5
MOVE_RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0)
MAX_MOVE_S = 6.0


class Homes:
    """Runs the homes of this instance and forwards requests to the homes of others.

    Args:
        cfg: The proxy's settings.
        catalog: The objects received from the platform.
        links: Sends messages to the other proxies.
        membership: Decides which instance holds which home.
        on_wait: Called with the group and the seconds that a request waited for
            admission.
        clock: Returns the current time, in seconds.

    Attributes:
        on_close: Called with a group before its home here is closed.
    """

    def __init__(
        self,
        cfg: ProxySettings,
        catalog: Catalog,
        links: Links,
        membership: Membership,
        *,
        on_wait: Callable[[str, float], None] = lambda group, wait_s: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._on_wait = on_wait
        self._cfg = cfg
        self._catalog = catalog
        self._homes: dict[str, Home] = {}
        self._links = links
        self._membership = membership
        self._clock = clock
        self._placements: dict[str, tuple[tuple[str, ...], str | None]] = {}
        self._request_counts: dict[str, int] = {}
        self._no_home_since: dict[str, float] = {}
        self.on_close: Callable[[str], None] = lambda group: None

    @property
    def in_flight(self) -> int:
        """The number of requests that run at the homes here."""
        return sum(self._request_counts.values())

    @property
    def running_groups(self) -> dict[str, Group]:
        """The groups whose homes run here, by name."""
        return {name: home.group for name, home in self._homes.items()}

    async def send(self, req: Request) -> Message:
        """Run a request at the home of its group.

        A request that is refused because the home is moving is retried after a short
        delay. Once the group has had no home for `MAX_MOVE_S`, the refusal is final
        at once.
        """
        deadline = self._clock() + req.timeout_s
        answer = await self._send_once(req)
        for wait_s in MOVE_RETRY_DELAYS_S:
            left_s = deadline - self._clock() - wait_s
            if not self._should_retry(req.group, answer) or left_s <= 0:
                return answer
            await asyncio.sleep(wait_s)
            answer = await self._send_once(replace(req, timeout_s=left_s))
        return answer

    def _should_retry(self, group: str, answer: Message) -> bool:
        if not _is_home_missing(answer):
            self._no_home_since.pop(group, None)
            return False
        now = self._clock()
        since = self._no_home_since.setdefault(group, now)
        return now - since < MAX_MOVE_S

    async def serve(self, req: Request) -> Message:
        """Run a request at a home of this instance."""
        if not self.holds(req.group, self._clock()):
            return _refused(Code.NO_HOME, "the group's home is not here")
        if req.group not in self._catalog.groups:
            message = f"there is no database group {req.group!r}"
            return Refused(fault=Fault(Code.GROUP_UNKNOWN, message, Step.ADMIT))
        key_id = req.key_id if isinstance(req, RunStatement) else ""
        if key_id and key_id not in self._catalog.keys:
            message = "the key is not in force"
            return Refused(fault=Fault(Code.KEY_UNKNOWN, message, Step.KEY))
        home = self._get_or_create(req.group)
        self._request_counts[req.group] = self._request_counts.get(req.group, 0) + 1
        try:
            return await home.serve(req)
        finally:
            self._request_counts[req.group] -= 1
            self.close_moved()

    def find_local(self, group: str) -> Home | None:
        """Return a group's home if it is open here, even if it has moved to a peer."""
        return self._homes.get(group)

    def abort_customer_transactions(self, customer: str) -> int:
        """Roll back a customer's transactions that are open here; return how many."""
        homes = self._homes.values()
        return sum(
            home.transactions.abort_customer_transactions(customer) for home in homes
        )

    async def lend(self, req: AskTokens) -> Message:
        """Lend tokens to the home of another failure domain."""
        here = self.holds(req.group, self._clock())
        if req.group not in self._catalog.groups or not here:
            return _refused(Code.NO_HOME, "the group's home is not here")
        try:
            admission = self._get_or_create(req.group).admission
            return GrantTokens(grant=admission.lend(req.customer, req.ask))
        except FaultError as exc:
            return Refused(fault=exc.fault)

    def holds(self, group: str, now: float) -> bool:
        """Whether this instance holds the group's home in this failure domain.

        Args:
            group: The group.
            now: The time, in seconds.
        """
        return self._membership.holds(group, now)

    def owner(self, group: str) -> str | None:
        """Return the instance that holds the group's home in this failure domain."""
        members = self._membership.live_instances(self._cfg.failure_domain)
        cached = self._placements.get(group)
        if cached is not None and cached[0] is members:
            return cached[1]
        owner = rendezvous(group, members)
        if owner is not None and (cached is None or cached[1] != owner):
            emit(HOME_PLACED, group=group, instance=owner, considered=members)
        self._placements[group] = (members, owner)
        return owner

    def owner_in(self, failure_domain: str, group: str) -> str | None:
        """Return the instance that should hold the group's home in a failure domain.

        The result is a hint, None if no instance is known: only the instance itself
        knows whether it holds the home.
        """
        return rendezvous(group, self._membership.live_instances(failure_domain))

    def group(self, name: str) -> Group:
        """Return the servers of a group whose home is here."""
        return self._get_or_create(name).group

    def refresh(self) -> None:
        """Apply changes of the groups and close the homes that have moved to a peer."""
        for name, home in list(self._homes.items()):
            spec = self._catalog.groups.get(name)
            if spec is None:
                self._homes.pop(name).close()
            elif spec != home.group.spec:
                home.group.update(spec)
        self.close_moved()
        self._register_customers()

    @property
    def open_transactions(self) -> int:
        """The number of transactions that are open at the homes here."""
        return sum(len(home.transactions) for home in self._homes.values())

    def close_moved(self) -> None:
        """Close the homes that have moved to a peer and serve no more requests."""
        now = self._clock()
        moved = [name for name in self._homes if not self.holds(name, now)]
        for name in moved:
            if self._request_counts.get(name) or len(self._homes[name].transactions):
                self._homes[name].group.close_idle_connections()
                self._homes[name].admission.reset()
                continue
            self.on_close(name)
            self._homes.pop(name).close()
            self._request_counts.pop(name, None)

    def close(self) -> None:
        """Close every home."""
        for home in self._homes.values():
            home.close()

    async def _send_once(self, req: Request) -> Message:
        if self.holds(req.group, self._clock()):
            return await self.serve(req)
        owner = self.owner(req.group)
        if owner is None or owner == self._cfg.name:
            return _refused(Code.NO_HOME, "the group has no home here now")
        emit(REQUEST_FORWARDED, group=req.group, peer=owner)
        timeout_s = req.timeout_s + FORWARD_MARGIN_S
        answer = await self._links.call(owner, req, timeout_s=timeout_s)
        if not isinstance(answer, Success):
            return Refused(fault=answer.failure())
        reply: Message = answer.unwrap()
        return reply

    def _get_or_create(self, name: str) -> Home:
        if name not in self._homes:
            spec = self._catalog.groups[name]
            connections = min(server.connections for server in spec.servers)
            # Reserved: one connection for each replica and one for a failover.
            connections -= len(spec.servers)
            share = connections // self._cfg.failure_domains - CONTROL_CONNECTIONS
            group = Group(spec, pool_size=max(1, share))
            admission = Admission(
                name,
                lambda customer: self._limits(customer, name),
                site=self._make_site(name),
                holds=lambda now: self.holds(name, now),
                settled_at=self._clock() + SHARE_HOLD_S,
                slots=lambda kind: _slot_count(group, kind),
            )
            home = self._homes[name] = Home(
                group,
                admission,
                instance=self._cfg.name,
                transactions=self._cfg.transactions,
                on_wait=self._on_wait,
            )
            self._register_customers()
            return home
        return self._homes[name]

    def _register_customers(self) -> None:
        for row in self._catalog.rows():
            if row.group in self._homes:
                self._homes[row.group].admission.register_customer(row.customer)

    def _limits(self, customer: str, group: str) -> Limits | None:
        row = self._catalog.row(customer, group)
        if row is None:
            return None
        return Limits(row.rate, row.burst, row.weight)

    def _make_site(self, group: str) -> Site:
        async def ask(customer: str, ask: Ask) -> Grant | None:
            return await self._ask_tokens(group, customer, ask)

        run_id = secrets.token_hex(RUN_ID_BYTES)
        return Site(
            domain=self._cfg.failure_domain,
            home=f"{self._cfg.name}/{run_id}",
            domains=self._cfg.failure_domains,
            peers=self._other_domains,
            ask=ask,
        )

    def _other_domains(self) -> list[str]:
        domains = {i.failure_domain for i in self._catalog.instances.values()}
        return sorted(domains - {self._cfg.failure_domain})

    async def _ask_tokens(self, group: str, customer: str, ask: Ask) -> Grant | None:
        owner = self.owner_in(ask.lender, group)
        if owner is None:
            return None
        req = AskTokens(group=group, customer=customer, ask=ask)
        answer = await self._links.call(owner, req, timeout_s=ASK_TOKENS_TIMEOUT_S)
        reply = answer.value_or(None)
        return reply.grant if isinstance(reply, GrantTokens) else None


def _slot_count(group: Group, kind: Kind) -> int:
    if kind is Kind.READ:
        return sum(server.slots for server in group.spec.servers if not server.leaving)
    slots = {server.name: server.slots for server in group.spec.servers}
    return slots.get(group.spec.primary, max(slots.values()))


def _is_home_missing(answer: Message) -> bool:
    if not isinstance(answer, Refused):
        return False
    fault = answer.fault
    return fault.code is Code.NO_HOME and fault.outcome is Outcome.NOT_RUN


def _refused(code: Code, message: str) -> Refused:
    fault = Fault(code, message, Step.FORWARD, "", Outcome.NOT_RUN, RETRY_AFTER_S)
    return Refused(fault=fault)
