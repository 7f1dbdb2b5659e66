"""Finds the home of a group in this failure domain, here or at a peer."""

from __future__ import annotations

import secrets
from collections.abc import Callable

from returns.result import Success

from .admission import Admission
from .catalog import Catalog
from .endpoints.group import Group
from .errors import Code, Fault, FaultError, Outcome, Step
from .events import HOME_PLACED, REQUEST_FORWARDED, emit
from .home import Home
from .policy._rendezvous import rendezvous
from .policy.loans import Ask, Grant
from .policy.statement import Kind
from .proxies.links import Links
from .proxies.messages import (
    AskTokens,
    GrantTokens,
    Message,
    Refused,
    Request,
)
from .rates import Limits, Site
from .settings import ProxySettings

CONTROL_CONNECTIONS = 1
RETRY_AFTER_S = 0.5
RUN_BYTES = 4
FORWARD_MARGIN_S = 0.2
ASK_TIMEOUT_S = 0.5


class Homes:
    """The homes that run here, and the way to those that do not.

    Args:
        cfg: The proxy's settings.
        catalog: What is known from the platform.
        links: The way to the other proxies.
        on_wait: Called with the group and the seconds that a request waited here.
    """

    def __init__(
        self,
        cfg: ProxySettings,
        catalog: Catalog,
        links: Links,
        *,
        on_wait: Callable[[str, float], None] = lambda group, wait_s: None,
    ) -> None:
        self._on_wait = on_wait
        self._cfg = cfg
        self._catalog = catalog
        self._homes: dict[str, Home] = {}
        self._links = links
        self._placed: dict[str, str] = {}

    @property
    def running(self) -> dict[str, Group]:
        """The groups whose homes run here, by name."""
        return {name: home.group for name, home in self._homes.items()}

    async def send(self, req: Request) -> Message:
        """Have a request run at the home of its group."""
        owner = self.owner(req.group)
        if owner is None:
            return _refused(Code.NO_HOME, "the group has no home here now")
        if owner == self._cfg.name:
            return await self.serve(req)
        emit(REQUEST_FORWARDED, group=req.group, peer=owner)
        timeout_s = req.timeout_s + FORWARD_MARGIN_S
        answer = await self._links.call(owner, req, timeout_s=timeout_s)
        if not isinstance(answer, Success):
            return Refused(fault=answer.failure())
        reply: Message = answer.unwrap()
        return reply

    async def serve(self, req: Request) -> Message:
        """Run a request at a home that is here."""
        if self.owner(req.group) != self._cfg.name:
            return _refused(Code.NO_HOME, "the group's home is not here")
        return await self._home(req.group).serve(req)

    def local(self, group: str) -> Home | None:
        """The home of a group that is open here, even if it has moved on."""
        return self._homes.get(group)

    def end_customer(self, customer: str) -> int:
        """End a customer's transactions that are open here; how many there were."""
        homes = self._homes.values()
        return sum(home.transactions.end_customer(customer) for home in homes)

    async def lend(self, req: AskTokens) -> Message:
        """Answer the home of another failure domain that asks for tokens."""
        if req.group not in self._catalog.groups or not self.holds(req.group):
            return _refused(Code.NO_HOME, "the group's home is not here")
        try:
            admission = self._home(req.group).admission
            return GrantTokens(grant=admission.lend(req.customer, req.ask))
        except FaultError as exc:
            return Refused(fault=exc.fault)

    def owner(self, group: str) -> str | None:
        """The instance that is the group's home in this failure domain."""
        members = [
            instance.name
            for instance in self._catalog.instances.values()
            if instance.failure_domain == self._cfg.failure_domain
            and not instance.leaving
        ]
        owner = rendezvous(group, members)
        if owner is not None and self._placed.get(group) != owner:
            self._placed[group] = owner
            emit(HOME_PLACED, group=group, instance=owner, considered=members)
        return owner

    def group(self, name: str) -> Group:
        """The servers of a group whose home is here."""
        return self._home(name).group

    def holds(self, group: str) -> bool:
        """Whether this process is the group's home in this failure domain."""
        return self.owner(group) == self._cfg.name

    def owner_in(self, failure_domain: str, group: str) -> str | None:
        """The instance that is the group's home in a failure domain."""
        members = [
            instance.name
            for instance in self._catalog.instances.values()
            if instance.failure_domain == failure_domain and not instance.leaving
        ]
        return rendezvous(group, members)

    def refresh(self) -> None:
        """Take over changes of the groups."""
        for name, home in list(self._homes.items()):
            spec = self._catalog.groups.get(name)
            if spec is None:
                self._homes.pop(name).close()
            else:
                home.group.update(spec)
        for row in self._catalog.rows():
            if row.group in self._homes:
                self._homes[row.group].admission.begin(row.customer)

    def close(self) -> None:
        """Close every home."""
        for home in self._homes.values():
            home.close()

    def _home(self, name: str) -> Home:
        if name not in self._homes:
            spec = self._catalog.groups[name]
            connections = min(server.connections for server in spec.servers)
            # The replicas' connections, and one for a failover.
            connections -= len(spec.servers)
            share = connections // self._cfg.failure_domains - CONTROL_CONNECTIONS
            group = Group(spec, pool_size=max(1, share))
            admission = Admission(
                name,
                lambda customer: self._limits(customer, name),
                site=self._site(name),
                holds=lambda at: self.holds(name),
                slots=lambda kind: _slots(group, kind),
            )
            self._homes[name] = Home(
                group,
                admission,
                instance=self._cfg.name,
                transactions=self._cfg.transactions,
                on_wait=self._on_wait,
            )
            self.refresh()
        return self._homes[name]

    def _limits(self, customer: str, group: str) -> Limits | None:
        row = self._catalog.row(customer, group)
        if row is None:
            return None
        return Limits(row.rate, row.burst, row.weight)

    def _site(self, group: str) -> Site:
        async def ask(customer: str, ask: Ask) -> Grant | None:
            return await self._ask_tokens(group, customer, ask)

        run = secrets.token_hex(RUN_BYTES)
        return Site(
            domain=self._cfg.failure_domain,
            home=f"{self._cfg.name}/{run}",
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
        answer = await self._links.call(owner, req, timeout_s=ASK_TIMEOUT_S)
        reply = answer.value_or(None)
        return reply.grant if isinstance(reply, GrantTokens) else None


def _slots(group: Group, kind: Kind) -> int:
    if kind is Kind.READ:
        return sum(server.slots for server in group.spec.servers if not server.leaving)
    slots = {server.name: server.slots for server in group.spec.servers}
    return slots.get(group.spec.primary, max(slots.values()))


def _refused(code: Code, message: str) -> Refused:
    fault = Fault(code, message, Step.FORWARD, "", Outcome.NOT_RUN, RETRY_AFTER_S)
    return Refused(fault=fault)
