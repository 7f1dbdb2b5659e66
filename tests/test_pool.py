import asyncio
import time

import pytest

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.serving.command import ConnectionContext, OpenRefusedError
from mangoramp.serving.pool import NoConnectionError, ServerPool, Urgency

SOON = Urgency(priority=1, due_s=0.2, timeout_s=0.5)


class Connection:
    def __init__(self, customer):
        self.context = ConnectionContext()
        self.customer = customer
        self.is_open = True

    def close(self):
        self.is_open = False


class Connector:
    async def open(self, server_id, group, address, customer):
        return Connection(customer)


def pool(limit, connector=None):
    endpoint = Endpoint("s1", "orders", ("host", 1), "a", 2, False, True)
    connector = connector or Connector()
    return ServerPool(Server(endpoint), connector, time.monotonic, limit=limit)


async def use(found, customer, held_s, done, urgency=SOON):
    conn = await found.acquire(customer, urgency)
    await asyncio.sleep(held_s)
    found.release(conn, customer)
    done.append(customer)


class TestWaiting:
    async def test_a_freed_connection_goes_to_a_waiter_of_its_customer(self):
        found = pool(1)
        conn = await found.acquire("a", SOON)
        done = []
        tasks = [
            asyncio.ensure_future(use(found, customer, 0.0, done))
            for customer in ("b", "a")
        ]
        await asyncio.sleep(0.01)
        found.release(conn, "a")
        await asyncio.gather(*tasks)
        assert done == ["a", "b"]
        assert found.opened == 2

    async def test_refuses_at_once_what_would_come_too_late(self):
        found = pool(1)
        done = []
        for _ in range(3):
            await asyncio.gather(*(use(found, "a", 0.08, done) for _ in range(4)))
        busy = [asyncio.ensure_future(use(found, "a", 0.08, done)) for _ in range(5)]
        await asyncio.sleep(0.01)
        started = time.monotonic()
        with pytest.raises(NoConnectionError) as refusal:
            await found.acquire("a", Urgency(priority=2, due_s=0.01, timeout_s=0.2))
        took_s = time.monotonic() - started
        assert took_s < 0.1
        assert refusal.value.is_reachable
        assert took_s + refusal.value.wait_s > 0.2
        await asyncio.gather(*busy)

    async def test_serves_a_short_queue(self):
        found = pool(1)
        done = []
        await asyncio.gather(*(use(found, "a", 0.02, done) for _ in range(5)))
        assert len(done) == 5
        assert found.waiting == 0

    async def test_a_closed_pool_refuses_its_waiters(self):
        found = pool(1)
        conn = await found.acquire("a", SOON)
        waiter = asyncio.ensure_future(found.acquire("b", SOON))
        await asyncio.sleep(0.01)
        found.close()
        with pytest.raises(NoConnectionError):
            await waiter
        found.release(conn, "a")
        assert found.connection_count == 0


class SlowConnector(Connector):
    """Accepts a connection, or fails it, after a time far above a request's wait."""

    def __init__(self, error=None):
        self.error = error

    async def open(self, server_id, group, address, customer):
        await asyncio.sleep(0.2)
        if self.error is not None:
            raise self.error
        return Connection(customer)


class TestSlowOpening:
    """A server that does not answer an attempt must not hold a request back."""

    URGENCY = Urgency(priority=1, due_s=0.2, timeout_s=0.05)

    async def try_acquire(self, found):
        started = time.monotonic()
        with pytest.raises(NoConnectionError) as refusal:
            await found.acquire("a", self.URGENCY)
        assert time.monotonic() - started < 0.15
        return refusal.value

    async def test_a_request_waits_no_longer_than_it_may(self):
        found = pool(2, SlowConnector())
        assert (await self.try_acquire(found)).is_reachable
        assert found.server.full_until > time.monotonic()

    async def test_the_connection_serves_a_later_request(self):
        found = pool(2, SlowConnector())
        await self.try_acquire(found)
        assert found.in_flight == 1
        await asyncio.sleep(0.25)
        assert found.has_idle("a")
        assert found.in_flight == 0
        assert (await found.acquire("a", self.URGENCY)).customer == "a"
        assert found.opened == 1

    async def test_a_failure_counts_against_the_server(self):
        found = pool(2, SlowConnector(OpenRefusedError("no route")))
        await self.try_acquire(found)
        await asyncio.sleep(0.25)
        assert found.server.failures == 1
        assert found.connection_count == found.in_flight == 0

    async def test_a_pool_that_was_closed_keeps_no_connection(self):
        found = pool(2, SlowConnector())
        await self.try_acquire(found)
        found.close()
        await asyncio.sleep(0.25)
        assert found.connection_count == 0

    async def test_a_cancelled_request_leaves_no_connection_behind(self):
        """Guards against a connection that was opened as its request was cancelled."""
        opened = asyncio.Event()

        class EventConnector(Connector):
            async def open(self, server_id, group, address, customer):
                await opened.wait()
                return Connection(customer)

        found = pool(1, EventConnector())
        request = asyncio.ensure_future(found.acquire("a", SOON))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        opened.set()
        await asyncio.sleep(0)
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)
        await asyncio.sleep(0.01)
        assert found.in_flight == 0
        assert found.connection_count == found.has_idle("a")
