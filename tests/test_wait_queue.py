import heapq
import random

from mangoramp.policy.wait_queue import FAIR_HANDOVER_INTERVAL, WaitQueue

SERVICE_S = 0.024
CONNECTIONS = 4
CAPACITY = CONNECTIONS / SERVICE_S
OBJECTIVE_S = 0.4
TIMEOUT_S = 1.0
DURATION_S = 30.0


class Simulation:
    """Runs statements on a server's connections in virtual time.

    Args:
        load: Arrival rate as a multiple of the server's capacity.
        customers: The number of customers.
        is_fifo: Whether to serve requests first in, first out.
        seed: Seed of arrivals and service times.
        switch_s: Seconds to reopen a connection for another customer.
        backlog: The number of requests that wait at the start.
    """

    def __init__(
        self, *, load, customers=1, is_fifo=False, seed=1, switch_s=0.0, backlog=0
    ):
        self.switch_s = switch_s
        self.backlog = backlog
        self.rng = random.Random(seed)
        self.load = load
        self.customers = customers
        self.is_fifo = is_fifo
        self.wait_queue = WaitQueue()
        self.wait_queue.statement_s = SERVICE_S
        self.idle_customers = [""] * CONNECTIONS
        self.on_time = self.late = self.switches = 0
        self.refused_after = []
        self.arrived_at = {}

    def run(self):
        arrivals = [self.rng.expovariate(self.load * CAPACITY)]
        completions = []
        for _ in range(self.backlog):
            self.arrive(0.0)
        while arrivals[0] < DURATION_S or completions:
            if (
                completions
                and completions[0][0] <= arrivals[0]
                or arrivals[0] >= DURATION_S
            ):
                now, customer = heapq.heappop(completions)
                self.idle_customers.append(customer)
            else:
                now = arrivals[0]
                arrivals[0] += self.rng.expovariate(self.load * CAPACITY)
                self.arrive(now)
            self.serve(now, completions)
        return self

    def arrive(self, now):
        waiter = self.wait_queue.enqueue(
            f"c{self.rng.randrange(self.customers)}",
            priority=1,
            due_at=now + OBJECTIVE_S,
            deadline=now + TIMEOUT_S,
        )
        self.arrived_at[waiter] = now

    def serve(self, now, completions):
        if self.is_fifo:
            refused = [(p, 0.0) for p in self.wait_queue if p.deadline <= now]
        else:
            refused = self.wait_queue.find_unservable(now)
        for waiter, _ in refused:
            self.wait_queue.remove(waiter)
            self.refused_after.append(now - self.arrived_at[waiter])
        while self.idle_customers and len(self.wait_queue):
            customer = self.idle_customers.pop()
            chosen = self.wait_queue.next_waiter(now, customer)
            if self.is_fifo:
                chosen = min(self.wait_queue, key=lambda waiter: waiter.number)
            self.wait_queue.remove(chosen)
            self.wait_queue.record_handover(now)
            self.switches += chosen.customer != customer
            held_s = self.rng.expovariate(1 / SERVICE_S)
            if chosen.customer != customer:
                held_s += self.switch_s
            if now + held_s <= chosen.due_at:
                self.on_time += 1
            else:
                self.late += 1
            heapq.heappush(completions, (now + held_s, chosen.customer))

    @property
    def capacity(self):
        return CAPACITY * DURATION_S


class TestOverload:
    def test_what_can_be_served_is_served_in_time(self):
        fifo = Simulation(load=1.4, is_fifo=True).run()
        scheduled = Simulation(load=1.4).run()
        assert fifo.on_time < 0.2 * fifo.capacity
        assert scheduled.on_time > 0.8 * scheduled.capacity

    def test_requests_are_refused_before_their_timeout(self):
        fifo = Simulation(load=1.4, is_fifo=True).run()
        scheduled = Simulation(load=1.4).run()
        assert min(fifo.refused_after) >= TIMEOUT_S
        assert max(scheduled.refused_after) < TIMEOUT_S
        mean_s = sum(scheduled.refused_after) / len(scheduled.refused_after)
        assert mean_s < 0.75 * TIMEOUT_S

    def test_a_load_within_capacity_is_not_refused(self):
        scheduled = Simulation(load=0.8).run()
        assert not scheduled.refused_after
        assert scheduled.late < 0.01 * scheduled.on_time

    def test_a_free_connection_goes_to_its_own_customer(self):
        fifo = Simulation(load=1.1, customers=4, is_fifo=True).run()
        scheduled = Simulation(load=1.1, customers=4).run()
        assert scheduled.switches < 0.5 * fifo.switches
        assert scheduled.on_time > fifo.on_time

    def test_a_backlog_drains_once_the_load_fits_again(self):
        options = {"load": 0.7, "customers": 13, "switch_s": SERVICE_S, "backlog": 150}
        fifo = Simulation(is_fifo=True, **options).run()
        scheduled = Simulation(**options).run()
        assert fifo.on_time < 0.5 * 0.7 * fifo.capacity
        assert scheduled.on_time > 0.9 * 0.7 * scheduled.capacity


class TestOrder:
    def enqueue(
        self, wait_queue, customer="a", *, priority=1, due_at=0.2, deadline=1.0
    ):
        return wait_queue.enqueue(
            customer, priority=priority, due_at=due_at, deadline=deadline
        )

    def test_urgent_classes_go_first(self):
        wait_queue = WaitQueue()
        self.enqueue(wait_queue, priority=2, due_at=0.1)
        urgent = self.enqueue(wait_queue, priority=1, due_at=0.2)
        assert wait_queue.next_waiter(0.0) == urgent

    def test_what_is_late_waits_for_what_is_not(self):
        wait_queue = WaitQueue()
        late = self.enqueue(wait_queue, due_at=0.1)
        timely = self.enqueue(wait_queue, due_at=0.5)
        assert wait_queue.next_waiter(0.2) == timely
        wait_queue.remove(timely)
        assert wait_queue.next_waiter(0.2) == late

    def test_a_connections_own_customer_goes_first_but_not_always(self):
        wait_queue = WaitQueue()
        other = self.enqueue(wait_queue, "b", due_at=0.20)
        served = []
        for turn in range(FAIR_HANDOVER_INTERVAL):
            self.enqueue(wait_queue, "a", due_at=0.25)
            chosen = wait_queue.next_waiter(0.0, "a")
            served.append(chosen.customer)
            wait_queue.remove(chosen)
            wait_queue.record_handover(0.001 * turn)
            if chosen == other:
                break
        assert served[-1] == "b"
        assert len(served) <= FAIR_HANDOVER_INTERVAL

    def test_what_is_in_time_goes_before_the_connections_own_customer(self):
        wait_queue = WaitQueue()
        wait_queue.record_handover(0.0)
        self.enqueue(wait_queue, "a", due_at=0.1)
        timely = self.enqueue(wait_queue, "b", due_at=0.5)
        assert wait_queue.next_waiter(0.2, "a") == timely

    def test_a_full_queue_reports_the_expected_wait(self):
        wait_queue = WaitQueue()
        wait_queue.handover_interval_s = 0.5
        for _ in range(3):
            self.enqueue(wait_queue, due_at=1.0, deadline=1.1)
        ((waiter, wait_s),) = wait_queue.find_unservable(0.2)
        assert waiter.number == 3
        assert wait_s == 1.0

    def test_the_first_request_is_never_refused(self):
        wait_queue = WaitQueue()
        wait_queue.handover_interval_s = 9.0
        self.enqueue(wait_queue, deadline=1.0)
        assert not wait_queue.find_unservable(0.0)
