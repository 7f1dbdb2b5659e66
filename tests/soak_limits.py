"""Randomized soak test: customers' limits while a fleet is cut, with real processes.

``python -m tests.soak_limits --seeds 50`` runs fifty seeds and prints the violations of
rule QUOTA. Six instances run as processes; links between them are cut while a customer
sends many times its rate in open loop, and its callers return elsewhere once refused.
The servers count the requests that were sent and arrived within any window of 5 s.
"""

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
import time
from bisect import bisect_left, insort
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path

from mangoramp.standins._ports import HOST

from .soak_configuration import (
    LinkedProcess,
    cut_links,
    slow_down,
)
from .soak_instance import play_seeds, report_run, seed_parser
from .wire_world import GROUP, World, configuration

INSTANCES = 6
ZONES = ("zone-a", "zone-a", "zone-a", "zone-b", "zone-c", "zone-c")
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
STATEMENT_S = 0.01
ATTEMPTS = 3  # of an operation that is refused, each at another instance
HOT_FACTOR = 7.5
CUT_S = 12.0
HOT_AFTER_S = 6.0  # from the cut on
HOT_S = 6.5
ANSWER_TIMEOUT_S = 3.0
LIMITS = f"""
quota_window_s = {WINDOW_S:g}
quota_overage = {OVERAGE}
quota_slack = {SLACK}
"""


@dataclass(frozen=True)
class Limit:
    """A customer's limit and what its callers usually send.

    Attributes:
        rate: Operations per second that it may run.
        usual: Operations per second that its callers send.
    """

    name: str
    rate: float
    usual: float

    @property
    def allowed(self):
        """The requests that may be sent and arrive within a window."""
        return (self.rate * WINDOW_S + self.rate) * (1 + OVERAGE) + SLACK


CUSTOMERS = (Limit("alpha", 103.0, 64.0), Limit("beta", 40.0, 25.0))


class TimedRuns(list):
    """The runs of a group, with the time of each."""

    def __init__(self):
        super().__init__()
        self.times = []

    def append(self, run):
        super().append(run)
        self.times.append(time.monotonic())


class LimitedProcess(LinkedProcess):
    """An instance whose settings have the tolerances of a limit."""

    BOUNDS = LIMITS


class Session:
    """A session of a caller."""

    def __init__(self, process, reader, writer):
        self.life = process.life
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, process, database, key):
        reader, writer = await asyncio.open_connection(HOST, process.ports[0])
        writer.write(f"START {database} {key}\r\n".encode())
        if not (await reader.readline()).startswith(b"READY"):
            writer.transport.abort()
            raise ConnectionError("the session was refused")
        return cls(process, reader, writer)

    async def ask(self, request_id, text):
        """Send a statement; return the first line of its answer."""
        self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
        lines = [await self._reader.readline()]
        while not lines[-1].startswith(b"READY"):
            if not lines[-1]:
                raise ConnectionError("the session ended")
            lines.append(await self._reader.readline())
        return lines[0].decode()

    def close(self):
        self._writer.transport.abort()


class LimitSoak(World):
    """A run with one seed.

    Args:
        seed: The seed.
        folder: The folder for settings and logs.
        instances: The number of instances.
        story: The name of the disturbances, empty for some by the seed.
    """

    def __init__(self, seed, folder, instances=INSTANCES, story=""):
        super().__init__(instances=0, seed=seed)
        self.rng = random.Random(seed)
        self.group.runs = TimedRuns()
        self.answers = Counter()
        self.sent_at = {}
        self.processes = []
        self.most = {}
        self._folder = Path(folder)
        self._instances = instances
        self.story = story or self.rng.choice(sorted(STORIES))
        self._rates = {limit.name: limit.usual for limit in CUSTOMERS}
        self._idle = defaultdict(list)
        self._tasks = set()
        self._is_over = False
        self._count = 0

    async def __aenter__(self):
        await super().__aenter__()
        self.put("config", "main", self._configuration())
        for server in self.group.servers.values():
            server.faults.statement_s = STATEMENT_S
        for number in range(self._instances):
            process = LimitedProcess(
                self._folder, f"i{number}", self.platform, self._promotion_port, None
            )
            process.zone = ZONES[number % len(ZONES)]
            self.processes.append(process)
        for process in self.processes:
            await process.connect(self.processes)
        for process in self.processes:
            process.start()
        async with asyncio.timeout(30.0):
            for process in self.processes:
                while not await self._is_open(process):
                    await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *exc):
        self._is_over = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sessions in self._idle.values():
            for session in sessions:
                session.close()
        for process in self.processes:
            process.close()
        await super().__aexit__(*exc)

    def _configuration(self):
        tenants = [
            {
                "name": limit.name,
                "api_keys": [f"k-{limit.name}"],
                "rate_per_s": limit.rate,
                "burst": limit.rate,
            }
            for limit in CUSTOMERS
        ]
        services = [{"name": GROUP, "max_connections": 48}]
        return configuration(2, tenants=tenants, services=services)

    async def _is_open(self, process):
        with contextlib.suppress(OSError):
            (await Session.open(process, "orders", "k-alpha")).close()
            return True
        return False

    async def play(self, lead_s=6.0):
        """Play the seed's story; return the violations."""
        for limit in CUSTOMERS:
            self._spawn(self._send(limit))
        await asyncio.sleep(lead_s)
        await STORIES[self.story](self)
        await asyncio.sleep(WINDOW_S)
        self._is_over = True
        return self.find_violations()

    def _spawn(self, coro):
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def heat(self, customer, factor, seconds):
        """Have a customer's callers send many times as much for a while."""
        usual = self._rates[customer]
        self._rates[customer] = usual * factor
        await asyncio.sleep(seconds)
        self._rates[customer] = usual

    async def _send(self, limit):
        """Send operations in open loop."""
        due = time.monotonic()
        while not self._is_over:
            due += self.rng.expovariate(self._rates[limit.name])
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._spawn(self._run_operation(limit.name))

    async def _run_operation(self, customer):
        tried = []
        for _ in range(ATTEMPTS):
            others = [p for p in self.processes if p not in tried and p.is_running]
            if not others or self._is_over:
                return
            process = self.rng.choice(others)
            tried.append(process)
            with contextlib.suppress(OSError, ConnectionError, TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    if await self._attempt(customer, process):
                        return

    async def _attempt(self, customer, process):
        """Return whether an attempt at an instance ended the operation."""
        database = self.rng.choice(("orders", "search", "notes"))
        idle = self._idle[customer, process, database]
        session = None
        while idle and session is None:
            session = idle.pop()
            if session.life != process.life:
                session.close()
                session = None
        if session is None:
            session = await Session.open(process, database, f"k-{customer}")
        self._count += 1
        request_id = f"{customer}-{self._count}"
        is_write = database == "orders" and self.rng.random() < 0.35
        self.sent_at[request_id] = time.monotonic()
        try:
            answer = await session.ask(
                request_id, f"WRITE a {self._count}" if is_write else "READ a"
            )
        except BaseException:
            session.close()
            raise
        idle.append(session)
        words = answer.split()
        self.answers[words[1] if words[0] == "ERR" else "served"] += 1
        return words[0] != "ERR"

    def find_violations(self):
        """Return the customers that ran more than they may within a window."""
        found = []
        for limit in CUSTOMERS:
            runs = sorted(
                (self.sent_at[run.request_id], arrived)
                for run, arrived in zip(
                    self.group.runs, self.group.runs.times, strict=True
                )
                if run.request_id.startswith(f"{limit.name}-")
            )
            most, at = most_in_window(runs, WINDOW_S)
            self.most[limit.name] = (most, limit.allowed)
            if most > limit.allowed:
                found.append(
                    f"QUOTA: {most} requests of {limit.name} in {WINDOW_S:g} s from"
                    f" {at - runs[0][0]:.2f} s on, {limit.allowed:.0f} allowed"
                )
        return found


def most_in_window(runs, window_s):
    """Return the most requests that were sent and arrived in a window, and its start.

    Args:
        runs: When each request was sent and when it arrived, in order of sending.
        window_s: The window's length in seconds.
    """
    most, most_at = 0, 0.0
    arrivals = []
    for sent, arrived in reversed(runs):
        insort(arrivals, arrived)
        count = bisect_left(arrivals, sent + window_s)
        if count > most:
            most, most_at = count, sent
    return most, most_at


async def cut_one(soak):
    """Cut one instance off from the others, and heat a customer meanwhile."""
    await _cut(soak, [soak.rng.choice(soak.processes)], CUT_S)


async def cut_one_way(soak):
    """Lose what one instance sends to the others, or what they send to it."""
    direction = soak.rng.choice(("out", "in"))
    await _cut(soak, [soak.rng.choice(soak.processes)], CUT_S, (direction,))


async def cut_datagrams(soak):
    """Lose an instance's datagrams, though its connections work."""
    target = [soak.rng.choice(soak.processes)]
    await _cut(soak, target, CUT_S, datagrams_only=True)


async def cut_within_a_cut(soak):
    """Cut two instances off one after the other; the first returns while one is out."""
    first, second = soak.rng.sample(soak.processes, 2)
    inner = asyncio.ensure_future(_delayed_cut(soak, second, 4.0, 10.0))
    await _cut(soak, [first], CUT_S)
    await inner


async def cut_and_slow(soak):
    """Cut an instance off while another runs a tenth of the time only."""
    target, slow = soak.rng.sample(soak.processes, 2)
    until = time.monotonic() + CUT_S + 2.0
    slowed = asyncio.ensure_future(slow_down([slow], until))
    await _cut(soak, [target], CUT_S)
    await slowed


async def cut_and_pause(soak):
    """Pause instances within a cut, one of them that is cut off."""
    target, other = soak.rng.sample(soak.processes, 2)
    pauses = asyncio.ensure_future(_pause_in_turn(soak, (target, other)))
    await _cut(soak, [target], CUT_S)
    await pauses


async def cut_and_restart(soak):
    """Restart an instance that is cut off, and another one."""
    target, other = soak.rng.sample(soak.processes, 2)
    restarts = asyncio.ensure_future(_restart_in_turn(soak, (target, other)))
    await _cut(soak, [target], CUT_S)
    await restarts


async def stall_in_series(soak):
    """Stop most or all processes for moments, as on a machine that is too busy."""
    heat = asyncio.ensure_future(soak.heat("alpha", HOT_FACTOR, HOT_S + CUT_S))
    await _stall(soak, HOT_S + CUT_S)
    await heat


async def cut_and_stall(soak):
    """Cut an instance off from the others, with short stalls before and after."""
    stalls = asyncio.ensure_future(_stall(soak, CUT_S + HOT_S))
    await _cut(soak, [soak.rng.choice(soak.processes)], CUT_S)
    await stalls


async def _stall(soak, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        await asyncio.sleep(soak.rng.uniform(0.3, 2.5))
        count = len(soak.processes)
        some = soak.rng.sample(
            soak.processes, soak.rng.choice((count // 2, count - 1, count, count))
        )
        for process in some:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(soak.rng.uniform(0.15, 0.6))
        for process in some:
            process.send_signal(signal.SIGCONT)


async def _cut(
    soak, targets, seconds, directions=("out", "in"), *, datagrams_only=False
):
    others = [p for p in soak.processes if p not in targets]
    pairs = []
    for target in targets:
        pairs += [(target, other) for other in others if "out" in directions]
        pairs += [(other, target) for other in others if "in" in directions]
    heat = asyncio.ensure_future(_heat_later(soak))
    await cut_links(pairs, seconds, datagrams_only=datagrams_only)
    await heat


async def _heat_later(soak):
    await asyncio.sleep(HOT_AFTER_S)
    await soak.heat("alpha", HOT_FACTOR, HOT_S)


async def _delayed_cut(soak, target, delay_s, seconds):
    await asyncio.sleep(delay_s)
    others = [p for p in soak.processes if p is not target]
    pairs = [(target, o) for o in others] + [(o, target) for o in others]
    await cut_links(pairs, seconds)


async def _pause_in_turn(soak, processes):
    await asyncio.sleep(HOT_AFTER_S - 1.0)
    for process in processes:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
        process.send_signal(signal.SIGCONT)


async def _restart_in_turn(soak, processes):
    await asyncio.sleep(soak.rng.uniform(0.0, HOT_AFTER_S))
    for process in processes:
        process.kill()
        await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
        process.start()


STORIES = {
    story.__name__: story
    for story in (
        cut_one,
        cut_one_way,
        cut_datagrams,
        cut_within_a_cut,
        cut_and_slow,
        cut_and_pause,
        cut_and_restart,
        cut_and_stall,
        stall_in_series,
    )
}


async def soak_limits_once(seed, folder, **options):
    """Run one seed; return the run and its violations."""
    async with LimitSoak(seed, folder, **options) as soak:
        return soak, await soak.play()


def play_limits(seed, keep=None, **options):
    """Run one seed and print what was found; return whether no rule was broken."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak, found = asyncio.run(soak_limits_once(seed, folder, **options))
        most = ", ".join(f"{n} {m} of {a:.0f}" for n, (m, a) in soak.most.items())
        served = dict(soak.answers)
        text = f"seed {seed}, limits, {soak.story}: most {most}; {served}"
        return report_run(folder, keep, f"{seed}-limits", text, found)


def main():
    parser = seed_parser("python -m tests.soak_limits")
    parser.add_argument("--instances", type=int, default=INSTANCES)
    parser.add_argument("--story", choices=sorted(STORIES), default="")
    args = parser.parse_args()
    return play_seeds(
        args,
        lambda seed: play_limits(
            seed, args.keep, instances=args.instances, story=args.story
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
