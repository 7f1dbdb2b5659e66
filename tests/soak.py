"""Randomized soak test: instances run as processes while faults are injected.

``python -m tests.soak --seeds 50 --seconds 12`` runs fifty seeds and prints the
violations of each. Every seed also plays restarts in series (``soak_restarts``) and
changes of the configuration among many instances (``soak_configuration``), half of them
with the former build beside this one. Callers send requests during all faults;
their answers are checked against the statements that the servers executed.
"""

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

from tornado.tcpclient import TCPClient

from mangoramp.standins._ports import HOST

from .former_build import unpack_former_build
from .relay import Relay
from .soak_answers import AnswerChecker
from .soak_cold import COLD_S, NOTICE_S, SERVICE, SETTLE_S, ColdSpell, Disturbances
from .soak_configuration import play_configuration
from .soak_faults import FAULTS, ZONES
from .soak_instance import InstanceProcess, keep_logs, seed_parser
from .soak_restarts import play_restarts
from .wire_world import GROUP, SERVERS, Caller, World, configuration

INSTANCES = 3
CALLERS = 9
MAX_STALE_S = 1.5
ANSWER_TIMEOUT_S = 6.0  # longer than any statement timeout
FEW_CONNECTIONS = 6  # too few to be split among three instances
EVACUATION_S = 2.0  # from an evacuation until the servers get no more requests
RECOVERY_S = 4.0  # from the last fault until callers must be served again
CONTRACTS = '"health", "pressure"'  # in the settings of half of the seeds


class Soak(World):
    """A soak run with one seed."""

    def __init__(self, seed, folder):
        super().__init__(instances=0, seed=seed)
        self.rng = random.Random(seed)
        self.folder = Path(folder)
        self.processes = []
        self.faults = []
        self.checker = AnswerChecker(self.group)
        self.relays = {}
        self.store_relay = Relay(lambda: self._store_port)
        self.evacuated = set()
        self.paused = []
        self.cold_spells = []
        self.disturbances = Disturbances(self)
        self._former_build = None
        self._clock = 0
        self._version = 0
        self._is_over = False

    async def __aenter__(self):
        await super().__aenter__()
        self.configure()
        if self.is_upgrade:
            self._former_build = unpack_former_build(self.folder / "former")
        await self.store_relay.start()
        for server_id in SERVERS:
            server = self.group.servers[server_id]
            relay = Relay(lambda server=server: server.listening_port)
            await relay.start()
            self.relays[server_id] = relay
            self.list_server(server_id)
        for number in range(INSTANCES):
            process = InstanceProcess(
                self.folder,
                f"i{number}",
                self.store_relay.port,
                self._promotion_port,
                CONTRACTS if self._seed % 4 >= 2 else "",
                self._former_build,
            )
            self.processes.append(process)
            process.start()
        return self

    async def __aexit__(self, *exc):
        for process in self.processes:
            process.kill()
        for relay in (self.store_relay, *self.relays.values()):
            relay.close()
        await super().__aexit__(*exc)

    @property
    def is_upgrade(self):
        """Whether the run begins with the former build, which is replaced in turn."""
        return self._seed % 3 == 0

    async def upgrade(self, seconds):
        """Replace the former build on one process after the other."""
        for process in self.rng.sample(self.processes, len(self.processes)):
            await asyncio.sleep(seconds / (len(self.processes) + 1))
            process.build = None
            if self.rng.random() < 0.5:
                process.kill()
            else:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
                await process.wait_ended()
            if not process.is_running:
                process.start()

    def configure(self):
        """Publish the next configuration; odd seeds get few connections and homes."""
        self._version += 1
        few = {"max_connections": FEW_CONNECTIONS} if self._seed % 2 else {}
        services = [{"name": GROUP} | SERVICE | few]
        self.put("config", "main", configuration(self._version, services=services))

    def list_server(self, server_id, **changes):
        relay = self.relays.get(server_id)
        if relay is not None:
            changes = {"address": f"{HOST}:{relay.port}"} | changes
        changes = {"zone": ZONES[server_id]} | changes
        super().list_server(server_id, **changes)

    def set_evacuated(self, zone, is_evacuated):
        if is_evacuated:
            self.evacuated.add(zone)
        else:
            self.evacuated.discard(zone)
        self.put("evacuations", zone, {} if is_evacuated else None)

    async def restart_cold(self, server, down_s, notice_s=NOTICE_S):
        """Crash a server and restart it cold; return when it is cold no more."""
        if server.cold_left_ms:
            return
        server.crash()
        await asyncio.sleep(down_s)
        server.begin_cold_start(COLD_S)
        self.list_server(server.id)
        self.cold_spells.append(
            ColdSpell(server, time.monotonic(), server.cold_until, notice_s)
        )
        server.restart()
        await asyncio.sleep(COLD_S)
        self.list_server(server.id)

    async def play(self, seconds):
        tasks = [asyncio.ensure_future(self._run_caller(n)) for n in range(CALLERS)]
        tasks.append(asyncio.ensure_future(self.disturbances.run()))
        try:
            await asyncio.sleep(1.5)
            await self._inject_faults(seconds)
            self._clear_faults()
            await asyncio.sleep(RECOVERY_S)
            for server_id in (self.group.primary, self._pick_replica()):
                await self.restart_cold(self.group.servers[server_id], 0.5, 0.0)
                await asyncio.sleep(SETTLE_S)
            recovered_at = await self._evacuate_primary()
        finally:
            self._is_over = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.checker.check_writes()
        self.checker.check_runs()
        for spell in self.cold_spells:
            self.checker.violations += self.disturbances.check(spell)
        if self.checker.last_served_at < recovered_at:
            self.checker.violations.append("no caller was served after the last fault")
        return self.checker.violations

    async def _inject_faults(self, seconds):
        deadline = time.monotonic() + seconds
        running = set()
        upgrade = None
        if self.is_upgrade:
            upgrade = asyncio.ensure_future(self.upgrade(seconds))
        while time.monotonic() < deadline:
            fault = self.rng.choice(FAULTS)
            self.faults.append(fault.__name__)
            running.add(asyncio.ensure_future(fault(self)))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        if upgrade is not None:
            await upgrade
        ended, unfinished = await asyncio.wait(running, timeout=ANSWER_TIMEOUT_S)
        # A fault that is still active would restart its process after the run.
        for fault in unfinished:
            fault.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        for fault in ended:
            fault.result()  # an error of the test itself must not pass unseen

    def _pick_replica(self):
        return self.rng.choice([i for i in SERVERS if i != self.group.primary])

    async def _evacuate_primary(self):
        """Check an evacuation without other faults; return when its bound was over."""
        server = self.group.servers[self.group.primary]
        self.set_evacuated(ZONES[server.id], True)
        await asyncio.sleep(EVACUATION_S)
        bound_at = time.monotonic()
        await asyncio.sleep(1.0)
        if server.last_request_at > bound_at:
            self.checker.violations.append(f"{server.id} got requests though evacuated")
        return bound_at

    def _clear_faults(self):
        for relay in (self.store_relay, *self.relays.values()):
            relay.clear_faults()
            relay.reset_connections()
        self.platform.faults.down = False
        for zone in ZONES.values():
            self.set_evacuated(zone, False)
        for server in self.group.servers.values():
            server.restart()
            server.is_replication_paused = False
            server.applied = len(self.group.log)
            server.faults.is_unresponsive = False
            server.faults.statement_s = 0.0
            server.faults.failed_part = 0.0
            server.faults.resets_statements = False
        self.paused.clear()
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            assert process.build is None  # an upgrade that did not end proves nothing
            if not process.is_running:
                process.start()

    async def _run_caller(self, number):
        who = f"c{number}"
        rng = random.Random(f"{self._seed}-{who}")
        count = 0
        # wait_for may swallow a cancellation, so the flag also ends the loop.
        while not self._is_over:
            process = rng.choice(self.processes)
            with contextlib.suppress(Exception):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    caller = await self._open_session(process, rng)
                for _ in range(rng.randint(1, 20)):
                    count += 1
                    await self._run_operation(caller, f"{who}-{count}", rng)
                    await asyncio.sleep(rng.uniform(0, 0.05))
            await asyncio.sleep(0.05)

    async def _open_session(self, process, rng):
        client_port = process.ports[0]
        database = rng.choice(("orders", "search", "notes"))
        stream = await TCPClient().connect(HOST, client_port)
        caller = Caller(stream)
        caller.database = database
        await stream.write(f"START {database} k-alpha\r\n".encode())
        assert (await caller.read_line()).startswith("READY")
        return caller

    async def _run_operation(self, caller, name, rng):
        who = name.split("-")[0]
        kind = rng.choice(("write", "write", "read", "read", "transaction", "prepared"))
        if rng.random() < 0.2:
            await caller.ask(f"SET who {who}", f"{name}-s")
        if kind == "read":
            await self._read(caller, f"{name}-r")
        elif kind == "transaction":
            await self._run_transaction(caller, name, rng)
        elif kind == "prepared":
            await caller.ask(f"PREPARE p WRITE shape-{who}", f"{name}-p")
            await self._write(caller, f"EXEC p {name} 1", name)
        elif caller.database == "orders" and rng.random() < 0.5:
            self._clock += 1
            value = self._clock
            answer = await caller.ask(f"WRITE clock {value}", f"{name}-w")
            if answer[0].startswith("DONE"):
                self.checker.acknowledged_ticks.append((time.monotonic(), str(value)))
        else:
            await self._write(caller, f"WRITE {name} 1", name)

    async def _write(self, caller, text, name):
        self.checker.answers[name] = "asked"
        answer = await asyncio.wait_for(caller.ask(text, f"{name}-w"), ANSWER_TIMEOUT_S)
        self._record_answer(name, answer)

    async def _run_transaction(self, caller, name, rng):
        if not (await caller.ask("BEGIN", f"{name}-b"))[0].startswith("DONE"):
            return
        self.checker.answers[name] = "asked"
        wrote = await caller.ask(f"WRITE {name} 1", f"{name}-w")
        await asyncio.sleep(rng.uniform(0, 0.1))
        if not wrote[0].startswith("DONE"):
            self._record_answer(name, wrote)
            await caller.ask("ROLLBACK", f"{name}-x")
            return
        if rng.random() < 0.2:
            await caller.ask("ROLLBACK", f"{name}-x")
            self.checker.answers[name] = "ABORTED"
            return
        self._record_answer(name, await caller.ask("COMMIT", f"{name}-c"))

    async def _read(self, caller, request_id):
        stale_s = {"orders": 0.0, "search": MAX_STALE_S}.get(caller.database)
        started, term = time.monotonic(), self.group.term
        answer = await caller.ask("READ clock", request_id)
        if not answer[0].startswith("ROW"):
            return
        self.checker.served_reads += 1
        self.checker.last_served_at = time.monotonic()
        shown = answer[0][4:]
        if stale_s is None or term != self.group.term:
            return
        if self.checker.is_stale(shown, started - stale_s):
            self.checker.violations.append(
                f"{request_id} at {caller.database} showed a stale {shown}"
            )

    def _record_answer(self, name, answer):
        fields = answer[0].split(" ")
        self.checker.answers[name] = "DONE" if fields[0] == "DONE" else fields[1]
        if fields[0] == "DONE":
            self.checker.last_served_at = time.monotonic()

    def cold_report(self):
        """Return how many cold starts were checked, and the most requests in a second.

        The run ends with two of them, without other faults.
        """
        checked = [s for s in self.cold_spells if self.disturbances.checked(s)]
        most = max((self.disturbances.most_in_a_second(s) for s in checked), default=0)
        return f"{len(checked)} of {len(self.cold_spells)} cold starts, most {most}"

    def pick_process(self):
        return self.rng.choice(self.processes)

    def pick_server(self):
        return self.group.servers[self.rng.choice(SERVERS)]

    def pick_relay(self):
        return self.rng.choice((self.store_relay, *self.relays.values()))


async def soak_once(seed, seconds, folder):
    """Run one seed; return violations, number of reads, faults and cold starts."""
    async with Soak(seed, folder) as soak:
        violations = await soak.play(seconds)
        return violations, soak.checker.served_reads, soak.faults, soak.cold_report()


def main():
    args = seed_parser("python -m tests.soak", first=None).parse_args()
    first = args.first if args.first is not None else random.randrange(10**6)
    failed = 0
    for seed in range(first, first + args.seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            violations, reads, faults, cold = asyncio.run(
                soak_once(seed, args.seconds, folder)
            )
            print(
                f"seed {seed}: {reads} reads, {len(faults)} faults, {cold},"
                f" {violations or 'ok'}",
                flush=True,
            )
            if violations:
                print(f"  {' '.join(faults)}")
                keep_logs(folder, args.keep, str(seed))
        build = "mixed" if seed % 2 else "new"
        are_apart = play_restarts(seed, args.seconds, build, keep=args.keep)
        is_known = play_configuration(seed, 2 * args.seconds, args.keep, build=build)
        failed += bool(violations) or not are_apart or not is_known
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
