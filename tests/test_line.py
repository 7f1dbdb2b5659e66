import heapq
import random

from mangoramp.policy.line import FAIR_TURN, Line

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
        self.line = Line()
        self.line.work_s = SERVICE_S
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
        place = self.line.join(
            f"c{self.rng.randrange(self.customers)}",
            priority=1,
            due_at=now + OBJECTIVE_S,
            deadline=now + TIMEOUT_S,
        )
        self.arrived_at[place] = now

    def serve(self, now, completions):
        if self.is_fifo:
            refused = [(p, 0.0) for p in self.line if p.deadline <= now]
        else:
            refused = self.line.hopeless(now)
        for place, _ in refused:
            self.line.leave(place)
            self.refused_after.append(now - self.arrived_at[place])
        while self.idle_customers and len(self.line):
            customer = self.idle_customers.pop()
            chosen = self.line.first(now, customer)
            if self.is_fifo:
                chosen = min(self.line, key=lambda place: place.number)
            self.line.leave(chosen)
            self.line.moved(now)
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
    def join(self, line, customer="a", *, priority=1, due_at=0.2, deadline=1.0):
        return line.join(customer, priority=priority, due_at=due_at, deadline=deadline)

    def test_urgent_classes_go_first(self):
        line = Line()
        self.join(line, priority=2, due_at=0.1)
        urgent = self.join(line, priority=1, due_at=0.2)
        assert line.first(0.0) == urgent

    def test_what_is_late_waits_for_what_is_not(self):
        line = Line()
        late = self.join(line, due_at=0.1)
        timely = self.join(line, due_at=0.5)
        assert line.first(0.2) == timely
        line.leave(timely)
        assert line.first(0.2) == late

    def test_a_connections_own_customer_goes_first_but_not_always(self):
        line = Line()
        other = self.join(line, "b", due_at=0.20)
        served = []
        for turn in range(FAIR_TURN):
            self.join(line, "a", due_at=0.25)
            chosen = line.first(0.0, "a")
            served.append(chosen.customer)
            line.leave(chosen)
            line.moved(0.001 * turn)
            if chosen == other:
                break
        assert served[-1] == "b"
        assert len(served) <= FAIR_TURN

    def test_what_is_in_time_goes_before_the_connections_own_customer(self):
        line = Line()
        line.moved(0.0)
        self.join(line, "a", due_at=0.1)
        timely = self.join(line, "b", due_at=0.5)
        assert line.first(0.2, "a") == timely

    def test_a_full_queue_reports_the_expected_wait(self):
        line = Line()
        line.step_s = 0.5
        for _ in range(3):
            self.join(line, due_at=1.0, deadline=1.1)
        ((place, wait_s),) = line.hopeless(0.2)
        assert place.number == 3
        assert wait_s == 1.0

    def test_the_first_request_is_never_refused(self):
        line = Line()
        line.step_s = 9.0
        self.join(line, deadline=1.0)
        assert not line.hopeless(0.0)
