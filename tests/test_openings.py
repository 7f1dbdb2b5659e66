"""What requests get while a server accepts no connections, in virtual time."""

import asyncio
import contextlib

import pytest

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.serving.command import OpenRefusedError
from mangoramp.serving.pool import NoConnectionError, ServerPool, Urgency
from mangoramp.serving.server_health import record_no_connection

from .fake_connection import Connection
from .virtual_time import run

CONNECT_TIMEOUT_S = 0.5
WAIT_S = 0.1  # of a read for a connection to one of several replicas
CUSTOMERS = 20
OPEN_S = 0.012


class Connector:
    """Opens connections to a server that is cut off between two times."""

    def __init__(self, cut_s):
        self.cut_s = cut_s
        self.attempts = []

    async def open(self, server_id, group, address, customer):
        loop = asyncio.get_running_loop()
        self.attempts.append(loop.time())
        if self.cut_s[0] <= loop.time() < self.cut_s[1]:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise OpenRefusedError("timeout")
        await asyncio.sleep(OPEN_S)
        return Connection()


class World:
    """The pool of a home, and instances that each ask it for a connection."""

    def __init__(self, cut_s=(1.0, 4.0)):
        self.waits = []
        self.connector = Connector(cut_s)

    async def play(self, for_s=8.0, gap_s=0.01):
        loop = asyncio.get_running_loop()
        endpoint = Endpoint("s", "g", ("h", 1), "a", 3, False, False)
        self.server = Server(endpoint)
        self.pool = ServerPool(self.server, self.connector, loop.time, limit=4)
        tasks = []
        while loop.time() < for_s:
            customer = f"c{len(tasks) % CUSTOMERS}"
            tasks.append(asyncio.ensure_future(self._request(customer)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)

    async def _request(self, customer):
        loop = asyncio.get_running_loop()
        started = loop.time()
        is_served = False
        try:
            conn = await self.pool.acquire(customer, Urgency(1, WAIT_S, WAIT_S))
            await asyncio.sleep(0.005)
            self.server.record_answer(loop.time())
            if self.connector.cut_s[0] <= loop.time() < self.connector.cut_s[1]:
                self.server.record_failure(loop.time(), "no answer")
                conn.close()
            self.pool.release(conn, customer)
            is_served = True
        except NoConnectionError as exc:
            record_no_connection(self.server, exc, loop.time())
        self.waits.append((started, is_served, loop.time() - started))


class TestServerThatIsCutOff:
    @pytest.fixture
    def world(self):
        world = World()
        run(world.play())
        return world

    def test_holds_no_request_back(self, world):
        """Guards against each instance that pays for what its home knows."""
        known_at = 1.0 + 2 * CONNECT_TIMEOUT_S
        waits = [w for at, _, w in world.waits if known_at < at < 4.0]
        assert waits
        assert max(waits) < 0.001

    def test_is_not_flooded_with_attempts(self, world):
        tried = [at for at in world.connector.attempts if 2.0 < at < 4.0]
        assert 10 <= len(tried) <= 21

    def test_gets_requests_again_soon(self, world):
        """Guards against a server that stays refused after it has recovered."""
        found = [ok for at, ok, _ in world.waits if at > 4.0 + 0.25]
        assert sum(found) >= 0.99 * len(found)


class TestLostConnections:
    def test_a_server_that_accepts_connections_is_used_at_once(self):
        """Guards against requests refused because of a reset of all connections."""
        world = World(cut_s=(99.0, 99.0))

        async def play():
            task = asyncio.ensure_future(world.play(for_s=2.0))
            await asyncio.sleep(1.0)
            for _ in range(4):
                world.server.record_failure(1.0, "reset")
            await task

        with contextlib.suppress(asyncio.CancelledError):
            run(play())
        assert all(is_served for _, is_served, _ in world.waits)
