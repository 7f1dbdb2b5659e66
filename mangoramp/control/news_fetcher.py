"""Fetches configuration and registry updates from peers instead of the store.

In a large deployment, most instances do not watch the store themselves. An instance
whose calls the store rejects or leaves unanswered also depends on its peers, for
example to learn of a withdrawn key or a draining server. The peers' reports contain
their revisions, which show that a peer has newer data.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection
from dataclasses import replace

from returns.result import Result, Success

from ..errors import Fault
from ..events import ENTRY_UNREADABLE, NEWS_APPLIED, NEWS_FAILED, emit
from ..policy.catch_up import CatchUp
from ..policy.revision import NO_REVISION, Revision
from .cluster_state import ClusterState
from .endpoint import find_problem
from .evacuations import Evacuations
from .news import AskNews, News, pack_deployment, unpack_deployment
from .peers import Peers
from .reports import KnownState, Report

EVACUATIONS_REFRESH_S = 2.5  # repeats what a lost or reordered update left out
FETCH_TIMEOUT_S = 4.0  # a large configuration takes seconds on a slow link
MIN_CHECK_INTERVAL_S = 0.1  # while this instance is behind

FetchNews = Callable[[str, AskNews, float], Awaitable[Result[News, Fault]]]


class NewsFetcher:
    """Detects newer data at peers, and fetches it from the store or else from a peer.

    Args:
        cluster_state: The state that updates are applied to.
        peers: The other instances.
        poll_store: Polls the store at once for the topics with the given names.
        fetch: Sends a request to a peer, with a timeout in seconds.
        evacuations: The evacuations that updates are applied to.
        renew: Lets the next request to a peer use a new connection.
        jitter: A number from 0 to 1, which differs between instances.

    Attributes:
        is_catching_up: Whether this process has just started, so that a watcher does
            not wait for the store either.
        on_fetched: Called after updates from a peer have been applied.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        peers: Peers,
        poll_store: Callable[[Collection[str]], None],
        fetch: FetchNews,
        evacuations: Evacuations,
        renew: Callable[[str], None] = lambda peer: None,
        jitter: float = 0.0,
    ) -> None:
        self._cluster_state = cluster_state
        self._peers = peers
        self._poll_store = poll_store
        self._fetch = fetch
        self._evacuations = evacuations
        self._renew = renew
        self._jitter = jitter
        self._fetched_at = float("-inf")
        self._refreshed_from: set[str] = set()
        self.is_catching_up = True
        self.on_fetched: Callable[[], None] = lambda: None
        self._has_fetched = False
        self._fetched_registry = NO_REVISION
        self._packed: tuple[int, bytes] | None = None
        self._catch_up: CatchUp | None = None
        self._attempts: dict[asyncio.Task[bool], str] = {}
        self._next_check: asyncio.TimerHandle | None = None

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
        """Compare revisions with the peers'; call this about once a second."""
        if self._must_refresh_evacuations() and not self._attempts:
            self._refresh_evacuations()
        if self._peers.has_newer(self._wanted()):
            self._advance()
        else:
            self._catch_up = None

    def on_report(self, report: Report) -> None:
        """Ask at once if a peer has newer data and this instance is no watcher."""
        if self._wanted().is_behind(report):
            self._advance()

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
        """Cancel the requests in progress."""
        if self._next_check is not None:
            self._next_check.cancel()
        for task in self._attempts:
            task.cancel()

    def _advance(self) -> None:
        """Ask the sources whose turn it is; check again when the next one is due."""
        now = self._peers.now
        if self._catch_up is None:
            is_watcher = self._peers.is_watcher and not self.is_catching_up
            self._catch_up = CatchUp(now, is_watcher=is_watcher, jitter=self._jitter)
        catch_up = self._catch_up
        if catch_up.must_ask_store(now):
            self._poll_store(self._missing())
        if catch_up.must_ask_peer(now, in_progress=len(self._attempts)):
            sources = self._sources()
            peer = catch_up.choose(*sources)
            if peer is not None:
                catch_up.record_attempt(peer, now)
                self._ask(peer)
        if self._next_check is None:
            self._next_check = asyncio.get_running_loop().call_later(
                max(MIN_CHECK_INTERVAL_S, catch_up.due_at - now), self._check_again
            )

    def _check_again(self) -> None:
        self._next_check = None
        self.check_peers()

    def _sources(self) -> tuple[list[str], list[str]]:
        """Return the peers that know more, and others that may by now."""
        newer = self._peers.newer_peers(self._wanted())
        others = [n for n in self._peers.other_sources() if n not in newer]
        return newer, others

    def _ask(self, peer: str) -> None:
        for silent in set(self._attempts.values()):
            self._renew(silent)
        task = asyncio.ensure_future(self._fetch_from(peer))
        self._attempts[task] = peer
        task.add_done_callback(self._on_attempt_done)

    def _refresh_evacuations(self) -> None:
        """Ask in turn, because the peer asked last may not know of a removal either."""
        newer = self._peers.newer_peers(self._wanted())
        peer = next((n for n in newer if n not in self._refreshed_from), None)
        if peer is None:
            self._refreshed_from.clear()
        else:
            self._ask(peer)

    @property
    def known(self) -> KnownState:
        """What this instance knows of the store."""
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
        known = self.known
        if self._must_refresh_evacuations():
            return replace(known, evacuations=None)
        return known

    async def _fetch_from(self, peer: str) -> bool:
        """Ask a peer; return whether the attempt ended before its limit."""
        cluster_state = self._cluster_state
        registry = cluster_state.registry_revision
        req = AskNews(
            revision=cluster_state.revision.number,
            registry_revision=registry.number,
            version=cluster_state.version,
            era=registry.era,
            evacuations_at=self.evacuations_at,
            reads_packed=True,
        )
        asked_at = self._peers.now
        missing = self._missing_from(peer)
        result = await self._fetch(peer, req, FETCH_TIMEOUT_S)
        waited_s = round(self._peers.now - asked_at, 3)
        if not isinstance(result, Success):
            self._renew(peer)
            emit(
                NEWS_FAILED,
                peer=peer,
                reason=result.failure().message,
                missing=missing,
                version=cluster_state.version,
                waited_s=waited_s,
            )
            return waited_s < FETCH_TIMEOUT_S
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
        self._apply(news, peer)
        self._has_fetched = True
        self._fetched_at = self._peers.now
        self._refreshed_from.add(peer)
        # The revision of an entry that was deleted in between is known only from here.
        self._fetched_registry = max(self._fetched_registry, news.registry_at)
        self.on_fetched()
        return True

    def _missing(self) -> set[str]:
        """Return the names of the topics of which peers know more."""
        newer = self._peers.newer_peers(self._wanted())
        return {topic for name in newer for topic in self._missing_from(name)}

    def _missing_from(self, name: str) -> tuple[str, ...]:
        """Return the names of the topics of which a peer knows more."""
        peer = self._peers.peers.get(name)
        return self._wanted().missing(peer.report) if peer is not None else ()

    def _apply(self, news: News, source: str = "peer") -> None:
        self._cluster_state.record_departed(news.departed)
        # A late answer would bring back servers that have left since.
        if news.registry_at >= self._cluster_state.registry_revision:
            self._apply_registry(news)
        self._apply_deployment(news, source)
        if self._evacuations.is_enabled and news.evacuations_at is not None:
            self._evacuations.apply_news(
                {
                    domain: (Revision(era, number), is_evacuated)
                    for domain, era, number, is_evacuated in news.evacuations
                }
            )

    def _apply_registry(self, news: News) -> None:
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

    def _apply_deployment(self, news: News, source: str) -> None:
        deployment = news.deployment
        if news.packed_deployment is not None:
            try:
                deployment = unpack_deployment(news.packed_deployment)
            except ValueError as exc:
                emit(NEWS_FAILED, peer=source, reason=str(exc))
                return
        if deployment is not None:
            self._cluster_state.apply_deployment(
                deployment, Revision(news.era, news.revision), source=source
            )

    def _on_attempt_done(self, task: asyncio.Task[bool]) -> None:
        peer = self._attempts.pop(task)
        if task.cancelled():
            return
        if task.exception() is not None:
            emit(NEWS_FAILED, peer=peer, reason=repr(task.exception()))
        if not self._peers.has_newer(self._wanted()):
            self._catch_up = None
            for other in self._attempts:
                other.cancel()
        elif self._catch_up is not None:
            newer, others = self._sources()
            # After the whole limit, it may be the link that is slow: another attempt
            # would take its share from those in progress.
            ended_early = task.exception() is not None or task.result()
            if ended_early and self._catch_up.has_more((*newer, *others)):
                self._catch_up.ask_next_at(self._peers.now)
            self._advance()
