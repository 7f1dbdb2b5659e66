"""What this process knows of a database group and its servers."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from ..events import PRIMARY_CHANGED, SERVER_BACK, SERVER_LOST, emit
from ..policy.position import Position
from ..policy.samples import PrimarySamples, Sample
from .endpoint import Endpoint

RETURN_S = 2.5  # a lapsed entry of a live server is back two seconds after the store
SUSPECT_S = 0.1  # a server that failed once is tried again after a retransmission
MAX_SUSPECT_S = 1.0  # a restarted server is noticed within this time
DISOWNED_S = 0.5  # a server's report of its new role reaches the registry sooner
LAG_START_S = 0.1  # a replica's lag before it is known
LATENCY_START_S = 0.01  # a short statement
SMOOTHING = 0.1  # weight of a new value in an average over about ten statements


@dataclass(slots=True, eq=False)
class Server:
    """A server, and how it has answered lately.

    Attributes:
        endpoint: Its latest entry.
        leads_since: The revision at which its entry began to call it primary, 0 if
            the entry does not.
        unlisted_at: When its entry vanished, None while it is listed.
        shows: The last position that its answers showed.
        heard_at: When it last answered, in seconds.
        failing_since: When it stopped to answer, None while it answers.
        failures: Failed attempts in a row.
        retry_at: Until when it is passed over, in seconds.
        disowned_at: When it said that it is not the primary.
        latency_s: Seconds that a statement takes, averaged.
        lag_s: Seconds after which it has usually applied an entry.
        busy: Statements of this process that it runs.
    """

    endpoint: Endpoint
    leads_since: int = 0
    unlisted_at: float | None = None
    shows: Position | None = None
    heard_at: float = float("-inf")
    failing_since: float | None = None
    failures: int = 0
    retry_at: float = float("-inf")
    disowned_at: float = float("-inf")
    latency_s: float = LATENCY_START_S
    lag_s: float = LAG_START_S
    busy: int = 0

    @property
    def id(self) -> str:
        """Its id."""
        return self.endpoint.id

    def is_suspect(self, now: float) -> bool:
        """Whether it failed so lately that others are better."""
        return now < self.retry_at

    def answered(self, now: float, latency_s: float | None = None) -> None:
        """Note that it answered."""
        if self.failures > 1:
            emit(SERVER_BACK, server=self.id, failures=self.failures)
        self.heard_at = now
        self.failing_since = None
        self.failures = 0
        self.retry_at = float("-inf")
        if latency_s is not None:
            self.latency_s += SMOOTHING * (latency_s - self.latency_s)

    def failed(self, now: float, reason: str) -> None:
        """Note that it did not answer."""
        self.failures += 1
        if self.failing_since is None:
            self.failing_since = now
        pause = min(MAX_SUSPECT_S, SUSPECT_S * 2 ** min(self.failures - 1, 10))
        self.retry_at = now + pause
        if self.failures == 2:
            emit(SERVER_LOST, server=self.id, group=self.endpoint.group, reason=reason)

    def applied(self, need_age_s: float) -> None:
        """Note that it showed an entry of this age."""
        if need_age_s < self.lag_s:
            self.lag_s += SMOOTHING * (need_age_s - self.lag_s)

    def lagged(self, need_age_s: float) -> None:
        """Note that it did not show an entry of this age yet."""
        self.lag_s = max(self.lag_s, 1.5 * need_age_s)


class GroupState:
    """One database group.

    Args:
        name: Its name.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.servers: dict[str, Server] = {}
        self.samples = PrimarySamples()
        self._changed = asyncio.Event()
        self._primary_id = ""

    def list_endpoint(self, endpoint: Endpoint, revision: int) -> None:
        """Take over a server's entry.

        Args:
            endpoint: The entry.
            revision: The registry's revision of it.
        """
        known = self.servers.get(endpoint.id)
        if known is None or known.endpoint.started_ms != endpoint.started_ms:
            # A server that started anew holds nothing of what was known of it.
            known = self.servers[endpoint.id] = Server(endpoint)
        elif endpoint.is_primary and not known.endpoint.is_primary:
            known.leads_since = 0
        known.endpoint = endpoint
        known.unlisted_at = None
        if not endpoint.is_primary:
            known.leads_since = 0
        elif not known.leads_since:
            known.leads_since = revision
            known.disowned_at = float("-inf")
        self.wake()

    def unlist(self, server_id: str, now: float) -> None:
        """Note that a server's entry has vanished."""
        server = self.servers.get(server_id)
        if server is None:
            return
        if server.endpoint.is_draining:
            del self.servers[server_id]
        elif server.unlisted_at is None:
            server.unlisted_at = now
        self.wake()

    def expire(self, now: float) -> list[str]:
        """Drop the servers whose entries did not come back in time."""
        gone = [
            s.id
            for s in self.servers.values()
            if s.unlisted_at is not None and now - s.unlisted_at > RETURN_S
        ]
        for server_id in gone:
            del self.servers[server_id]
        if gone:
            self.wake()
        return gone

    def promoted(self, server_id: str, revision: int) -> None:
        """Take a server for the primary before the registry says so."""
        server = self.servers.get(server_id)
        if server is not None:
            server.leads_since = revision
            server.disowned_at = float("-inf")
            self.wake()

    def primary(self, now: float) -> Server | None:
        """The server that is taken for the primary."""
        leading = [
            s
            for s in self.servers.values()
            if s.leads_since and now - s.disowned_at > DISOWNED_S
        ]
        found = max(leading, key=lambda s: s.leads_since, default=None)
        if found is not None and found.id != self._primary_id:
            self._primary_id = found.id
            emit(
                PRIMARY_CHANGED,
                group=self.name,
                server=found.id,
                revision=found.leads_since,
            )
        return found

    def replicas(self, now: float) -> list[Server]:
        """The servers that may get reads, but for the primary."""
        primary = self.primary(now)
        return [
            s
            for s in self.servers.values()
            if s is not primary and not s.endpoint.is_draining and s.unlisted_at is None
        ]

    def proved(self, asked_at: float, position: Position | None) -> None:
        """Take over a proof of what the primary holds."""
        if position is not None:
            self.samples.add(Sample(asked_at, position))

    def wake(self) -> None:
        """Let all who wait for a change look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self, timeout_s: float) -> None:
        """Wait for the next change, but no longer than a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
