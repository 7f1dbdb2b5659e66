import heapq
import itertools
import random

from mangoramp.policy.window import ConcurrencyWindow

SLOTS = 5
QUEUE = 24
SERVICE_S = 0.024
INSTANCES = 15
CONNECTIONS = 16
RETRY_S = 0.02
ONE_WAY_S = 0.0005  # one-way network delay between an instance and the server
DURATION_S = 5.0


class Simulation:
    """Simulates instances that always have more statements than a server can run."""

    def __init__(self, *, has_windows):
        self.rng = random.Random(1)
        self.has_windows = has_windows
        self.windows = [ConcurrencyWindow() for _ in range(INSTANCES)]
        self.in_flight = [0] * INSTANCES
        self.waiting = []
        self.running = 0
        self.served_counts = [0] * INSTANCES
        self.refused_count = 0
        self.order = itertools.count()
        self.events = []

    def run(self):
        for instance in range(INSTANCES):
            self.at(self.rng.random() * RETRY_S, self.send, instance)
        while self.events[0][0] < DURATION_S:
            now, _, callback, instance = heapq.heappop(self.events)
            callback(instance, now)
        return self

    def at(self, when, callback, instance):
        heapq.heappush(self.events, (when, next(self.order), callback, instance))

    def may_send(self, instance):
        count = self.in_flight[instance]
        if count >= CONNECTIONS:
            return False
        return not self.has_windows or self.windows[instance].has_room(count)

    def send(self, instance, now):
        while self.may_send(instance):
            self.in_flight[instance] += 1
            self.at(now + ONE_WAY_S, self.arrive, instance)

    def arrive(self, instance, now):
        if self.running + len(self.waiting) >= SLOTS + QUEUE:
            self.refused_count += 1
            self.at(now + ONE_WAY_S, self.on_refusal, instance)
            return
        self.waiting.append(instance)
        self.start(now)

    def on_refusal(self, instance, now):
        self.windows[instance].record_refusal(self.in_flight[instance], now)
        self.in_flight[instance] -= 1
        self.at(now + RETRY_S * self.rng.random(), self.send, instance)

    def start(self, now):
        while self.waiting and self.running < SLOTS:
            self.running += 1
            service_s = self.rng.expovariate(1 / SERVICE_S)
            self.at(now + service_s, self.end, self.waiting.pop(0))

    def end(self, instance, now):
        self.running -= 1
        self.start(now)
        self.at(now + ONE_WAY_S, self.on_answer, instance)

    def on_answer(self, instance, now):
        self.served_counts[instance] += 1
        self.windows[instance].record_success(self.in_flight[instance])
        self.in_flight[instance] -= 1
        self.send(instance, now)


class TestOverload:
    def test_few_are_refused_and_the_server_stays_busy(self):
        unlimited = Simulation(has_windows=False).run()
        windowed = Simulation(has_windows=True).run()
        capacity = SLOTS / SERVICE_S * DURATION_S
        assert windowed.refused_count < 0.2 * unlimited.refused_count
        assert sum(windowed.served_counts) > 0.9 * capacity

    def test_every_instance_gets_its_share(self):
        counts = Simulation(has_windows=True).run().served_counts
        assert min(counts) > 0.5 * sum(counts) / INSTANCES


class TestWindow:
    def test_is_open_until_a_refusal(self):
        assert ConcurrencyWindow().has_room(1000)

    def test_always_allows_one_statement(self):
        window = ConcurrencyWindow()
        for second in range(50):
            window.record_refusal(3, float(second))
        assert window.has_room(0)
        assert not window.has_room(1)

    def test_refusals_of_one_overload_keep_what_the_server_accepted(self):
        window = ConcurrencyWindow()
        for in_flight in (10, 9, 8, 7):
            window.record_refusal(in_flight, 1.0)
        assert window.has_room(5)
        assert not window.has_room(6)

    def test_grows_only_while_it_is_full(self):
        window = ConcurrencyWindow()
        window.record_refusal(4, 0.0)
        for _ in range(100):
            window.record_success(1)
        assert not window.has_room(2)
        for _ in range(10):
            window.record_success(2)
        assert window.has_room(2)
