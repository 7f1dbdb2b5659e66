"""The proxy daemon: builds and connects the components, without policy of its own."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Iterable
from functools import singledispatch

from prometheus_client import CollectorRegistry
from returns.result import Success
from tornado.httpserver import HTTPServer

from .callers.app import MAX_DISCARDED_BYTES, callers_application
from .callers.health import health_application
from .callers.in_flight import InFlightCounter
from .callers.transactions import transaction_routes
from .catalog import KIND_INSTANCE, Catalog
from .controllers import FailoverControllers
from .distribution import Distribution
from .errors import Code, Fault, Step
from .events import PROXY_STARTED, PROXY_STOPPED, PROXY_STOPPING, REQUESTS_DRAINED, emit
from .homes import Homes
from .ingress import Ingress
from .membership import Membership, deregister_instance
from .metrics import ReportCollector, make_metrics
from .objects import InstanceObject
from .operators.keys import make_first_signing_key
from .operators.report import ProxyReport, build_report
from .platform.client import PlatformClient
from .proxies.link import LinkServer
from .proxies.links import Links
from .proxies.messages import (
    PROXY_CODEC,
    AskTokens,
    AskView,
    BeginTransaction,
    EndTransaction,
    Follow,
    Heartbeat,
    Message,
    Refused,
    RunInTransaction,
    RunStatement,
    SettleTransaction,
)
from .settings import ProxySettings
from .transaction_ingress import TransactionIngress
from .transaction_router import TransactionRouter

REGISTER_RETRY_S = 0.2
STARTUP_SETTLE_TIMEOUT_S = 3.0
SIGNING_KEY_RETRY_S = 0.5
DRAIN_POLL_S = 0.02
DRAIN_LINGER_S = 0.1
OPEN_TRANSACTIONS_WAIT_S = 5.0
REGISTRATION_CHECK_S = 5.0
CANCEL_RETRY_S = 0.1
DEREGISTER_TIMEOUT_S = 1.0


class Proxy:
    """Runs one proxy, from startup to shutdown.

    Args:
        cfg: The proxy's settings.
    """

    def __init__(self, cfg: ProxySettings) -> None:
        self.cfg = cfg
        self.registry = CollectorRegistry()
        self.metrics = make_metrics(self.registry)
        self.registry.register(ReportCollector(self.report))
        self.is_ready = False
        self._client = PlatformClient(cfg.platform)
        self.catalog = Catalog()
        self._links = Links(self._address_of, PROXY_CODEC)
        # Separate links: heartbeats don't queue behind callers' requests, and a link
        # reset after a lost heartbeat doesn't abort those requests.
        self._control_links = Links(self._address_of, PROXY_CODEC)
        self.distribution = Distribution(
            cfg.name, self.catalog, self._client, self._control_links
        )
        self.membership = Membership(
            cfg, self._client, self.catalog, self._control_links, self.distribution
        )
        self.homes = Homes(
            cfg,
            self.catalog,
            self._links,
            self.membership,
            on_wait=self.metrics.record_wait,
        )
        self.controllers = FailoverControllers(
            cfg,
            self.catalog,
            self.homes,
            self._links,
            self._client,
            on_failover=lambda group: self.metrics.failovers.labels(group).inc(),
        )
        self.catalog.on_key_withdrawn = self._end_transactions
        self.homes.on_close = self.controllers.stop_controller
        self.catalog.on_change = self._refresh
        self.membership.on_change = self._refresh_homes
        self._ingress = Ingress(
            self.catalog,
            self.homes,
            cfg.failure_domain,
            knows_keys=lambda: self.catalog.keys_age_s <= cfg.key_max_age_s,
            metrics=self.metrics,
        )
        self._transaction_router = TransactionRouter(cfg.name, self.homes, self._links)
        self._in_flight = InFlightCounter()
        self._http_servers: list[HTTPServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._peer_server: LinkServer | None = None
        self._dispatch = singledispatch(_refuse_unknown)
        register = self._dispatch.register
        register(RunStatement, self.homes.serve)
        register(BeginTransaction, self.homes.serve)
        register(SettleTransaction, self.homes.serve)
        register(RunInTransaction, self._transaction_router.serve)
        register(EndTransaction, self._transaction_router.serve)
        register(AskView, self.controllers.handle_ask_view)
        register(AskTokens, self.homes.lend)
        register(Heartbeat, self.membership.handle_heartbeat)
        register(Follow, self.distribution.handle_follow)

    async def start(self) -> None:
        """Listen, register, read the platform's objects, then become ready."""
        self._peer_server = LinkServer(
            self.cfg.peer_address, self._dispatch, PROXY_CODEC
        )
        self._tasks = [
            asyncio.ensure_future(self._peer_server.run()),
            asyncio.ensure_future(self.distribution.run()),
            asyncio.ensure_future(self.membership.run()),
            asyncio.ensure_future(self._ensure_registered()),
        ]
        self._listen()
        await self._register(leaving=False)
        await self.catalog.wait_until_synced()
        await self._ensure_signing_key()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STARTUP_SETTLE_TIMEOUT_S):
                await self.membership.wait_until_settled()
        self.is_ready = True
        emit(PROXY_STARTED, name=self.cfg.name, failure_domain=self.cfg.failure_domain)

    async def shut_down(self, stop_now: asyncio.Event) -> None:
        """Drain the requests in flight, then stop.

        Args:
            stop_now: Event that cuts the drain short.
        """
        emit(PROXY_STOPPING, name=self.cfg.name)
        self.is_ready = False
        await _run_unless_set(
            stop_now, self._drain(), self.cfg.drain_s + self.cfg.ready_grace_s
        )
        await self._close()

    async def stop(self) -> None:
        """Stop without draining requests."""
        emit(PROXY_STOPPING, name=self.cfg.name)
        self.is_ready = False
        await self._close()

    def report(self) -> ProxyReport:
        """Collect the status of this proxy."""
        return build_report(self.cfg, self.catalog, self.homes, ready=self.is_ready)

    def _refresh(self) -> None:
        self.homes.refresh()
        self.controllers.schedule_refresh()

    def _end_transactions(self, key_id: str, customer: str) -> None:
        self.homes.abort_customer_transactions(customer)

    def _refresh_homes(self) -> None:
        self.homes.close_moved()
        if self.membership.check_placement_change():
            self.controllers.schedule_refresh()

    async def _drain(self) -> None:
        registering = asyncio.ensure_future(self._register(leaving=True))
        try:
            await self._drain_requests()
        finally:
            registering.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                await deregister_instance(self._client, self.cfg.name)

    async def _drain_requests(self) -> None:
        # A sole member has no peer to hand its homes to, so it keeps them until its
        # callers' requests are done.
        is_only_member = self.membership.view.members in ((), (self.cfg.name,))
        self._in_flight.is_draining = True
        grace = asyncio.sleep(self.cfg.ready_grace_s)
        if is_only_member:
            await grace
        else:
            await asyncio.gather(grace, self._hand_over())
        for server in self._http_servers:
            server.stop()
        await self._in_flight.wait_until_idle()
        while self._is_busy():
            await asyncio.sleep(DRAIN_POLL_S)
        emit(REQUESTS_DRAINED, name=self.cfg.name)
        if is_only_member:
            await self.membership.leave()
        await asyncio.sleep(DRAIN_LINGER_S)

    async def _hand_over(self) -> None:
        # After its home has moved, an open transaction can't run further statements.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(OPEN_TRANSACTIONS_WAIT_S, self.cfg.drain_s)):
                while self.homes.open_transactions:
                    await asyncio.sleep(DRAIN_POLL_S)
        await self.membership.leave()

    def _is_busy(self) -> bool:
        if self.homes.open_transactions:
            return True
        return self._peer_server is not None and bool(
            self._peer_server.count_in_progress(excluding=Follow)
        )

    async def _close(self) -> None:
        for server in self._http_servers:
            server.stop()
        if self._peer_server is not None:
            self._peer_server.close()
        await _cancel(self._tasks)
        self.controllers.close()
        self.homes.close()
        self._links.close()
        self._control_links.close()
        self._client.close()
        for server in self._http_servers:
            await server.close_all_connections()
        emit(PROXY_STOPPED, name=self.cfg.name)

    def _listen(self) -> None:
        cfg = self.cfg
        transactions = TransactionIngress(
            self._ingress, self.homes, self._transaction_router
        )
        app = callers_application(
            self._ingress,
            transaction_routes(transactions),
            in_flight=self._in_flight,
        )
        callers = HTTPServer(app, max_body_size=MAX_DISCARDED_BYTES)
        callers.listen(cfg.listen_port, address=cfg.listen_host)
        health = HTTPServer(
            health_application(self.registry, lambda: self.is_ready, self.report)
        )
        health.listen(cfg.metrics_port, address=cfg.listen_host)
        self._http_servers = [callers, health]

    def _address_of(self, peer: str) -> str | None:
        if peer == self.membership.relay:
            return self.membership.relay_address
        instance = self.catalog.instances.get(peer)
        return instance.address if instance is not None else None

    async def _register(self, *, leaving: bool) -> None:
        cfg = self.cfg
        registration = InstanceObject(
            cfg.name,
            cfg.failure_domain,
            cfg.peer_address,
            leaving=leaving,
            admin=cfg.admin_address,
        )
        while True:
            found = await self._client.get(KIND_INSTANCE, cfg.name, InstanceObject)
            if isinstance(found, Success):
                known = found.unwrap()
                if known.value == registration:
                    return
                await self._client.put(
                    KIND_INSTANCE, cfg.name, registration, version=known.version
                )
                continue
            await asyncio.sleep(REGISTER_RETRY_S)

    async def _ensure_registered(self) -> None:
        while True:
            await asyncio.sleep(REGISTRATION_CHECK_S)
            if self.is_ready and self.cfg.name not in self.catalog.instances:
                await self._register(leaving=False)

    async def _ensure_signing_key(self) -> None:
        while self.catalog.signing_keys is None:
            await make_first_signing_key(self._client)
            await self.catalog.wait_for_change(SIGNING_KEY_RETRY_S)


async def _refuse_unknown(req: Message) -> Message:
    message = "this message is no request"
    return Refused(fault=Fault(Code.BAD_REQUEST, message, Step.FORWARD))


async def _cancel(tasks: Iterable[asyncio.Task[None]]) -> None:
    # A pynng receive that has just got a message swallows the cancellation, so the
    # cancellation is repeated.
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)


async def _run_unless_set(
    event: asyncio.Event, work: Awaitable[None], timeout_s: float
) -> None:
    working = asyncio.ensure_future(work)
    waiting = asyncio.ensure_future(event.wait())
    first = asyncio.FIRST_COMPLETED
    await asyncio.wait((working, waiting), timeout=timeout_s, return_when=first)
    for task in (working, waiting):
        task.cancel()
    await asyncio.gather(working, waiting, return_exceptions=True)


async def run_until_stopped(
    proxy: Proxy, stopped: asyncio.Event, stop_now: asyncio.Event | None = None
) -> None:
    """Run a proxy until an event is set, then shut it down.

    Args:
        proxy: The proxy.
        stopped: Event that starts the shutdown.
        stop_now: Event that cuts the drain of the shutdown short.
    """
    start = asyncio.ensure_future(proxy.start())
    stop = asyncio.ensure_future(stopped.wait())
    await asyncio.wait((start, stop), return_when=asyncio.FIRST_COMPLETED)
    if not start.done():
        start.cancel()
        await proxy.stop()
        return
    start.result()
    await stop
    await proxy.shut_down(stop_now or asyncio.Event())
