import heapq
import itertools
import random

from mangoramp.policy.window import Window

SLOTS = 5
QUEUE = 24
WORK_S = 0.024
INSTANCES = 15
CONNECTIONS = 16
RETRY_S = 0.02
WAY_S = 0.0005  # from an instance to the server
SECONDS = 5.0


class Crowd:
    """Instances that always have more to send than a server runs."""

    def __init__(self, *, limits):
        self.rng = random.Random(1)
        self.limits = limits
        self.windows = [Window() for _ in range(INSTANCES)]
        self.under_way = [0] * INSTANCES
        self.waiting = []
        self.running = 0
        self.served = [0] * INSTANCES
        self.refused = 0
        self.order = itertools.count()
        self.events = []

    def play(self):
        for instance in range(INSTANCES):
            self.at(self.rng.random() * RETRY_S, self.send, instance)
        while self.events[0][0] < SECONDS:
            now, _, act, instance = heapq.heappop(self.events)
            act(instance, now)
        return self

    def at(self, when, act, instance):
        heapq.heappush(self.events, (when, next(self.order), act, instance))

    def may_send(self, instance):
        count = self.under_way[instance]
        if count >= CONNECTIONS:
            return False
        return not self.limits or self.windows[instance].has_room(count)

    def send(self, instance, now):
        while self.may_send(instance):
            self.under_way[instance] += 1
            self.at(now + WAY_S, self.arrive, instance)

    def arrive(self, instance, now):
        if self.running + len(self.waiting) >= SLOTS + QUEUE:
            self.refused += 1
            self.at(now + WAY_S, self.hear_refusal, instance)
            return
        self.waiting.append(instance)
        self.start(now)

    def hear_refusal(self, instance, now):
        self.windows[instance].refused(self.under_way[instance], now)
        self.under_way[instance] -= 1
        self.at(now + RETRY_S * self.rng.random(), self.send, instance)

    def start(self, now):
        while self.waiting and self.running < SLOTS:
            self.running += 1
            work_s = self.rng.expovariate(1 / WORK_S)
            self.at(now + work_s, self.end, self.waiting.pop(0))

    def end(self, instance, now):
        self.running -= 1
        self.start(now)
        self.at(now + WAY_S, self.hear_answer, instance)

    def hear_answer(self, instance, now):
        self.served[instance] += 1
        self.windows[instance].served(self.under_way[instance])
        self.under_way[instance] -= 1
        self.send(instance, now)


class TestCrowd:
    def test_few_are_refused_and_the_server_stays_busy(self):
        unlimited = Crowd(limits=False).play()
        limited = Crowd(limits=True).play()
        could_serve = SLOTS / WORK_S * SECONDS
        assert limited.refused < 0.2 * unlimited.refused
        assert sum(limited.served) > 0.9 * could_serve

    def test_every_instance_gets_its_share(self):
        served = Crowd(limits=True).play().served
        assert min(served) > 0.5 * sum(served) / INSTANCES


class TestWindow:
    def test_is_open_until_a_refusal(self):
        assert Window().has_room(1000)

    def test_never_closes(self):
        window = Window()
        for second in range(50):
            window.refused(3, float(second))
        assert window.has_room(0)
        assert not window.has_room(1)

    def test_one_crowd_leaves_what_the_server_has_kept(self):
        window = Window()
        for under_way in (10, 9, 8, 7):
            window.refused(under_way, 1.0)
        assert window.has_room(5)
        assert not window.has_room(6)

    def test_grows_only_while_it_is_full(self):
        window = Window()
        window.refused(4, 0.0)
        for _ in range(100):
            window.served(1)
        assert not window.has_room(2)
        for _ in range(10):
            window.served(2)
        assert window.has_room(2)
