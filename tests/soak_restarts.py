"""Restarts in series: lives of an instance that are shorter than transactions.

``python -m tests.soak_restarts --seeds 50`` runs fifty seeds, ``--build COMMIT`` with
processes of another commit and ``--build mixed`` with processes of the former build
beside new ones (``mixed:COMMIT`` with those of a commit).

Transactions of several customers at two groups of servers stay open while homes are
killed, stopped and paused, and while instances and servers take the addresses of
others.
"""

import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from tornado.tcpclient import TCPClient

from mangoramp.standins._ports import HOST
from mangoramp.standins.wire_group import WireGroup

from .former_build import unpack_former_build
from .soak_attempts import Attempt, AttemptChecker
from .soak_instance import InstanceProcess, keep_logs, play_seeds, seed_parser
from .wire_world import GROUP, Caller, World, configuration

ARCHIVE = "archive"
ARCHIVE_SERVERS = ("t1", "t2", "t3")
ZONES = ("zone-a", "zone-b", "zone-c")
CUSTOMERS = ("alpha", "beta", "gamma")
DATABASES = {"orders": GROUP, "notes": GROUP, "records": ARCHIVE, "stock": ARCHIVE}
CALLERS_PER_CONNECTION = 1.5
LIFE_S = (0.5, 1.8)  # less than transactions stay open
IDLE_TIMEOUT_S = 3.0  # of transactions
ANSWER_TIMEOUT_S = 4.0  # longer than any statement timeout
READY_TIMEOUT_S = 20.0
RECOVERY_S = 10.0  # from the last fault until each instance serves again
OPEN_TIMEOUT_S = 2.0
HOME_PART = 0.8  # of the faults strike a home
MAX_PRINTED = 20  # violations of one run
# Instances, and connections that each server accepts: one home, and two.
FLEETS = ((4, 6), (6, 12))
FAILURE_EVENTS = {104: "a handler failed", 111: "ended by itself", 331: "a task failed"}


class RestartSoak(World):
    """A run with one seed.

    Args:
        seed: The seed.
        folder: The folder for settings, logs and other builds.
        build: ``new`` for this build, ``mixed`` for the former build beside it,
            ``mixed:COMMIT`` for another one beside it, or a commit.
        kinds: The names of the faults, empty for all.
    """

    def __init__(self, seed, folder, build="new", kinds=()):
        super().__init__(
            instances=0,
            seed=seed,
            other_groups=(WireGroup(ARCHIVE, ARCHIVE_SERVERS),),
        )
        self.rng = random.Random(seed)
        self.folder = Path(folder)
        self.checker = AttemptChecker(self.groups)
        self.processes = []
        self.outcomes = Counter()
        self.faults = Counter()
        self._kinds = [f for f in FAULTS if not kinds or f.__name__ in kinds]
        self._builds = [None]
        if build != "new":
            kind, _, commit = build.partition(":")
            is_mixed = kind == "mixed"
            other = unpack_former_build(
                self.folder / "other-build", commit if is_mixed else kind
            )
            self._builds = [None, other] if is_mixed else [other]
        self._is_over = False

    async def __aenter__(self):
        await super().__aenter__()
        count, self._max_connections = FLEETS[self._seed % len(FLEETS)]
        self._configure()
        for number in range(count):
            process = self._new_process(f"i{number}")
            process.zone = ZONES[number % len(ZONES)]
            self.processes.append(process)
            process.start()
        unserved = await self._find_unserved(READY_TIMEOUT_S)
        assert not unserved
        return self

    async def __aexit__(self, *exc):
        for process in self.processes:
            process.kill()
        await super().__aexit__(*exc)

    def list_server(self, server_id, **changes):
        number = list(self.group_of(server_id).servers).index(server_id)
        super().list_server(server_id, **{"zone": ZONES[number]} | changes)

    def _configure(self):
        services = [
            {"name": group.name, "max_connections": self._max_connections}
            for group in self.groups
        ]
        routes = [
            {
                "database_name": database,
                "service": group,
                "type": "read_your_writes" if database == "notes" else "primary",
                "max_staleness_ms": 2500,
                "timeout_ms": 1500,
                "priority": 1,
            }
            for database, group in DATABASES.items()
        ]
        tenants = [
            {"name": c, "api_keys": [f"k-{c}"], "rate_per_s": 1e4, "burst": 1e4}
            for c in CUSTOMERS
        ]
        limits = {"tx_idle_ms": round(1000 * IDLE_TIMEOUT_S)}
        self.put(
            "config",
            "main",
            configuration(
                2, services=services, routes=routes, tenants=tenants, limits=limits
            ),
        )

    def _new_process(self, name):
        ports = (self._store_port, self._promotion_port)
        build = self.rng.choice(self._builds)
        return InstanceProcess(self.folder, name, *ports, "", build)

    async def play(self, seconds):
        """Run callers and faults; return the violations."""
        count = round(CALLERS_PER_CONNECTION * self._max_connections)
        callers = [asyncio.ensure_future(self._run_caller(n)) for n in range(count)]
        try:
            await self._inject_faults(seconds)
        finally:
            self._is_over = True
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        unserved = await self._find_unserved(RECOVERY_S)
        return [
            *self.checker.find_violations(),
            *self._find_failures(),
            *(f"UNSERVED: {where}" for where in unserved),
        ]

    def _find_failures(self):
        """Return the failures that processes of this build have logged."""
        for path in self.folder.glob("*.log"):
            if path.name.endswith(".other-build.log"):
                continue
            for line in path.read_text(errors="replace").splitlines():
                event = _event_of(line)
                if event.get("event") in FAILURE_EVENTS:
                    what = FAILURE_EVENTS[event["event"]]
                    place = event.get("place")
                    yield f"FAILED: {path.stem}: {what}: {event['reason']} at {place}"

    async def _find_unserved(self, timeout_s):
        """Return what instances do not serve after a time; empty as soon as all do.

        Each instance is to serve a write of each customer and database.
        """
        deadline = time.monotonic() + timeout_s
        left = [(p, c, d) for p in self.processes for c in CUSTOMERS for d in DATABASES]
        while left and time.monotonic() < deadline:
            served = await asyncio.gather(*(self._is_served(*one) for one in left))
            left = [one for one, done in zip(left, served, strict=True) if not done]
            await asyncio.sleep(0.1)
        return [f"{p.name}: {c} at {d}" for p, c, d in left]

    async def _is_served(self, process, customer, database):
        name = f"probe-{time.monotonic_ns()}"
        with contextlib.suppress(Exception):
            session = await CallerSession.open(self, process, customer, database, name)
            try:
                return await session.write_once(name)
            finally:
                session.close()
        return False

    async def _inject_faults(self, seconds):
        deadline = time.monotonic() + seconds
        running = set()
        while time.monotonic() < deadline:
            fault = self.rng.choice(self._kinds)
            self.faults[fault.__name__] += 1
            running.add(asyncio.ensure_future(fault(self)))
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        for fault in running:
            await fault  # an error of the test itself must not pass unseen
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.start()

    def pick_process(self):
        """Return the process of a home, as another instance logged it, or any other."""
        homes = set()
        for process in self.processes:
            if process.log_path.exists():
                homes |= _latest_homes(process.log_path)
        found = [p for p in self.processes if p.name in homes]
        is_home = found and self.rng.random() < HOME_PART
        return self.rng.choice(found if is_home else self.processes)

    def restart(self, process):
        """Start a process that has ended, of any of the builds."""
        if not process.is_running:
            process.build = self.rng.choice(self._builds)
            process.start()

    def replace(self, process):
        """Give a process that has ended a new name; its addresses stay the same."""
        prefix, _, number = process.name.partition("x")
        process.name = f"{prefix}x{int(number or 0) + 1}"

    async def _run_caller(self, number):
        rng = random.Random(f"{self._seed}-{number}")
        count = 0
        while not self._is_over:
            count += 1
            process = rng.choice(self.processes)
            customer, database = rng.choice(CUSTOMERS), rng.choice([*DATABASES])
            name = f"c{number}-{count}"
            with contextlib.suppress(Exception):
                session = await CallerSession.open(
                    self, process, customer, database, name
                )
                try:
                    await session.use(rng)
                finally:
                    session.close()
            await asyncio.sleep(rng.uniform(0, 0.1))


class CallerSession:
    """One caller's session, whose statements and answers are recorded."""

    def __init__(self, soak, customer, database, name, caller):
        self._soak = soak
        self._customer = customer
        self._database = database
        self._name = name
        self._caller = caller
        self._values = {}
        self._shape = ""
        self._count = 0

    @classmethod
    async def open(cls, soak, process, customer, database, name):
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            stream = await TCPClient().connect(HOST, process.ports[0])
            await stream.write(f"START {database} k-{customer}\r\n".encode())
            caller = Caller(stream)
            assert (await caller.read_line()).startswith("READY")
        return cls(soak, customer, database, name, caller)

    def close(self):
        self._caller.close()

    async def use(self, rng):
        """Run a few operations, most of them transactions."""
        if rng.random() < 0.4:
            await self._caller.ask(f"SET who {self._name}")
            self._values = {"who": self._name}
        if rng.random() < 0.6:
            await self._caller.ask(f"PREPARE p WRITE shape-{self._name}")
            self._shape = f"shape-{self._name}"
        for _ in range(rng.randint(1, 4)):
            self._count += 1
            name = f"{self._name}-{self._count}"
            if rng.random() < 0.75:
                await self._transact(name, rng)
            else:
                await self.write_once(name)

    async def write_once(self, name):
        """Write outside a transaction; return whether it was acknowledged."""
        attempt = self._begin(name, in_transaction=False)
        done = await self._run(attempt, name, f"{name}.1", "write")
        if done:
            attempt.acknowledged = (f"{name}.1",)
        return done

    async def _transact(self, name, rng):
        attempt = self._begin(name, in_transaction=True)
        read_only = rng.random() < 0.2
        text = "BEGIN READ" if read_only else "BEGIN"
        begin = await self._ask(attempt, f"{name}.b", text)
        if not begin.startswith("DONE"):
            return
        items = []
        for number in range(rng.randint(1, 5)):
            kind = "read"
            if not read_only:
                kind = rng.choice(("write", "execute", "read"))
            request_id = f"{name}.{number}"
            if not await self._run(attempt, name, request_id, kind):
                await self._caller.ask("ROLLBACK", f"{name}.r")
                return
            if kind != "read":
                items.append(request_id)
            await asyncio.sleep(rng.uniform(0, 0.5 * IDLE_TIMEOUT_S))
        if rng.random() < 0.25:
            await self._caller.ask("ROLLBACK", f"{name}.r")
            return
        attempt.commit_id = f"{name}.c"
        answer = await self._ask(attempt, attempt.commit_id, "COMMIT")
        self._soak.outcomes[_outcome_of(answer)] += 1
        if answer.startswith("DONE"):
            attempt.acknowledged = tuple(items)

    def _begin(self, name, *, in_transaction):
        attempt = Attempt(
            self._customer,
            DATABASES[self._database],
            in_transaction,
            self._values,
            self._shape,
        )
        self._soak.checker.attempts[name] = attempt
        return attempt

    async def _run(self, attempt, name, request_id, kind):
        if kind == "execute" and not self._shape:
            kind = "write"
        attempt.sent[request_id] = name if kind == "read" else f"{request_id} 1"
        if kind == "execute":
            attempt.executed.add(request_id)
        text = {
            "read": f"READ {name}",
            "write": f"WRITE {request_id} 1",
            "execute": f"EXEC p {request_id} 1",
        }[kind]
        return (await self._ask(attempt, request_id, text)).startswith("DONE")

    async def _ask(self, attempt, request_id, text):
        await self._caller.send(text, request_id)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reply = await self._caller.read_reply()
        attempt.record_answer(reply[-2], request_id)
        return reply[-2]


async def kill_in_series(soak):
    """Kill one home again and again, soon after it has started."""
    process = soak.pick_process()
    for _ in range(soak.rng.randint(3, 6)):
        process.kill()
        await asyncio.sleep(soak.rng.uniform(0, 0.2))
        soak.restart(process)
        await asyncio.sleep(soak.rng.uniform(*LIFE_S))


async def kill_by_turns(soak):
    """Kill several instances, one after the other."""
    for process in soak.rng.sample(soak.processes, len(soak.processes) - 1):
        process.kill()
        await asyncio.sleep(soak.rng.uniform(0, 0.3))
        soak.restart(process)
        await asyncio.sleep(soak.rng.uniform(0, 0.6))


async def stop_in_series(soak):
    """Stop one instance again and again, which ends it within its grace period."""
    process = soak.pick_process()
    for _ in range(2):
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        await process.wait_ended()
        soak.restart(process)
        await asyncio.sleep(soak.rng.uniform(*LIFE_S))


async def pause(soak):
    """Pause an instance for longer than its peers wait for it."""
    process = soak.pick_process()
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.2, 2.5))
    process.send_signal(signal.SIGCONT)


async def replace_instance(soak):
    """Let an instance with another name take the addresses of one that was killed."""
    process = soak.pick_process()
    process.kill()
    soak.replace(process)
    await asyncio.sleep(soak.rng.uniform(0, 0.2))
    soak.restart(process)


async def swap_servers(soak):
    """Let two servers of different groups take each other's addresses."""
    one, other = (
        soak.rng.choice(list(group.servers.values())) for group in soak.groups
    )
    ports = one.listening_port, other.listening_port
    one.crash()
    other.crash()
    await asyncio.sleep(soak.rng.uniform(0, 0.3))
    one.restart(ports[1])
    other.restart(ports[0])
    await asyncio.sleep(soak.rng.uniform(0, 1.0))
    for server in (one, other):
        soak.list_server(server.id)


FAULTS = (
    kill_in_series,
    kill_in_series,
    kill_by_turns,
    stop_in_series,
    pause,
    replace_instance,
    swap_servers,
)


def _outcome_of(answer):
    word, code, *_ = answer.split(" ")
    return "DONE" if word == "DONE" else code


def _event_of(line):
    with contextlib.suppress(ValueError):
        event = json.loads(line)
        if isinstance(event, dict):
            return event
    return {}


def _latest_homes(path):
    for line in reversed(path.read_text(errors="replace").splitlines()):
        if '"homes of connections changed"' in line:
            return set(_event_of(line).get("homes") or ())
    return set()


async def soak_restarts_once(seed, seconds, folder, build="new", kinds=()):
    """Run one seed; return its violations, outcomes of commits and faults."""
    async with RestartSoak(seed, folder, build, kinds) as soak:
        violations = await soak.play(seconds)
        return violations, soak.outcomes, soak.faults


def play_restarts(seed, seconds, build="new", kinds=(), keep=None):
    """Run one seed and print what was found; return whether no rule was broken."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        violations, outcomes, faults = asyncio.run(
            soak_restarts_once(seed, seconds, folder, build, kinds)
        )
        rules = Counter(v.partition(":")[0] for v in violations)
        print(
            f"seed {seed}, restarts, {build}: commits {dict(outcomes)},"
            f" {sum(faults.values())} faults, {dict(rules) or 'ok'}",
            flush=True,
        )
        for violation in violations[:MAX_PRINTED]:
            print(f"  {violation}")
        if violations:
            keep_logs(folder, keep, f"{seed}-restarts")
    return not violations


def main():
    parser = seed_parser("python -m tests.soak_restarts")
    parser.add_argument(
        "--build", default="new", help="new, mixed, mixed:COMMIT or a commit"
    )
    parser.add_argument("--faults", nargs="+", default=(), help="only these faults")
    args = parser.parse_args()
    return play_seeds(
        args,
        lambda seed: play_restarts(
            seed, args.seconds, args.build, args.faults, args.keep
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
