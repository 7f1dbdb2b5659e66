import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp.errors import Code, FaultError
from mangoramp.policy.fairness import FairQueue
from mangoramp.slot_queue import MAX_WAITING_PER_CUSTOMER, SlotQueue

PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, max_examples=50)


def served(queue, duration_s, push_again):
    """Serve requests on one slot for some seconds; each served customer sends another.

    Returns:
        The seconds of service that each customer got.
    """
    service_s = {}
    now = 0.0
    while now < duration_s:
        customer, cost_s = queue.pop()
        now += cost_s
        service_s[customer] = service_s.get(customer, 0.0) + cost_s
        push_again(customer, cost_s)
    return service_s


class TestFairQueue:
    @PROPERTY_SETTINGS
    @given(
        st.dictionaries(
            st.sampled_from("abcdef"),
            st.tuples(st.sampled_from((0.5, 1.0, 2.0)), st.floats(0.005, 0.05)),
            min_size=2,
        )
    )
    def test_serves_by_weight_in_seconds(self, customers):
        queue = FairQueue(max_per_customer=100, max_total=1000)

        def push(customer, cost_s):
            weight = customers[customer][0]
            queue.push(customer, (customer, cost_s), weight=weight, cost_s=cost_s)

        for customer, (_, cost_s) in customers.items():
            for _ in range(10):
                push(customer, cost_s)
        service_s = served(queue, 20.0, push)
        weights = sum(weight for weight, _ in customers.values())
        for customer, (weight, _) in customers.items():
            assert service_s[customer] >= 0.95 * 20.0 * weight / weights - 0.05

    def test_idle_customers_accumulate_no_credit(self):
        queue = FairQueue(max_per_customer=100, max_total=100)
        for number in range(50):
            queue.push("busy", ("busy", number), weight=1, cost_s=1)
        for _ in range(40):
            queue.pop()
        for number in range(50):
            queue.push("idle", ("idle", number), weight=1, cost_s=1)
        first = [queue.pop()[0] for _ in range(10)]
        assert first.count("busy") >= 4

    def test_bounds_each_customer_and_the_total(self):
        queue = FairQueue(max_per_customer=3, max_total=5)
        pushed = [queue.push("a", n, weight=1, cost_s=1) for n in range(5)]
        assert pushed == [True, True, True, False, False]
        pushed = [queue.push("b", n, weight=1, cost_s=1) for n in range(5)]
        assert pushed == [True, True, False, False, False]

    @PROPERTY_SETTINGS
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30))
    def test_pops_each_request_that_was_not_cancelled_once(self, pushes):
        queue = FairQueue(max_per_customer=100, max_total=100)
        for number, (customer, _) in enumerate(pushes):
            queue.push(customer, number, weight=1, cost_s=1)
        kept = [n for n, (_, leaves) in enumerate(pushes) if not leaves]
        for number, (customer, leaves) in enumerate(pushes):
            if leaves:
                assert queue.cancel(customer, number)
        assert len(queue) == len(kept)
        assert sorted(queue.pop() for _ in kept) == kept
        assert queue.pop() is None


class TestSlotQueue:
    async def test_refuses_a_request_at_once_if_its_turn_would_come_too_late(self):
        slot_queue = SlotQueue(lambda: 1)
        async with slot_queue.acquire("a", weight=1, timeout_s=1):
            waiting = [
                asyncio.ensure_future(self.hold(slot_queue, "b", 10.0))
                for _ in range(100)
            ]
            await asyncio.sleep(0)
            with pytest.raises(FaultError) as caught:
                await asyncio.wait_for(self.hold(slot_queue, "b", 0.1), 0.05)
            assert caught.value.fault.code is Code.OVERLOADED
            assert caught.value.fault.retry_after_s > 0.5
        await asyncio.gather(*waiting)

    async def test_bounds_the_number_of_waiting_requests(self):
        slot_queue = SlotQueue(lambda: 1)
        async with slot_queue.acquire("a", weight=1, timeout_s=1):
            count = MAX_WAITING_PER_CUSTOMER + 5
            waiting = [
                asyncio.ensure_future(self.hold(slot_queue, "b", 60.0))
                for _ in range(count)
            ]
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert sum(task.done() for task in waiting) == 5
        await asyncio.gather(*waiting, return_exceptions=True)

    async def test_passes_on_the_turn_of_a_disconnected_caller(self):
        slot_queue = SlotQueue(lambda: 1)
        async with slot_queue.acquire("a", weight=1, timeout_s=1):
            leaver = asyncio.ensure_future(self.hold(slot_queue, "b", 1.0))
            stayer = asyncio.ensure_future(self.hold(slot_queue, "c", 1.0))
            await asyncio.sleep(0)
        leaver.cancel()
        await asyncio.wait_for(stayer, 1.0)
        async with asyncio.timeout(1), slot_queue.acquire("d", weight=1, timeout_s=1):
            pass

    async def hold(self, slot_queue, customer, timeout_s):
        async with slot_queue.acquire(customer, weight=1, timeout_s=timeout_s):
            await asyncio.sleep(0)
