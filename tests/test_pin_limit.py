"""Guards against pools whose connections are all pinned by idle transactions."""

import asyncio
import time

import pytest

from mangoramp.control.group import Limit
from mangoramp.control.settings import Features
from mangoramp.policy.pin_limit import max_pinned
from mangoramp.serving.pool import NoConnectionError, Urgency
from mangoramp.serving.workload import Workload

from .test_pace import build

TRANSACTION = Workload(opens_transaction=True)
CONTROLLED = Features(load_control=True)
URGENCY = Urgency(priority=1, due_s=0.1, timeout_s=0.3)


class TestLimit:
    @pytest.mark.parametrize(
        ("connections", "most"), [(0, 0), (1, 1), (2, 1), (4, 3), (5, 3), (8, 6)]
    )
    def test_leaves_a_quarter_free(self, connections, most):
        assert max_pinned(connections) == most


async def open_idle(pool, count):
    """Open transactions that stay idle; return the connections and the rejections."""
    found = await asyncio.gather(
        *(pool.acquire(f"t{n}", URGENCY, TRANSACTION) for n in range(count)),
        return_exceptions=True,
    )
    opened = [c for c in found if not isinstance(c, Exception)]
    for _ in opened:
        pool.park()
    return opened, [c for c in found if isinstance(c, Exception)]


class TestPool:
    async def test_idle_transactions_leave_room_for_a_read(self):
        _, pool = build(CONTROLLED, limit=4)
        opened, rejected = await open_idle(pool, 6)
        assert len(opened) == 3
        assert all(isinstance(e, NoConnectionError) for e in rejected)
        started = time.monotonic()
        pool.release(await pool.acquire("reader", URGENCY), "reader")
        assert time.monotonic() - started < 0.1

    async def test_without_the_feature_they_take_all_connections(self):
        """Shows the fault that the limit is for."""
        _, pool = build(limit=4)
        opened, _ = await open_idle(pool, 6)
        assert len(opened) == 4
        with pytest.raises(NoConnectionError):
            await pool.acquire("reader", URGENCY)

    async def test_an_ended_transaction_makes_room_for_the_most_urgent(self):
        _, pool = build(CONTROLLED, limit=4)
        opened, _ = await open_idle(pool, 3)
        done = []

        async def begin(priority):
            urgency = Urgency(priority, 0.1, 0.5)
            await pool.acquire(f"p{priority}", urgency, TRANSACTION)
            done.append(priority)

        tasks = [asyncio.ensure_future(begin(p)) for p in (2, 0, 1)]
        await asyncio.sleep(0.01)
        assert not done
        assert pool.waiting == 3
        assert pool.server.capacity_state.limit is Limit.PINNED
        pool.resume()
        pool.release(opened[0], "t0")
        await asyncio.sleep(0.02)
        assert done == [0]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_a_failed_acquisition_returns_its_permit(self):
        _, pool = build(CONTROLLED, limit=2)
        conn = await pool.acquire("reader", URGENCY)
        other = await pool.acquire("reader", URGENCY)
        with pytest.raises(NoConnectionError):
            await pool.acquire("t", Urgency(1, 0.05, 0.05), TRANSACTION)
        pool.release(conn, "reader")
        pool.release(other, "reader")
        opened, _ = await open_idle(pool, 1)
        assert len(opened) == 1
