import asyncio
import time

import pytest

from mangoramp.control.endpoint import Endpoint
from mangoramp.control.group import Server
from mangoramp.serving.command import ConnectionContext
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


def pool(limit):
    endpoint = Endpoint("s1", "orders", ("host", 1), "a", 2, False, True)
    return ServerPool(Server(endpoint), Connector(), time.monotonic, limit=limit)


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
