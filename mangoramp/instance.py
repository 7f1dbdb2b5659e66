"""The daemon on the platform: wires the packages together and holds no rule itself."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import fields, replace
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry
from returns.result import Result

from .clock import boot_time
from .control.beliefs import Beliefs
from .control.limits import Limits
from .control.members import Members
from .control.news import AskNews, CatchUp, News, NewsMessage
from .control.peers import Peers, Report
from .control.promoter import Promoter
from .control.settings import Address, InstanceSettings
from .errors import Fault
from .events import (
    INSTANCE_STARTED,
    INSTANCE_STOPPED,
    INSTANCE_STOPPING,
    SETTINGS_RELOADED,
    TASK_ENDED,
    emit,
)
from .instance_metrics import InstanceCollector
from .platform.client import PlatformClient
from .platform.connection import WireConnector
from .platform.feed import Feed
from .platform.listener import Listener
from .platform.promotion import PromotionClient
from .platform.readiness import ReadinessServer
from .proxies.link import Codec, LinkServer
from .proxies.links import Links
from .serving.batches import BatchMessage
from .serving.executor import Executor
from .serving.gateway import Gateway
from .serving.homes import Homes
from .serving.operation import Ticket
from .serving.reading import Reader
from .serving.servers import Servers
from .serving.traffic import Traffic
from .serving.transactions import TransactionRunner
from .serving.writing import Writer

HOUSEKEEPING_S = 0.25  # a tenth of the shortest time after which something is dropped
UNLISTED_S = 2.3  # the balancer takes an instance out after two probes, a second apart
LAST_S = 0.8  # of the grace, for the end of the process itself
POLL_S = 0.05
LINK_CODEC = Codec(
    msgspec.msgpack.Encoder().encode,
    msgspec.msgpack.Decoder(BatchMessage | NewsMessage).decode,
)


class Instance:
    """One instance of the proxy on the platform.

    Args:
        cfg: Its settings.
        rng: Source of jitter.
    """

    def __init__(
        self, cfg: InstanceSettings, *, rng: random.Random | None = None
    ) -> None:
        rng = rng or random.Random()
        self.cfg = cfg
        self.registry = CollectorRegistry()
        self.servers = Servers(WireConnector(), boot_time)
        self.beliefs = Beliefs(self.servers)
        self.peers = Peers(
            cfg.name,
            self._report,
            lambda: self._urgent(),
            boot_time,
            rng,
            cfg.failure_domain,
        )
        self.limits = Limits(cfg.name, self.peers, is_first_start=cfg.is_first_start)
        self._client = PlatformClient(cfg.store_url)
        self._orders = PromotionClient(cfg.promotion_url)
        self._members = Members(cfg, self._client, self.peers, rng)
        self._feed = Feed(
            self._client,
            self.beliefs,
            cfg.bounds,
            is_watcher=lambda: self.peers.is_watcher,
            is_first_watcher=lambda: self.peers.is_first_watcher,
            rng=rng,
            clock=boot_time,
        )
        self._promoter = Promoter(
            cfg.name,
            self.servers,
            self.peers,
            self._client,
            self._orders,
            lambda: self.beliefs.deployment,
        )
        self._links = Links(self._link_address, LINK_CODEC)
        self._link_server: LinkServer | None = None
        self._catch_up = CatchUp(
            self.beliefs, self.peers, self._feed.poll_now, self._ask_news
        )
        self.homes = Homes(
            cfg.name,
            self.servers,
            instances=lambda: self.peers.serving | {cfg.name: self.cfg.strength},
            admit=self._take_ticket,
            links=self._links,
            heard_at=self.peers.heard_at,
        )
        self.servers.limit = self.homes.limit
        executor = Executor(
            self.servers, self._promoter.is_lost, self.homes, self._take_ticket
        )
        reader = Reader(executor, cfg.failure_domain)
        self.gateway = Gateway(
            deployment=lambda: self.beliefs.deployment,
            deployed=self.beliefs.deployed,
            reader=reader,
            writer=Writer(executor),
            transactions=TransactionRunner(executor, reader),
            admit=self._admit,
            clock=boot_time,
            traffic=Traffic(self.registry),
        )
        self._listener = Listener(self.gateway.open)
        self.registry.register(InstanceCollector(self))
        self._readiness = ReadinessServer(lambda: self.is_ready, self.registry)
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self.beliefs.on_deployment = self._resize
        self.beliefs.on_change = self._note_news
        self.peers.on_report = self._catch_up.heard
        self.peers.on_spent = self._spent
        self._knows_instances = False
        self._members.on_listed = self._listed

    @property
    def is_ready(self) -> bool:
        """Whether it takes new callers."""
        known = self.beliefs.deployed.is_set() and self.beliefs.registered.is_set()
        return known and not self._is_stopping and not self._promoter.is_cut_off

    async def start(self) -> None:
        """Listen, and learn what the store holds."""
        self._readiness.listen(self.cfg.health)
        self._listener.listen(self.cfg.callers)
        address = _link_url(self.cfg.peers)
        self._link_server = LinkServer(address, self._answer_peer, LINK_CODEC)
        await self.peers.listen(self.cfg.peers, self.cfg.seeds)
        for work in (
            self._feed.run(),
            self.peers.run(),
            self._members.run(),
            self._promoter.run(),
            self._keep_house(),
            self._link_server.run(),
        ):
            self._start(work)
        emit(
            INSTANCE_STARTED,
            name=self.cfg.name,
            failure_domain=self.cfg.failure_domain,
            first=self.cfg.is_first_start,
        )

    async def stop(self) -> None:
        """Stop without cutting a request, within the grace."""
        emit(INSTANCE_STOPPING, name=self.cfg.name)
        self._is_stopping = True
        self.peers.tell(at_once=True)
        started = boot_time()
        grace = self.cfg.bounds.grace_s
        while boot_time() - started < grace - LAST_S:
            waited = boot_time() - started
            if waited > UNLISTED_S:
                self._listener.close_idle_connections()
                if self._listener.is_idle and self.homes.is_idle:
                    break
            if waited > grace / 2:
                self.gateway.end_transactions()
                self.homes.drop_pinned()
            await asyncio.sleep(POLL_S)
        self._listener.stop()
        self.peers.tell(at_once=True)
        await self._members.leave()
        self.close()

    def reload(self, cfg: InstanceSettings) -> None:
        """Take over changed settings; addresses stay as they were at the start."""
        changed = [
            field.name
            for field in fields(cfg)
            if getattr(cfg, field.name) != getattr(self.cfg, field.name)
        ]
        self.cfg = replace(self.cfg, bounds=cfg.bounds, strength=cfg.strength)
        emit(SETTINGS_RELOADED, changed=changed)

    def close(self) -> None:
        """End at once."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()
        self._readiness.close()
        self._catch_up.close()
        if self._link_server is not None:
            self._link_server.close()
        self._links.close()
        self.servers.close()
        self.peers.close()
        self._client.close()
        self._orders.close()
        emit(INSTANCE_STOPPED, name=self.cfg.name)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work, name=getattr(work, "__qualname__", "task"))
        task.add_done_callback(_report_fault)
        self._tasks.append(task)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.gateway.end_idle()
            self.servers.tidy()
            self.homes.tidy()
            self._share()
            self._catch_up.look()
            if self._promoter.is_cut_off:
                # Their callers connect again, to an instance that can serve them.
                self._listener.close_idle_connections()

    def _note_news(self) -> None:
        self.peers.has_news = self.peers.is_watcher

    async def _answer_peer(
        self, message: BatchMessage | NewsMessage
    ) -> BatchMessage | NewsMessage:
        if isinstance(message, AskNews):
            return self._catch_up.answer(message)
        return await self.homes.answer(message)

    async def _ask_news(
        self, peer: str, message: AskNews, timeout_s: float
    ) -> Result[News, Fault]:
        return await self._links.call(peer, message, timeout_s=timeout_s)

    def _listed(self) -> None:
        self._knows_instances = True
        self._share()

    def _share(self) -> None:
        instances = len(self.peers.everyone) if self._knows_instances else 0
        self.servers.resize(None, instances)

    def _link_address(self, name: str) -> str | None:
        address = self.peers.address_of(name)
        return _link_url(address) if address is not None else None

    def _resize(self) -> None:
        deployment = self.beliefs.deployment
        assert deployment is not None
        self.servers.resize(deployment, self.servers.instances)
        self.limits.resize(deployment, boot_time())
        self.gateway.end_idle()

    def _spent(self, peer: str, customer: str, count: int) -> None:
        self.limits.spent_by(peer, customer, count, boot_time())

    def _take_ticket(self, customer: str, request_id: str) -> float:
        return self.limits.admit(customer, boot_time(), request_id)

    def _admit(self, customer: str, ticket: Ticket) -> float:
        # Where customers have homes, only these know all that is asked.
        if ticket.is_taken or not self.homes.is_direct:
            return 0.0
        wait_s = self._take_ticket(customer, ticket.request_id)
        ticket.is_taken = wait_s == 0
        return wait_s

    def _urgent(self) -> dict[str, int]:
        return self.limits.urgent() if self.homes.is_direct else {}

    def _report(self, incarnation: int, number: int) -> Report:
        return Report(
            name=self.cfg.name,
            incarnation=incarnation,
            number=number,
            is_leaving=self._is_stopping and self._listener.is_idle,
            is_draining=self._is_stopping,
            revision=self.beliefs.revision,
            registry_revision=self.beliefs.registry_revision,
            spent=dict(self.limits.spent) if self.homes.is_direct else {},
            heard=self._promoter.heard(),
            strength=self.cfg.strength,
            failure_domain=self.cfg.failure_domain,
            is_current=not self._feed.is_failing,
        )


def _link_url(address: Address) -> str:
    host, port = address
    return f"tcp://{host}:{port}"


def _report_fault(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        emit(TASK_ENDED, task=task.get_name(), reason=repr(task.exception()))
