"""An instance of the proxy on the platform: creates and connects its components."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from dataclasses import fields, replace
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry
from returns.result import Result

from .clock import boot_time
from .control.cluster_state import ClusterState
from .control.confirmations import Confirmations, Topic
from .control.evacuations import Evacuations
from .control.instance_list import InstanceList
from .control.limits import CustomerLimits
from .control.load_reports import LoadReports
from .control.news import AskNews, News, NewsMessage
from .control.news_fetcher import NewsFetcher
from .control.path_prober import PathProber
from .control.peers import Peers
from .control.promoter import Promoter
from .control.reports import Report
from .control.settings import Address, InstanceSettings
from .control.staleness_checks import StalenessChecks
from .decoding import msgpack_decoder
from .errors import Fault
from .events import (
    INSTANCE_STARTED,
    INSTANCE_STOPPED,
    INSTANCE_STOPPING,
    LOAD_REPORTS_OFF,
    SETTINGS_RELOADED,
    TASK_FAILED,
    emit,
    place_of,
)
from .instance_metrics import InstanceCollector
from .platform.client import PlatformClient
from .platform.connection import WireConnector, probe_host
from .platform.feed import PEERS_FIRST_S, Feed
from .platform.listener import Listener
from .platform.promotion import PromotionClient
from .platform.readiness import ReadinessServer
from .policy.homes import Candidate, hubs_per_domain
from .policy.isolation import is_cut_off
from .policy.memory_budget import budget_bytes, state_bytes
from .policy.quota import RateTolerance
from .proxies.envelope import Codec
from .proxies.link import LinkServer
from .proxies.links import Links
from .serving.admission import AdmissionControl
from .serving.batches import BatchMessage
from .serving.executor import Executor
from .serving.explainer import Explainer
from .serving.gateway import Gateway
from .serving.homes import Homes
from .serving.memory import Memory
from .serving.operation import Ticket
from .serving.reading import Reader
from .serving.server_health import ServerHealth
from .serving.servers import Servers
from .serving.shares import SlotShares
from .serving.statement_metrics import StatementMetrics
from .serving.transactions import TransactionRunner
from .serving.writing import Writer

HOUSEKEEPING_INTERVAL_S = 0.25  # a tenth of the shortest expiry time
FOLLOWER_HOUSEKEEPING_S = 1.0  # of an instance that holds no connections
BALANCER_REMOVAL_S = 2.3  # the load balancer needs two failed probes, 1 s apart
EXIT_RESERVE_S = 0.8  # part of the grace period, for the exit itself
DRAIN_POLL_S = 0.05
DUTY_RESTART_S = 0.5  # a task that failed starts again after this time
CATCH_UP_S = 1.0  # a live peer reports within half of this time
FIRST_LIST_TIMEOUT_S = 0.2  # the store usually answers within milliseconds
FIRST_START_LIST_TIMEOUT_S = 2.0  # of a deployment; it has no callers yet
FIRST_START_PEERS_S = 5.0  # its first configuration may be written seconds later
LINK_CODEC = Codec(
    msgspec.msgpack.Encoder().encode,
    msgpack_decoder(BatchMessage | NewsMessage),
)


class Instance:
    """One instance of the proxy on the platform.

    Args:
        cfg: The instance's settings.
        rng: Random source for jitter.
    """

    def __init__(
        self, cfg: InstanceSettings, *, rng: random.Random | None = None
    ) -> None:
        rng = rng or random.Random()
        self.cfg = cfg
        self.registry = CollectorRegistry()
        self.memory = Memory(budget_bytes(cfg.memory_bytes), boot_time)
        self.servers = Servers(
            WireConnector(),
            boot_time,
            name=cfg.name,
            bounds=cfg.bounds,
            features=cfg.features,
        )
        self.cluster_state = ClusterState(self.servers)
        self.evacuations = Evacuations(
            self.servers,
            lambda: self.cfg.bounds.evacuation_s,
            is_enabled=cfg.features.evacuation,
        )
        self.peers = Peers(
            cfg.name,
            self._build_report,
            lambda: self._urgent_spent(),
            boot_time,
            rng,
            cfg.failure_domain,
        )
        self.limits = CustomerLimits(
            cfg.name,
            self.peers,
            is_first_start=cfg.is_first_start,
            tolerance=RateTolerance(
                cfg.bounds.rate_window_s, cfg.bounds.rate_overage, cfg.bounds.rate_slack
            ),
        )
        self._client = PlatformClient(cfg.store_url)
        self._promotion_client = PromotionClient(cfg.promotion_url)
        self._instance_list = InstanceList(cfg, self._client, self.peers, rng)
        self.confirmations = Confirmations(boot_time)
        peers_first_s = FIRST_START_PEERS_S if cfg.is_first_start else PEERS_FIRST_S
        self._feed = Feed(
            self._client,
            self.cluster_state,
            cfg.bounds,
            is_watcher=lambda: self.peers.is_watcher,
            is_preferred_watcher=lambda: self.peers.is_preferred_watcher,
            rng=rng,
            clock=boot_time,
            evacuations=self.evacuations if cfg.features.evacuation else None,
            peers_first_s=peers_first_s,
            confirmations=self.confirmations,
        )
        self._staleness_checks = StalenessChecks(
            self.confirmations,
            self._feed,
            lambda: self.cfg.bounds,
            is_watcher=lambda: self.peers.is_first_watcher,
            rng=rng,
            clock=boot_time,
            peers_first_s=peers_first_s,
        )
        self._promoter = Promoter(
            cfg.name,
            self.servers,
            self.peers,
            self._client,
            self._promotion_client,
            lambda: self.cluster_state.deployment,
            registry_at=lambda: self._news_fetcher.registry_at,
            peers_know_more=lambda: self._news_fetcher.is_behind_on_registry,
            is_stopping=lambda: self._is_stopping,
            is_fenced=lambda: self.cfg.is_fenced,
            judges_statements=cfg.features.server_health,
        )
        self._path_prober = PathProber(
            self.servers,
            lambda: self.peers.has_majority,
            lambda: self.peers.is_isolated,
            lambda: not self.peers.is_flat and not self.peers.is_hub,
            probe_host,
        )
        self._links = Links(self._link_address, LINK_CODEC)
        # Separate links: updates do not wait behind callers' statements, and a silent
        # one is replaced without a statement that is cut.
        self._update_links = Links(self._link_address, LINK_CODEC)
        self._link_server: LinkServer | None = None
        self._news_fetcher = NewsFetcher(
            self.cluster_state,
            self.peers,
            self._feed.poll_now,
            self._request_news,
            self.evacuations,
            self._update_links.renew,
            rng.random(),
        )
        self._admission = AdmissionControl(
            self.servers,
            is_enabled=cfg.features.load_control,
            rng=rng,
            registry=self.registry,
        )
        self.homes = Homes(
            cfg.name,
            self.servers,
            instances=self._home_candidates,
            admit=self._acquire_ticket,
            links=self._links,
            heard_at=self.peers.last_report_at,
            has_majority=lambda: self.peers.has_majority,
            admission=self._admission,
            may_hedge=self._may_hedge,
            memory=self.memory,
            primary_heard_s=self._promoter.primary_heard_s,
        )
        self._load_reports = LoadReports(
            cfg.name, self._load_address_of, boot_time, rng
        )
        self.slot_shares = SlotShares(
            self.servers, self._load_reports, self._fellow_homes
        )
        self.peers.is_direct = self._needs_all_counts
        self.peers.stood_in_for = self.limits.stood_in_for
        self.limits.live_home_of = self.homes.live_home_of
        self.servers.connection_limit = self.homes.connection_limit
        self.servers.holders = lambda: self.homes.holders
        executor = Executor(
            self.servers,
            self._is_primary_unreachable,
            self.homes,
            self._acquire_ticket,
            self._admission,
        )
        has_health = cfg.features.server_health
        self.servers.compares_answers = has_health
        self.health = (
            ServerHealth(boot_time, self._may_hedge, self.registry)
            if has_health
            else None
        )
        reader = Reader(executor, cfg.failure_domain, self.health)
        self._has_caught_up = asyncio.Event()
        self.gateway = Gateway(
            deployment=lambda: self.cluster_state.deployment,
            deployed=self._has_caught_up,
            reader=reader,
            writer=Writer(executor),
            transactions=TransactionRunner(executor, reader),
            admit=self._admit,
            clock=boot_time,
            metrics=StatementMetrics(self.registry),
            memory=self.memory,
            state_memory=Memory(state_bytes(cfg.memory_bytes), boot_time),
            unconfirmed_s=lambda: self.confirmations.age_s(Topic.CONFIGURATION),
        )
        self._listener = Listener(self.gateway.open, self.memory)
        self.registry.register(InstanceCollector(self))
        explainer = Explainer(
            self.gateway,
            executor,
            self.homes,
            rate_wait_s=lambda customer: self.limits.wait_s(customer, boot_time()),
            is_ready=lambda: self.is_ready,
        )
        self._readiness = ReadinessServer(
            lambda: self.is_ready, self.registry, explainer.explain_named
        )
        self._is_stopping = False
        self._started_at = boot_time()
        self._tasks: list[asyncio.Task[None]] = []
        self.cluster_state.on_deployment = self._apply_deployment
        self.cluster_state.on_change = self._announce_news
        self.evacuations.on_change = self._announce_news
        self.peers.on_report = self._on_report
        self.peers.on_spent = self._on_peer_spent
        self._has_instance_list = False
        self._client.on_restored = self._on_store_restored
        self._instance_list.on_refreshed = self._on_instances_refreshed
        self._news_fetcher.on_fetched = self._check_caught_up

    @property
    def is_ready(self) -> bool:
        """Whether this instance accepts new callers."""
        known = (
            self._has_caught_up.is_set() and self.cluster_state.has_registry.is_set()
        )
        is_useful = not self._is_cut_off and not self._path_prober.is_in_doubt
        return known and not self._is_stopping and is_useful

    @property
    def store_era(self) -> int:
        """The era of the store, which rises with each restoration; 0 if unknown."""
        return self._client.era

    @property
    def _is_cut_off(self) -> bool:
        groups = self._promoter.watched_groups
        is_lost = [self._is_primary_unreachable(group) for group in groups]
        return is_cut_off(is_lost) or self.homes.is_out_of_reach

    def _is_primary_unreachable(self, group: str) -> bool:
        """Whether a group's primary is unreachable from here but not from elsewhere."""
        return self._promoter.is_primary_unreachable(
            group
        ) or self._path_prober.is_primary_lost(group)

    async def start(self) -> None:
        """Open the listening sockets and start the background tasks."""
        self._readiness.listen(self.cfg.health)
        self._listener.listen(self.cfg.callers)
        address = _link_url(self.cfg.peers)
        self._link_server = LinkServer(address, self._answer_peer, LINK_CODEC)
        await self.peers.listen(self.cfg.peers, self.cfg.seeds)
        for duty in (
            self._run_feed,
            self._staleness_checks.run,
            self.peers.run,
            self._instance_list.run,
            self._promoter.run,
            self._path_prober.run,
            self._run_housekeeping,
            self._link_server.run,
        ):
            self._start(duty)
        if self.cfg.features.load_control:
            await self._listen_to_loads()
            self._start(self.slot_shares.run)
        asyncio.get_running_loop().call_later(CATCH_UP_S, self._check_caught_up)
        emit(
            INSTANCE_STARTED,
            name=self.cfg.name,
            failure_domain=self.cfg.failure_domain,
            first=self.cfg.is_first_start,
            process=self.homes.batches.process,
        )

    async def _listen_to_loads(self) -> None:
        try:
            await self._load_reports.listen(_load_address(self.cfg.peers))
        except (OSError, OverflowError) as exc:
            # Without the others' load, the pools adapt to the servers' rejections.
            emit(LOAD_REPORTS_OFF, reason=str(exc))

    async def stop(self) -> None:
        """Drain requests and stop, within the grace period."""
        emit(INSTANCE_STOPPING, name=self.cfg.name)
        self._is_stopping = True
        self.peers.send(force=True)
        started = boot_time()
        grace = self.cfg.bounds.grace_s
        self.gateway.limit_answers(started + grace - EXIT_RESERVE_S - DRAIN_POLL_S)
        while boot_time() - started < grace - EXIT_RESERVE_S:
            elapsed_s = boot_time() - started
            if elapsed_s > min(BALANCER_REMOVAL_S, grace / 2):
                self._listener.drain()
                if self._listener.is_idle and self.homes.batches.is_idle:
                    break
            if elapsed_s > grace / 2:
                self.gateway.end_transactions()
                self.homes.batches.end_transactions()
            await asyncio.sleep(DRAIN_POLL_S)
        self._listener.stop()
        self.peers.send(force=True)
        await self._instance_list.deregister()
        self.close()

    def reload(self, cfg: InstanceSettings) -> None:
        """Apply changed bounds and strength; other settings need a restart."""
        changed = [
            field.name
            for field in fields(cfg)
            if getattr(cfg, field.name) != getattr(self.cfg, field.name)
        ]
        self.cfg = replace(self.cfg, bounds=cfg.bounds, strength=cfg.strength)
        self.servers.limits.bounds = cfg.bounds
        emit(SETTINGS_RELOADED, changed=changed)

    def close(self) -> None:
        """Stop immediately."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()
        self._readiness.close()
        self._news_fetcher.close()
        if self._link_server is not None:
            self._link_server.close()
        self._links.close()
        self._update_links.close()
        self.servers.close()
        self._load_reports.close()
        self.peers.close()
        self._client.close()
        self._promotion_client.close()
        emit(INSTANCE_STOPPED, name=self.cfg.name)

    def _start(self, duty: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._tasks.append(asyncio.create_task(_run_duty(duty)))

    async def _run_feed(self) -> None:
        # In a large fleet, the other instances know what the store holds.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self._instance_list.has_refreshed.wait()
        if self.cfg.is_first_start:
            # The first list has none of the instances that start together; without
            # it, each would read all that the store holds.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_START_LIST_TIMEOUT_S):
                    await self._instance_list.has_settled.wait()
        await self._feed.run()

    async def _run_housekeeping(self) -> None:
        while True:
            has_duties = self.peers.is_flat or self.peers.is_hub or self.homes.is_home
            await asyncio.sleep(
                HOUSEKEEPING_INTERVAL_S if has_duties else FOLLOWER_HOUSEKEEPING_S
            )
            self.gateway.abort_idle_transactions()
            self.servers.evict_expired()
            self.evacuations.log_drained()
            self.homes.batches.evict_expired_pins()
            self._admission.observe_groups()
            self._share_connections()
            self._news_fetcher.check_peers()
            self._check_caught_up()
            if self._is_cut_off:
                # The callers reconnect to an instance that can serve them.
                self._listener.close_idle_connections()

    def _on_report(self, report: Report) -> None:
        self.confirmations.apply_report(report, self._news_fetcher.known)
        self._news_fetcher.on_report(report)
        self._check_caught_up()
        if report.is_isolated:
            self._path_prober.check()

    def _check_caught_up(self) -> None:
        """Open to callers once no peer is known to have a newer configuration.

        The evacuations must be known too, or callers' statements could be sent there.

        The store may hold an older one after it was restored from a copy.
        """
        state = self.cluster_state
        is_known = state.has_deployment.is_set() and self.evacuations.is_known.is_set()
        if self._has_caught_up.is_set() or not is_known:
            return
        waited_s = boot_time() - self._started_at
        if (
            self.cfg.is_first_start
            or self._news_fetcher.has_caught_up
            or waited_s >= CATCH_UP_S
        ):
            self._has_caught_up.set()
            self._news_fetcher.is_catching_up = False

    def _announce_news(self) -> None:
        self._check_caught_up()
        self.peers.has_news = self.peers.is_watcher or self.peers.is_hub

    async def _answer_peer(
        self, message: BatchMessage | NewsMessage
    ) -> BatchMessage | NewsMessage:
        if isinstance(message, AskNews):
            return self._news_fetcher.answer(message)
        return await self.homes.batches.answer(message)

    async def _request_news(
        self, peer: str, message: AskNews, timeout_s: float
    ) -> Result[News, Fault]:
        return await self._update_links.call(peer, message, timeout_s=timeout_s)

    def _on_store_restored(self) -> None:
        self._feed.on_store_restored()
        self._instance_list.on_store_restored()

    def _on_instances_refreshed(self) -> None:
        is_first = not self._has_instance_list
        self._has_instance_list = True
        self._share_connections()
        if is_first:
            # Instances that start together learn of each other without a delay.
            self.peers.send()

    def _share_connections(self) -> None:
        instances = len(self.peers.known_instances) if self._has_instance_list else 0
        self.servers.resize(None, instances)
        self.peers.set_hubs_per_domain(
            hubs_per_domain(
                self.servers.min_connections,
                self.servers.min_slots,
                len(self.servers.failure_domains),
            )
        )

    def _home_candidates(self) -> dict[str, Candidate]:
        cfg = self.cfg
        found = {
            name: Candidate(info.strength, info.failure_domain)
            for name, info in self.peers.serving.items()
        }
        return found | {cfg.name: Candidate(cfg.strength, cfg.failure_domain)}

    def _needs_all_counts(self) -> bool:
        return self.cluster_state.has_deployment.is_set() and self.homes.is_direct

    def _fellow_homes(self) -> list[str]:
        homes = [] if self.homes.is_direct else self.homes.names
        return homes if self.cfg.name in homes else []

    def _load_address_of(self, name: str) -> Address | None:
        address = self.peers.address_of(name)
        return _load_address(address) if address is not None else None

    def _link_address(self, name: str) -> str | None:
        address = self.peers.address_of(name)
        return _link_url(address) if address is not None else None

    def _apply_deployment(self) -> None:
        deployment = self.cluster_state.deployment
        assert deployment is not None
        self.servers.resize(deployment, self.servers.instances)
        self.limits.apply_deployment(deployment, boot_time())
        self.gateway.abort_idle_transactions()

    def _on_peer_spent(
        self, peer: str, customer: str, count: int, is_recent: bool
    ) -> None:
        self.limits.record_peer_spent(
            peer, customer, count, boot_time(), is_recent=is_recent
        )

    def _acquire_ticket(self, customer: str, request_id: str) -> float:
        return self.limits.admit(customer, boot_time(), request_id)

    def _may_hedge(self, customer: str) -> bool:
        return self.limits.may_hedge(customer, boot_time())

    def _admit(self, customer: str, ticket: Ticket) -> float:
        # If customers have homes, only the home sees all of their operations.
        if ticket.is_admitted or not self.homes.is_direct:
            return 0.0
        wait_s = self._acquire_ticket(customer, ticket.request_id)
        ticket.is_admitted = wait_s == 0
        return wait_s

    def _urgent_spent(self) -> dict[str, int]:
        return self.limits.spent_near_limit()

    def _build_report(self, incarnation: int, number: int) -> Report:
        return Report(
            name=self.cfg.name,
            incarnation=incarnation,
            number=number,
            is_leaving=self._is_stopping and self._listener.is_idle,
            is_draining=self._is_stopping,
            revision=self.cluster_state.revision.number,
            registry_revision=self.cluster_state.registry_revision.number,
            spent=dict(self.limits.spent) if self.homes.is_direct else {},
            heard=self._promoter.heard_primaries(),
            strength=self.cfg.strength,
            failure_domain=self.cfg.failure_domain,
            is_current=not self._feed.is_failing,
            version=self.cluster_state.version,
            era=self.cluster_state.registry_revision.era,
            evacuations_at=self._news_fetcher.evacuations_at,
            is_isolated=self.peers.is_isolated,
            confirmed=self.confirmations.to_report(),
        )


def _load_address(peer_address: Address) -> Address:
    """Return the address of load reports, on the port next to the peer port."""
    host, port = peer_address
    return host, port + 1


def _link_url(address: Address) -> str:
    host, port = address
    return f"tcp://{host}:{port}"


async def _run_duty(duty: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a background task, and start it again if an error ends it."""
    while True:
        try:
            await duty()
            return
        except Exception as exc:
            name = getattr(duty, "__qualname__", "task")
            emit(TASK_FAILED, task=name, reason=repr(exc), place=place_of(exc))
        await asyncio.sleep(DUTY_RESTART_S)
