"""Failover controllers of the groups whose home is this proxy."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from returns.result import Success

from .catalog import Catalog
from .controller import FailoverController
from .endpoints.failover_commands import probe
from .errors import Code, Fault, Step
from .homes import Homes
from .platform.client import PlatformClient, Versioned
from .policy._rendezvous import rendezvous
from .policy.failover import rank_voters
from .policy.failure_detector import PrimaryView
from .proxies.links import Links
from .proxies.messages import AskView, Message, Refused, ViewAnswer
from .settings import ProxySettings

PEER_VIEW_TIMEOUT_S = 0.8
PRIMARY_PROBE_TIMEOUT_S = 0.6
MAX_INSTANCES_ASKED = 2


class FailoverControllers:
    """Starts and stops the failover controllers of one proxy.

    Args:
        cfg: The proxy's settings.
        catalog: The objects known from the platform.
        homes: The homes; a group's controller runs where its home is.
        links: Links to the other proxies.
        client: Client of the platform.
        on_failover: Called with a group's name after a completed failover.
        clock: Returns the current time in seconds.
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
        self._controllers: dict[str, FailoverController] = {}
        self._pending_refresh: asyncio.Handle | None = None

    def schedule_refresh(self) -> None:
        """Schedule an update of the controllers, one for several changes at once."""
        if self._pending_refresh is None:
            self._pending_refresh = asyncio.get_running_loop().call_soon(self._refresh)

    def stop_controller(self, group: str) -> None:
        """Stop the controller of a group, if it runs here."""
        self._stop(group)

    async def handle_ask_view(self, req: AskView) -> Message:
        """Answer another failure domain with the view of a group's primary here."""
        controller = self._controllers.get(req.group)
        view = controller.view() if controller else await self._probe_view(req.group)
        if view is None:
            fault = Fault(Code.GROUP_UNKNOWN, "the group is not known", Step.ROUTE)
            return Refused(fault=fault)
        version = self._catalog.group_versions[req.group]
        newer = self._catalog.groups[req.group] if version > req.version else None
        return ViewAnswer(view=view, version=version, newer=newer)

    def close(self) -> None:
        """Stop all controllers."""
        if self._pending_refresh is not None:
            self._pending_refresh.cancel()
        for name in list(self._controllers):
            self._stop(name)

    def _refresh(self) -> None:
        self._pending_refresh = None
        domains = {i.failure_domain for i in self._catalog.instances.values()}
        for name, spec in self._catalog.groups.items():
            servers = [server.failure_domain for server in spec.servers]
            voters = rank_voters(name, servers, domains)
            is_voter = self._cfg.failure_domain in voters
            if is_voter and self._homes.holds(name, self._clock()):
                version = self._catalog.group_versions[name]
                self._ensure_controller(name).update(version, spec, voters)
            else:
                self._stop(name)
        for name in self._controllers.keys() - self._catalog.groups.keys():
            self._stop(name)

    def _ensure_controller(self, name: str) -> FailoverController:
        group = self._homes.group(name)
        known = self._controllers.get(name)
        if known is not None and known.group is not group:
            self._stop(name)
        if name not in self._controllers:
            self._controllers[name] = FailoverController(
                group,
                self._cfg.failure_domain,
                self._client,
                self._request_view,
                on_failover=self._on_failover,
                clock=self._clock,
            )
        return self._controllers[name]

    def _stop(self, name: str) -> None:
        controller = self._controllers.pop(name, None)
        if controller is not None:
            controller.close()

    async def _request_view(
        self, failure_domain: str, group: str
    ) -> PrimaryView | None:
        for peer in self._ordered_peers(failure_domain, group)[:MAX_INSTANCES_ASKED]:
            req = AskView(group=group, version=self._catalog.group_versions[group])
            answer = await self._links.call(peer, req, timeout_s=PEER_VIEW_TIMEOUT_S)
            if isinstance(answer, Success):
                found = answer.unwrap()
                if isinstance(found, ViewAnswer):
                    self._apply_newer_group(group, found)
                    return found.view
        return None

    def _apply_newer_group(self, group: str, found: ViewAnswer) -> None:
        """Apply a peer's newer group object, in case the platform is unreachable."""
        if found.newer is not None:
            self._catalog.apply_group(Versioned(group, found.version, found.newer))

    def _ordered_peers(self, failure_domain: str, group: str) -> list[str]:
        """Return a failure domain's instances, with the group's home first."""
        names = sorted(
            instance.name
            for instance in self._catalog.instances.values()
            if instance.failure_domain == failure_domain and not instance.leaving
        )
        home = rendezvous(group, names)
        return sorted(names, key=lambda name: name != home)

    async def _probe_view(self, group: str) -> PrimaryView | None:
        """Probe the primary on a new connection, as no controller here tracks it."""
        spec = self._catalog.groups.get(group)
        if spec is None:
            return None
        server = next((s for s in spec.servers if s.name == spec.primary), None)
        if server is None:
            return None
        answer = await probe(
            server, asked_at=self._clock(), timeout_s=PRIMARY_PROBE_TIMEOUT_S
        )
        status = answer.value_or(None)
        heard = status is not None and status.is_primary and status.term == spec.term
        silent_s = 0.0 if heard else PRIMARY_PROBE_TIMEOUT_S
        return PrimaryView(self._cfg.failure_domain, spec.term, silent_s)
