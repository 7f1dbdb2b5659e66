"""The proxy daemon: wires the packages together and holds no rule of its own."""

from __future__ import annotations

import asyncio
import contextlib
from functools import singledispatch

from prometheus_client import CollectorRegistry
from returns.result import Success
from tornado.httpserver import HTTPServer

from .callers.app import MAX_DISCARDED_BYTES, callers_application
from .callers.health import health_application
from .callers.transactions import transaction_routes
from .catalog import KIND_INSTANCE, Catalog
from .controllers import Controllers
from .errors import Code, Fault, Step
from .events import PROXY_STARTED, PROXY_STOPPED, PROXY_STOPPING, emit
from .homes import Homes
from .ingress import Ingress
from .metrics import ReportCollector, make_metrics
from .operators.report import ProxyReport, report
from .pinned import Pinned
from .platform.client import PlatformClient
from .platform.objects import InstanceObject
from .proxies.link import LinkServer
from .proxies.links import Links
from .proxies.messages import (
    AskTokens,
    AskView,
    BeginTransaction,
    EndTransaction,
    Message,
    Refused,
    RunInTransaction,
    RunStatement,
    SettleTransaction,
)
from .settings import ProxySettings
from .transaction_ingress import TransactionIngress

REGISTER_RETRY_S = 0.2


class Proxy:
    """One proxy.

    Args:
        cfg: Its settings.
    """

    def __init__(self, cfg: ProxySettings) -> None:
        self.cfg = cfg
        self.registry = CollectorRegistry()
        self.metrics = make_metrics(self.registry)
        self.registry.register(ReportCollector(self.report))
        self.ready = False
        self._client = PlatformClient(cfg.platform)
        self.catalog = Catalog(self._client)
        self._links = Links(self._address_of)
        self.homes = Homes(cfg, self.catalog, self._links, on_wait=self.metrics.waited)
        self.controllers = Controllers(
            cfg,
            self.catalog,
            self.homes,
            self._links,
            self._client,
            on_failover=lambda group: self.metrics.failovers.labels(group).inc(),
        )
        self.catalog.on_change = self._refresh
        self._ingress = Ingress(
            self.catalog, self.homes, cfg.failure_domain, metrics=self.metrics
        )
        self._pinned = Pinned(cfg.name, self.homes, self._links)
        self._http: list[HTTPServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._peers: LinkServer | None = None
        self._answer = singledispatch(_refuse_unknown)
        register = self._answer.register
        register(RunStatement, self.homes.serve)
        register(BeginTransaction, self.homes.serve)
        register(SettleTransaction, self.homes.serve)
        register(RunInTransaction, self._pinned.serve)
        register(EndTransaction, self._pinned.serve)
        register(AskView, self.controllers.answer_view)
        register(AskTokens, self.homes.lend)

    async def start(self) -> None:
        """Listen, learn what the platform holds, then be ready."""
        self._peers = LinkServer(self.cfg.peer_address, self._answer)
        self._tasks = [
            asyncio.ensure_future(self._peers.run()),
            asyncio.ensure_future(self.catalog.run()),
        ]
        self._listen()
        await self._register()
        await self.catalog.ready()
        self.ready = True
        emit(PROXY_STARTED, name=self.cfg.name, failure_domain=self.cfg.failure_domain)

    async def stop(self) -> None:
        """Stop at once."""
        emit(PROXY_STOPPING, name=self.cfg.name)
        self.ready = False
        for server in self._http:
            server.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._peers is not None:
            self._peers.close()
        self.controllers.close()
        self.homes.close()
        self._links.close()
        self._client.close()
        for server in self._http:
            await server.close_all_connections()
        emit(PROXY_STOPPED, name=self.cfg.name)

    def report(self) -> ProxyReport:
        """What this proxy knows and does."""
        return report(self.cfg, self.catalog, self.homes, ready=self.ready)

    def _refresh(self) -> None:
        self.homes.refresh()
        self.controllers.refresh()

    def _listen(self) -> None:
        cfg = self.cfg
        transactions = TransactionIngress(self._ingress, self.homes, self._pinned)
        app = callers_application(self._ingress, transaction_routes(transactions))
        callers = HTTPServer(app, max_body_size=MAX_DISCARDED_BYTES)
        callers.listen(cfg.listen_port, address=cfg.listen_host)
        health = HTTPServer(
            health_application(self.registry, lambda: self.ready, self.report)
        )
        health.listen(cfg.metrics_port, address=cfg.listen_host)
        self._http = [callers, health]

    def _address_of(self, peer: str) -> str | None:
        instance = self.catalog.instances.get(peer)
        return instance.address if instance is not None else None

    async def _register(self) -> None:
        cfg = self.cfg
        mine = InstanceObject(
            cfg.name, cfg.failure_domain, cfg.peer_address, admin=cfg.admin_address
        )
        while True:
            found = await self._client.get(KIND_INSTANCE, cfg.name, InstanceObject)
            if isinstance(found, Success):
                known = found.unwrap()
                if known.value == mine:
                    return
                await self._client.put(
                    KIND_INSTANCE, cfg.name, mine, version=known.version
                )
                continue
            await asyncio.sleep(REGISTER_RETRY_S)


async def _refuse_unknown(req: Message) -> Message:
    message = "this message is no request"
    return Refused(fault=Fault(Code.BAD_REQUEST, message, Step.FORWARD))


async def run_until_stopped(proxy: Proxy, stopped: asyncio.Event) -> None:
    """Run a proxy until an event is set."""
    await proxy.start()
    with contextlib.suppress(asyncio.CancelledError):
        await stopped.wait()
    await proxy.stop()
