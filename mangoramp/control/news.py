"""Fetches configuration and registry updates from peers instead of the store.

In a large deployment, most instances do not watch the store themselves. An instance
whose calls the store rejects or leaves unanswered also depends on its peers, for
example to learn of a withdrawn key or a draining server. The peers' reports contain
their revisions, which show that a peer has newer data.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec
from returns.result import Result, Success

from ..decoding import msgpack_decoder
from ..errors import Fault
from ..events import ENTRY_UNREADABLE, NEWS_APPLIED, NEWS_FAILED, emit
from ..policy.revision import NO_REVISION, Revision
from ..proxies.envelope import Envelope
from .cluster_state import ClusterState, DepartedServer, VersionedEndpoint
from .deployment import Deployment
from .endpoint import find_problem
from .evacuations import Evacuations
from .peers import Peers
from .reports import KnownState, Report

WATCH_REFRESH_ROUNDS = 2  # watches of all instances get a change within milliseconds
PEER_FETCH_ROUNDS = 4  # the store answers a refreshed watch within two rounds
EVACUATIONS_REFRESH_S = 2.5  # repeats what a lost or reordered update left out
FETCH_TIMEOUT_S = 0.5  # two round trips within a region and one lost packet
MAX_FETCH_TIMEOUT_S = 4.0  # a large configuration takes seconds on a slow link
PACKING_LEVEL = 1  # the fastest; hubs pack while they serve callers


class _AskNewsFields(Envelope, frozen=True, array_like=True):
    """Requests the updates that the sender does not have yet.

    Attributes:
        revision: The revision of the configuration that the sender has in force.
        registry_revision: The latest registry revision that the sender knows.
        version: The version of the configuration that the sender has in force.
        era: The era of the registry revision.
    """

    revision: int
    registry_revision: int
    version: int = 0
    era: int = 0


class AskNews(_AskNewsFields, frozen=True, array_like=True, kw_only=True):
    """Requests the updates that the sender does not have yet.

    The former build expects the message's id after ``era``, so newer fields are in a
    class of their own, which places them after the id.

    Attributes:
        evacuations_at: Era and number of the newest revision of the evacuations that
            the sender knows, None if it knows none.
        reads_packed: Whether the sender reads a packed configuration.
    """

    evacuations_at: tuple[int, int] | None = None
    reads_packed: bool = False


class _NewsFields(Envelope, frozen=True, array_like=True):
    """The updates since the revisions in a request.

    Attributes:
        revision: The revision of the configuration in force.
        registry_revision: The latest registry revision that the sender knows.
        deployment: The configuration in force, None if it is not newer.
        endpoints: The newer registry entries.
        server_ids: The ids of all servers with a registry entry.
        is_registered: Whether the sender has the full registry.
        era: The era of the registry revision.
        departed: The servers that left lately.
    """

    revision: int
    registry_revision: int
    deployment: Deployment | None
    endpoints: tuple[VersionedEndpoint, ...]
    server_ids: frozenset[str]
    is_registered: bool
    era: int = 0
    departed: dict[str, DepartedServer] = {}


class News(_NewsFields, frozen=True, array_like=True, kw_only=True):
    """The updates since the revisions in a request.

    Attributes:
        evacuations: Each failure domain with the era and number of its newest revision
            and whether it is evacuated.
        evacuations_at: Era and number of the newest revision of the evacuations that
            the sender knows, None if it knows none.
        packed_deployment: The configuration in force, packed by ``pack_deployment``,
            for a receiver that reads it; then ``deployment`` is None.
    """

    evacuations: tuple[tuple[str, int, int, bool], ...] = ()
    evacuations_at: tuple[int, int] | None = None
    packed_deployment: bytes | None = None

    @property
    def has_deployment(self) -> bool:
        """Whether it carries a configuration."""
        return self.deployment is not None or self.packed_deployment is not None

    @property
    def registry_at(self) -> Revision:
        """The latest registry revision that the sender knows."""
        return Revision(self.era, self.registry_revision)


_decode_deployment = msgpack_decoder(Deployment)


def pack_deployment(deployment: Deployment) -> bytes:
    """Encode and compress a configuration, whose routes are much alike."""
    return zlib.compress(msgspec.msgpack.encode(deployment), level=PACKING_LEVEL)


def unpack_deployment(packed: bytes) -> Deployment:
    """Return the configuration that was packed.

    Raises:
        ValueError: It cannot be read.
    """
    try:
        raw = zlib.decompress(packed)
    except zlib.error as exc:
        raise ValueError(f"the packed configuration cannot be read: {exc}") from exc
    deployment: Deployment = _decode_deployment(raw)
    return deployment


NewsMessage = AskNews | News
FetchNews = Callable[[str, AskNews, float], Awaitable[Result[News, Fault]]]


class NewsFetcher:
    """Detects newer data at peers, and fetches it from the store or else from a peer.

    Args:
        cluster_state: The state that updates are applied to.
        peers: The other instances.
        refresh_watches: Restarts the current polls of the store.
        fetch: Sends a request to a peer, with a timeout in seconds.
        evacuations: The evacuations that updates are applied to.

    Attributes:
        is_catching_up: Whether this process has just started, so that a watcher does
            not wait for the store either.
        on_fetched: Called after updates from a peer have been applied.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        peers: Peers,
        refresh_watches: Callable[[], None],
        fetch: FetchNews,
        evacuations: Evacuations,
    ) -> None:
        self._cluster_state = cluster_state
        self._peers = peers
        self._refresh_watches = refresh_watches
        self._fetch = fetch
        self._evacuations = evacuations
        self._fetched_at = float("-inf")
        self._refreshed_from: set[str] = set()
        self.is_catching_up = True
        self.on_fetched: Callable[[], None] = lambda: None
        self._has_fetched = False
        self._rounds = 0
        self._excluded_peers: set[str] = set()
        self._fetched_registry = NO_REVISION
        self._timeout_s = FETCH_TIMEOUT_S
        self._packed: tuple[int, bytes] | None = None
        self._fetch_task: asyncio.Task[None] | None = None

    @property
    def has_caught_up(self) -> bool:
        """Whether a peer has told what it knows, and none has a newer configuration."""
        version = self._cluster_state.version
        return self._has_fetched and all(
            peer.report.version <= version for peer in self._peers.peers.values()
        )

    @property
    def registry_at(self) -> Revision:
        """The newest revision of the registry that is known here."""
        return max(self._fetched_registry, self._cluster_state.registry_revision)

    @property
    def is_behind_on_registry(self) -> bool:
        """Whether a live peer knows a newer registry."""
        return self._peers.knows_newer_registry(self.registry_at)

    def check_peers(self) -> None:
        """Compare revisions with the peers'; call this several times a second."""
        if self._must_refresh_evacuations():
            self._start_fetch()
        if not self._is_behind():
            self._rounds = 0
            self._timeout_s = FETCH_TIMEOUT_S
            self._excluded_peers.clear()
            return
        self._rounds += 1
        is_watcher = self._peers.is_watcher
        if self._rounds == (WATCH_REFRESH_ROUNDS if is_watcher else PEER_FETCH_ROUNDS):
            self._refresh_watches()
        if self._rounds >= PEER_FETCH_ROUNDS:
            self._start_fetch()

    def on_report(self, report: Report) -> None:
        """Fetch at once if a peer has newer data and this instance is no watcher."""
        may_wait = self._peers.is_watcher and not self.is_catching_up
        if not may_wait and self._wanted().is_behind(report):
            self._start_fetch()

    def answer(self, message: AskNews) -> News:
        """Return the updates that a peer does not have yet."""
        cluster_state = self._cluster_state
        is_newer = cluster_state.version > message.version
        is_packed = is_newer and message.reads_packed
        registry = cluster_state.registry_revision
        since = Revision(message.era, message.registry_revision)
        return News(
            revision=cluster_state.revision.number,
            registry_revision=registry.number,
            deployment=(
                cluster_state.deployment if is_newer and not is_packed else None
            ),
            endpoints=tuple(cluster_state.endpoints_since(since)),
            server_ids=cluster_state.server_ids,
            is_registered=cluster_state.has_registry.is_set(),
            era=registry.era,
            departed=dict(cluster_state.departed),
            evacuations=tuple(
                (domain, revision.era, revision.number, is_evacuated)
                for domain, (revision, is_evacuated) in (
                    self._evacuations.table.entries.items()
                )
            ),
            evacuations_at=self.evacuations_at,
            packed_deployment=self._pack() if is_packed else None,
        )

    def _pack(self) -> bytes | None:
        """Return the packed configuration, packed once for all that ask for it."""
        state = self._cluster_state
        if state.deployment is None:
            return None
        if self._packed is None or self._packed[0] != state.version:
            self._packed = (state.version, pack_deployment(state.deployment))
        return self._packed[1]

    @property
    def evacuations_at(self) -> tuple[int, int] | None:
        """Era and number of the newest known revision of the evacuations."""
        latest = self._evacuations.latest
        return None if latest is None else (latest.era, latest.number)

    def close(self) -> None:
        """Cancel a fetch in progress."""
        if self._fetch_task is not None:
            self._fetch_task.cancel()

    def _start_fetch(self) -> None:
        if self._fetch_task is None:
            self._fetch_task = asyncio.ensure_future(self._fetch_from_peer())
            self._fetch_task.add_done_callback(self._on_fetch_done)

    def _known(self) -> KnownState:
        cluster_state = self._cluster_state
        return KnownState(
            cluster_state.version,
            self.registry_at,
            cluster_state.revision.number,
            self._evacuations.latest,
            self._evacuations.is_enabled,
        )

    def _must_refresh_evacuations(self) -> bool:
        """Return whether a peer has to confirm the evacuations in force.

        One that is missing from a restored store is removed with the revision of a
        list, which may equal the revision of another entry that was reported before.
        """
        if not self._evacuations.table.evacuated or self._peers.is_watcher:
            return False
        return self._peers.now - self._fetched_at >= EVACUATIONS_REFRESH_S

    def _wanted(self) -> KnownState:
        """Return the state beyond which a peer's news are wanted.

        A process that has just started wants all that a peer knows, since what it read
        from the store may come from an old copy.
        """
        if self.is_catching_up and not self._has_fetched:
            return KnownState(
                0, NO_REVISION, follows_evacuations=self._evacuations.is_enabled
            )
        known = self._known()
        if self._must_refresh_evacuations():
            return replace(known, evacuations=None)
        return known

    def _is_behind(self) -> bool:
        return self._peers.has_newer(self._known())

    async def _fetch_from_peer(self) -> None:
        cluster_state = self._cluster_state
        excluded = self._excluded_peers
        if self._must_refresh_evacuations():
            # In turn, because the peer asked last may not know of a removal either.
            excluded = excluded | self._refreshed_from
        peer = self._peers.choose_newer_peer(self._wanted(), excluded)
        if peer is None:
            self._excluded_peers.clear()
            self._refreshed_from.clear()
            return
        registry = cluster_state.registry_revision
        req = AskNews(
            revision=cluster_state.revision.number,
            registry_revision=registry.number,
            version=cluster_state.version,
            era=registry.era,
            evacuations_at=self.evacuations_at,
            reads_packed=True,
        )
        asked_at, limit_s = self._peers.now, self._timeout_s
        missing = self._missing_from(peer)
        result = await self._fetch(peer, req, limit_s)
        waited_s = round(self._peers.now - asked_at, 3)
        if not isinstance(result, Success):
            self._excluded_peers.add(peer)
            # An answer that comes too late uses the link all the same; asking again as
            # soon would keep a slow link full.
            self._timeout_s = min(MAX_FETCH_TIMEOUT_S, 2 * self._timeout_s)
            emit(
                NEWS_FAILED,
                peer=peer,
                reason=result.failure().message,
                missing=missing,
                version=cluster_state.version,
                waited_s=waited_s,
                limit_s=limit_s,
            )
            return
        news: News = result.unwrap()
        emit(
            NEWS_APPLIED,
            peer=peer,
            revision=news.revision,
            configuration=news.has_deployment,
            endpoints=len(news.endpoints),
            missing=missing,
            waited_s=waited_s,
        )
        self._timeout_s = FETCH_TIMEOUT_S
        self._apply(news, peer)
        self._has_fetched = True
        self._fetched_at = self._peers.now
        self._refreshed_from.add(peer)
        # The revision of an entry that was deleted in between is known only from here.
        self._fetched_registry = max(self._fetched_registry, news.registry_at)
        self.on_fetched()

    def _missing_from(self, name: str) -> tuple[str, ...]:
        """Return what a peer is known to have more of, for the log."""
        peer = self._peers.peers.get(name)
        return self._known().missing(peer.report) if peer is not None else ()

    def _apply(self, news: News, source: str = "peer") -> None:
        self._cluster_state.record_departed(news.departed)
        unusable = set()
        for entry in news.endpoints:
            problem = find_problem(entry.endpoint)
            if problem:
                # A former build takes entries of other writers as they are.
                unusable.add(entry.endpoint.id)
                emit(ENTRY_UNREADABLE, name=entry.endpoint.id, reason=problem)
                continue
            self._cluster_state.apply_endpoint(entry.endpoint, entry.stored_at)
        if news.is_registered:
            server_ids = news.server_ids - unusable
            self._cluster_state.retain_endpoints(server_ids, news.registry_at)
        deployment = news.deployment
        if news.packed_deployment is not None:
            deployment = unpack_deployment(news.packed_deployment)
        if deployment is not None:
            self._cluster_state.apply_deployment(
                deployment, Revision(news.era, news.revision), source=source
            )
        if self._evacuations.is_enabled and news.evacuations_at is not None:
            self._evacuations.apply_news(
                {
                    domain: (Revision(era, number), is_evacuated)
                    for domain, era, number, is_evacuated in news.evacuations
                }
            )

    def _on_fetch_done(self, task: asyncio.Task[None]) -> None:
        self._fetch_task = None
        if not task.cancelled() and task.exception() is not None:
            emit(NEWS_FAILED, reason=repr(task.exception()))
