"""What instances take from their peers in place of the store.

Most of many instances do not follow the store themselves, and a store that is down or
turns some instances away tells these nothing. A withdrawn key or a leaving server is
then known to some, whose reports say that they know more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from ..errors import Fault
from ..events import NEWS_MISSED, NEWS_TAKEN, emit
from ..proxies.messages import Envelope
from .beliefs import Beliefs, ListedEndpoint
from .deployment import Deployment
from .peers import Peers, Report

NUDGE_ROUNDS = 2  # a watch tells a change within milliseconds of the peers' own
PATIENT_ROUNDS = 4  # the answer to the first question takes less than two rounds
ASK_TIMEOUT_S = 0.5  # two ways within a region and one lost packet


class AskNews(Envelope, frozen=True, array_like=True):
    """Asks for what the asker does not know yet.

    Attributes:
        revision: The revision of the configuration that it has in force.
        registry_revision: The latest revision of a server's entry that it knows.
    """

    revision: int
    registry_revision: int


class News(Envelope, frozen=True, array_like=True):
    """What is newer than what was asked with.

    Attributes:
        revision: The revision of the configuration in force.
        registry_revision: The latest revision of a server's entry that is known.
        deployment: That configuration, None if it is not newer.
        endpoints: The newer entries of servers.
        server_ids: All servers that have entries.
        is_registered: Whether all servers' entries are known.
    """

    revision: int
    registry_revision: int
    deployment: Deployment | None
    endpoints: tuple[ListedEndpoint, ...]
    server_ids: frozenset[str]
    is_registered: bool


NewsMessage = AskNews | News
Ask = Callable[[str, AskNews, float], Awaitable[Result[News, Fault]]]


class CatchUp:
    """Finds out that peers know more, and asks the store and then a peer.

    Args:
        beliefs: What this instance believes.
        peers: The other instances.
        nudge: Lets the watches ask the store anew.
        ask: Asks a peer, waiting for some seconds.
    """

    def __init__(
        self, beliefs: Beliefs, peers: Peers, nudge: Callable[[], None], ask: Ask
    ) -> None:
        self._beliefs = beliefs
        self._peers = peers
        self._nudge = nudge
        self._ask = ask
        self._rounds = 0
        self._passed_over: set[str] = set()
        self._asked_for = (0, 0)
        self._asking: asyncio.Task[None] | None = None

    def look(self) -> None:
        """Compare with the peers; to be called a few times a second."""
        if not self._is_behind():
            self._rounds = 0
            self._passed_over.clear()
            return
        self._rounds += 1
        watches = self._peers.is_watcher
        if self._rounds == (NUDGE_ROUNDS if watches else PATIENT_ROUNDS):
            self._nudge()
        if self._rounds >= PATIENT_ROUNDS:
            self._ask_soon()

    def heard(self, report: Report) -> None:
        """Ask at once if a peer knows more and this instance does not watch."""
        revision, registry_revision = self._known()
        is_newer = (
            report.revision > revision or report.registry_revision > registry_revision
        )
        if is_newer and not self._peers.is_watcher:
            self._ask_soon()

    def answer(self, message: AskNews) -> News:
        """Tell a peer what it does not know."""
        beliefs = self._beliefs
        is_newer = beliefs.revision > message.revision
        return News(
            revision=beliefs.revision,
            registry_revision=beliefs.registry_revision,
            deployment=beliefs.deployment if is_newer else None,
            endpoints=tuple(beliefs.endpoints_since(message.registry_revision)),
            server_ids=beliefs.server_ids,
            is_registered=beliefs.registered.is_set(),
        )

    def close(self) -> None:
        """Ask no more."""
        if self._asking is not None:
            self._asking.cancel()

    def _ask_soon(self) -> None:
        if self._asking is None:
            self._asking = asyncio.ensure_future(self._ask_a_peer())
            self._asking.add_done_callback(self._asked)

    def _known(self) -> tuple[int, int]:
        revision, registry_revision = self._asked_for
        return (
            max(revision, self._beliefs.revision),
            max(registry_revision, self._beliefs.registry_revision),
        )

    def _is_behind(self) -> bool:
        newest, known = self._peers.newest, self._known()
        return any(n > k for n, k in zip(newest, known, strict=True))

    async def _ask_a_peer(self) -> None:
        beliefs = self._beliefs
        revision, registry_revision = self._known()
        peer = self._peers.better_informed(
            revision, registry_revision, self._passed_over
        )
        if peer is None:
            self._passed_over.clear()
            return
        req = AskNews(
            revision=beliefs.revision, registry_revision=beliefs.registry_revision
        )
        result = await self._ask(peer, req, ASK_TIMEOUT_S)
        if not isinstance(result, Success):
            self._passed_over.add(peer)
            emit(NEWS_MISSED, peer=peer, reason=result.failure().message)
            return
        news: News = result.unwrap()
        emit(
            NEWS_TAKEN,
            peer=peer,
            revision=news.revision,
            configuration=news.deployment is not None,
            endpoints=len(news.endpoints),
        )
        self._take(news)
        # An entry that has vanished since is never known here.
        self._asked_for = (news.revision, news.registry_revision)

    def _take(self, news: News) -> None:
        for listed in news.endpoints:
            self._beliefs.take_endpoint(listed.endpoint, listed.revision)
        if news.is_registered:
            self._beliefs.keep_endpoints(news.server_ids, news.registry_revision)
        if news.deployment is not None:
            self._beliefs.take_deployment(news.deployment, news.revision)

    def _asked(self, task: asyncio.Task[None]) -> None:
        self._asking = None
        if not task.cancelled() and task.exception() is not None:
            emit(NEWS_MISSED, reason=repr(task.exception()))
