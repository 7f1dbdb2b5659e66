"""Cold servers of the soak test: what they may get, and when that can be checked."""

import asyncio
import bisect
import time
from dataclasses import dataclass

from mangoramp.policy.cold_limit import cold_limit
from mangoramp.standins.wire_group import WireServer

COLD_S = 4.0  # for which a server is cold after its start
COLD_RATE = 20
SERVICE = {"cold_start_s": COLD_S, "cold_per_s": COLD_RATE}
LIMIT = cold_limit(COLD_RATE, 1.5, 5)  # overage and slack as in the settings
NOTICE_S = 1.0  # beside other faults; as long as the product waits for an entry
SETTLE_S = 1.0  # between two cold starts
POLL_S = 0.01


@dataclass(frozen=True, slots=True)
class ColdSpell:
    """A time for which a server reports itself cold.

    Attributes:
        server: The server.
        began_at: When it started, in seconds on the monotonic clock.
        ended_at: When it stopped to be cold.
        notice_s: Undisturbed seconds until all instances know that it is cold.
    """

    server: WireServer
    began_at: float
    ended_at: float
    notice_s: float


class Disturbances:
    """Records when instances could not learn of a server's state, and checks the rest.

    An instance that is paused, or that the store cannot reach, may not know of a cold
    start. So a spell is checked once all was undisturbed for its notice after its
    begin, and while no data to the server is held up, which would arrive at once later.

    Args:
        soak: The run.
    """

    def __init__(self, soak):
        self._soak = soak
        self._store = []  # times at which the store or an instance was disturbed
        self._path = []  # times and ids of servers to which data was held up
        self._lags = []  # times and seconds for which this process was held up

    async def run(self):
        """Record until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(POLL_S)
            now = time.monotonic()
            self._lags.append((now, now - before - POLL_S))
            self._record(now)

    def _record(self, now):
        soak = self._soak
        if (
            soak.paused
            or soak.platform.faults.down
            or soak.platform.faults.forget
            or soak.platform.faults.lose_answers
            or not all(process.is_running for process in soak.processes)
            or _is_disturbed(soak.store_relay)
        ):
            self._store.append(now)
        for server_id, relay in soak.relays.items():
            if _is_disturbed(relay) or (
                soak.group.servers[server_id].faults.is_unresponsive
            ):
                self._path.append((now, server_id))

    def known_at(self, spell):
        """Return from when all instances know that the server is cold."""
        known_at = spell.began_at
        for at in self._store:
            if spell.began_at <= at <= known_at + spell.notice_s:
                known_at = at
        return known_at + spell.notice_s

    def checked(self, spell):
        """Return the arrivals of requests that are checked, as times."""
        first = self.known_at(spell)
        held_up = [at for at, i in self._path if i == spell.server.id]
        return [
            at
            for at in spell.server.request_times
            if first <= at <= spell.ended_at
            and not any(abs(at - other) <= 1.0 for other in held_up)
        ]

    def most_in_a_second(self, spell):
        """Return the most requests that arrived within a second.

        A request that this process read late may have arrived as much earlier.
        """
        times = self.checked(spell)
        most = first = 0
        for last, at in enumerate(times):
            while first < last and at - times[first] + self._lag(times[first]) >= 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _lag(self, at):
        """Return how late a request may have been read, here and in the relay."""
        index = bisect.bisect_left(self._lags, (at, 0.0))
        return sum(lag for _, lag in self._lags[max(0, index - 2) : index + 2])

    def check(self, spell):
        """Return the violations of a spell."""
        most = self.most_in_a_second(spell)
        if most <= LIMIT:
            return []
        return [f"{spell.server.id} was cold and got {most} requests in a second"]


def _is_disturbed(relay):
    return relay.delay_s or relay.dropped_directions or relay.is_holding_connections
