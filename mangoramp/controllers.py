"""The controllers of the groups whose home is here, and their views for others."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from returns.result import Success

from .catalog import Catalog
from .controller import Controller
from .endpoints.control import probe
from .errors import Code, Fault, Step
from .homes import Homes
from .platform.client import PlatformClient, Versioned
from .policy._rendezvous import rendezvous
from .policy.failover import rank_voters
from .policy.suspicion import View
from .proxies.links import Links
from .proxies.messages import AskView, Message, Refused, ViewAnswer
from .settings import ProxySettings

VIEW_TIMEOUT_S = 0.8
PROBE_TIMEOUT_S = 0.6
ASKED_INSTANCES = 2


class Controllers:
    """All controllers of one proxy.

    Args:
        cfg: The proxy's settings.
        catalog: What is known from the platform.
        homes: The homes; a group's controller runs where its home is.
        links: The way to the other proxies.
        client: The platform.
        on_failover: Called with a group's name when its failover is over.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        cfg: ProxySettings,
        catalog: Catalog,
        homes: Homes,
        links: Links,
        client: PlatformClient,
        *,
        on_failover: Callable[[str], None] = lambda group: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._cfg = cfg
        self._catalog = catalog
        self._homes = homes
        self._links = links
        self._client = client
        self._on_failover = on_failover
        self._clock = clock
        self._controllers: dict[str, Controller] = {}
        self._due: asyncio.Handle | None = None

    def refresh(self) -> None:
        """Take over what changed, once for all changes that come together."""
        if self._due is None:
            self._due = asyncio.get_running_loop().call_soon(self._refresh)

    def drop(self, group: str) -> None:
        """Stop the controller of a group, if it runs here."""
        self._drop(group)

    async def answer_view(self, req: AskView) -> Message:
        """Tell another failure domain what is seen of a group's primary here."""
        controller = self._controllers.get(req.group)
        view = controller.view() if controller else await self._probed(req.group)
        if view is None:
            fault = Fault(Code.GROUP_UNKNOWN, "the group is not known", Step.ROUTE)
            return Refused(fault=fault)
        version = self._catalog.group_versions[req.group]
        newer = self._catalog.groups[req.group] if version > req.version else None
        return ViewAnswer(view=view, version=version, newer=newer)

    def close(self) -> None:
        """Stop all controllers."""
        if self._due is not None:
            self._due.cancel()
        for name in list(self._controllers):
            self._drop(name)

    def _refresh(self) -> None:
        self._due = None
        domains = {i.failure_domain for i in self._catalog.instances.values()}
        for name, spec in self._catalog.groups.items():
            servers = [server.failure_domain for server in spec.servers]
            voters = rank_voters(name, servers, domains)
            counts = self._cfg.failure_domain in voters
            if counts and self._homes.holds(name, self._clock()):
                version = self._catalog.group_versions[name]
                self._controller(name).update(version, spec, voters)
            else:
                self._drop(name)
        for name in self._controllers.keys() - self._catalog.groups.keys():
            self._drop(name)

    def _controller(self, name: str) -> Controller:
        group = self._homes.group(name)
        known = self._controllers.get(name)
        if known is not None and known.group is not group:
            self._drop(name)
        if name not in self._controllers:
            self._controllers[name] = Controller(
                group,
                self._cfg.failure_domain,
                self._client,
                self._ask_view,
                on_failover=self._on_failover,
                clock=self._clock,
            )
        return self._controllers[name]

    def _drop(self, name: str) -> None:
        controller = self._controllers.pop(name, None)
        if controller is not None:
            controller.close()

    async def _ask_view(self, failure_domain: str, group: str) -> View | None:
        for peer in self._peers(failure_domain, group)[:ASKED_INSTANCES]:
            req = AskView(group=group, version=self._catalog.group_versions[group])
            answer = await self._links.call(peer, req, timeout_s=VIEW_TIMEOUT_S)
            if isinstance(answer, Success):
                found = answer.unwrap()
                if isinstance(found, ViewAnswer):
                    self._take_newer(group, found)
                    return found.view
        return None

    def _take_newer(self, group: str, found: ViewAnswer) -> None:
        """Take over an object that the platform, cut off from here, told a peer."""
        if found.newer is not None:
            self._catalog.take_group(Versioned(group, found.version, found.newer))

    def _peers(self, failure_domain: str, group: str) -> list[str]:
        """The instances of a failure domain, the home of the group first."""
        names = sorted(
            instance.name
            for instance in self._catalog.instances.values()
            if instance.failure_domain == failure_domain and not instance.leaving
        )
        home = rendezvous(group, names)
        return sorted(names, key=lambda name: name != home)

    async def _probed(self, group: str) -> View | None:
        """Look at a primary that no home follows here, on a new connection."""
        spec = self._catalog.groups.get(group)
        if spec is None:
            return None
        server = next((s for s in spec.servers if s.name == spec.primary), None)
        if server is None:
            return None
        answer = await probe(server, asked_at=self._clock(), timeout_s=PROBE_TIMEOUT_S)
        status = answer.value_or(None)
        heard = status is not None and status.is_primary and status.term == spec.term
        silent_s = 0.0 if heard else PROBE_TIMEOUT_S
        return View(self._cfg.failure_domain, spec.term, silent_s)
