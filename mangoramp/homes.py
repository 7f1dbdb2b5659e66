"""Finds the home of a group in this failure domain, here or at a peer."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Success

from .admission import Admission, Limits
from .catalog import Catalog
from .endpoints.group import Group
from .errors import Code, Fault, Outcome, Step
from .events import HOME_PLACED, REQUEST_FORWARDED, emit
from .home import Home
from .policy._rendezvous import rendezvous
from .proxies.links import Links
from .proxies.messages import Message, Refused, Request
from .settings import ProxySettings

CONTROL_CONNECTIONS = 1
RETRY_AFTER_S = 0.5
FORWARD_MARGIN_S = 0.2


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

    def refresh(self) -> None:
        """Take over changes of the groups."""
        for name, home in list(self._homes.items()):
            spec = self._catalog.groups.get(name)
            if spec is None:
                self._homes.pop(name).close()
            else:
                home.group.update(spec)

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
            admission = Admission(name, lambda customer: self._limits(customer, name))
            self._homes[name] = Home(
                group,
                admission,
                instance=self._cfg.name,
                transactions=self._cfg.transactions,
                on_wait=self._on_wait,
            )
        return self._homes[name]

    def _limits(self, customer: str, group: str) -> Limits | None:
        row = self._catalog.row(customer, group)
        if row is None:
            return None
        domains = self._cfg.failure_domains
        return Limits(row.rate / domains, max(1.0, row.burst / domains), row.weight)


def _refused(code: Code, message: str) -> Refused:
    fault = Fault(code, message, Step.FORWARD, "", Outcome.NOT_RUN, RETRY_AFTER_S)
    return Refused(fault=fault)
