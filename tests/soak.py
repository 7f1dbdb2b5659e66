"""Randomized soak test: instances run as processes while faults are injected.

``python -m tests.soak --seeds 50 --seconds 12`` runs fifty seeds and prints the
violations of each. Callers send requests during all faults; their answers are checked
against the statements that the servers executed.
"""

import argparse
import asyncio
import contextlib
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tornado.tcpclient import TCPClient

from mangoramp.serving.command import CommitFor, Refusal, RunFor
from mangoramp.standins._ports import HOST, free_ports

from .relay import Relay
from .wire_world import GROUP, SERVERS, Caller, World, configuration

INSTANCES = 3
CALLERS = 9
MAX_STALE_S = 1.5
ANSWER_TIMEOUT_S = 6.0  # longer than any statement timeout
FEW_CONNECTIONS = 6  # too few to be split among three instances
EVACUATION_S = 2.0  # from an evacuation until the servers get no more requests
ZONES = {server_id: f"zone-i{n}" for n, server_id in enumerate(SERVERS)}
RECOVERY_S = 4.0  # from the last fault until callers must be served again
NOT_RUN_CODES = frozenset(
    {"BUSY", "ABORTED", "BEHIND", "READONLY", "MISDIRECT", "TOOMANY"}
)
SETTINGS = """
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
internal_ports = [{peers}, {peers}]
bootstrap = {first}
seeds = []
[listen_addresses]
front = "{host}:{callers}"
ready = "{host}:{health}"
[platform]
address = "{host}:{store}"
[cloud]
address = "{host}:{promotion}"
[bounds]
grace_s = 3
stable_window_ms = 1000
config_apply_ms = 2000
evacuate_ms = 2000
"""


class InstanceProcess:
    """An instance that runs as a separate process."""

    def __init__(self, folder, name, store, promotion):
        self.name = name
        self._folder = folder
        self.ports = free_ports(3)
        self._service_ports = (store, promotion)
        self._process = None
        self._start_count = 0

    def start(self):
        callers, health, peers = self.ports
        path = self._folder / f"{self.name}.toml"
        store, promotion = self._service_ports
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=f"zone-{self.name}",
                host=HOST,
                peers=peers,
                callers=callers,
                health=health,
                store=store,
                promotion=promotion,
                first="true" if self._start_count == 0 else "false",
            )
        )
        self._start_count += 1
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "mangoramp.serve"],
                env=os.environ | {"MANGORAMP_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number):
        if self.is_running:
            self._process.send_signal(number)

    async def wait_ended(self):
        while self.is_running:
            await asyncio.sleep(0.02)

    def kill(self):
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


class AnswerChecker:
    """Checks the answers that callers received against the servers' log and runs."""

    def __init__(self, group):
        self.group = group
        self.answers = {}
        self.violations = []
        self.acknowledged_ticks = []
        self.served_reads = 0
        self.last_served_at = 0.0

    def check_writes(self):
        counts = {}
        for commit in self.group.all_commits:
            for item, _ in commit.items:
                counts[item] = counts.get(item, 0) + 1
        for item, answer in self.answers.items():
            found = counts.get(item, 0)
            if found > 1:
                self.violations.append(f"{item} was committed {found} times")
            if answer == "DONE" and found == 0:
                self.violations.append(f"{item} was acknowledged and never committed")
            if answer in NOT_RUN_CODES and found:
                self.violations.append(f"{item} was refused as {answer} and committed")

    def check_runs(self):
        for run in self.group.runs:
            if run.customer != "alpha":
                self.violations.append(f"{run.request_id} ran for {run.customer}")
            caller = run.request_id.split("-")[0]
            values = dict(run.values).get("who", "")
            if values not in ("", caller):
                self.violations.append(f"{run.request_id} ran with values of {values}")
            if run.shape is not None and run.shape.text != f"shape-{caller}":
                self.violations.append(f"{run.request_id} ran {run.shape.text}")

    def is_stale(self, shown, before):
        """Return whether a read misses a clock write acknowledged before a given time.

        Concurrent writes of two callers are ordered by their positions in the log.
        """
        indexes = {}
        for index, commit in enumerate(self.group.log):
            indexes |= {value: index for key, value in commit.items if key == "clock"}
        acknowledged = [
            v for at, v in self.acknowledged_ticks if at <= before and v in indexes
        ]
        newest = max((indexes[v] for v in acknowledged), default=-1)
        return indexes.get(shown, -1) < newest


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
        self._clock = 0
        self._version = 0
        self._is_over = False

    async def __aenter__(self):
        await super().__aenter__()
        self.configure()
        await self.store_relay.start()
        for server_id in SERVERS:
            server = self.group.servers[server_id]
            relay = Relay(lambda server=server: server.listening_port)
            await relay.start()
            self.relays[server_id] = relay
            self.list_server(server_id)
        for number in range(INSTANCES):
            process = InstanceProcess(
                self.folder, f"i{number}", self.store_relay.port, self._promotion_port
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

    def configure(self):
        """Publish the next configuration; odd seeds get few connections and homes."""
        self._version += 1
        limited = {"services": [{"name": GROUP, "max_connections": FEW_CONNECTIONS}]}
        changes = limited if self._seed % 2 else {}
        self.put("config", "main", configuration(self._version, **changes))

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

    async def play(self, seconds):
        callers = [asyncio.ensure_future(self._run_caller(n)) for n in range(CALLERS)]
        await asyncio.sleep(1.5)
        deadline = time.monotonic() + seconds
        running = set()
        while time.monotonic() < deadline:
            fault = self.rng.choice(FAULTS)
            self.faults.append(fault.__name__)
            running.add(asyncio.ensure_future(fault(self)))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        _, unfinished = await asyncio.wait(running, timeout=ANSWER_TIMEOUT_S)
        # A fault that is still active would restart its process after the run.
        for fault in unfinished:
            fault.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        self._clear_faults()
        await asyncio.sleep(RECOVERY_S)
        recovered_at = await self._evacuate_primary()
        self._is_over = True
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        self.checker.check_writes()
        self.checker.check_runs()
        if self.checker.last_served_at < recovered_at:
            self.checker.violations.append("no caller was served after the last fault")
        return self.checker.violations

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
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
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

    def pick_process(self):
        return self.rng.choice(self.processes)

    def pick_server(self):
        return self.group.servers[self.rng.choice(SERVERS)]

    def pick_relay(self):
        return self.rng.choice((self.store_relay, *self.relays.values()))


async def kill(soak):
    process = soak.pick_process()
    process.kill()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
    process.start()


async def kill_all(soak):
    for process in soak.processes:
        process.kill()
    await asyncio.sleep(0.3)
    for process in soak.processes:
        if not process.is_running:
            process.start()


async def stop(soak):
    process = soak.pick_process()
    process.send_signal(signal.SIGTERM)
    await process.wait_ended()
    process.start()


async def send_sighup(soak):
    soak.pick_process().send_signal(signal.SIGHUP)


async def pause(soak):
    process = soak.pick_process()
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.2, 3.0))
    process.send_signal(signal.SIGCONT)


async def crash_server(soak):
    server = soak.pick_server()
    server.crash()
    await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
    server.restart()


async def stall_server(soak):
    server = soak.pick_server()
    server.faults.is_unresponsive = True
    await asyncio.sleep(soak.rng.uniform(0.2, 2.0))
    server.faults.is_unresponsive = False


async def drop_answers(soak):
    kinds = soak.rng.choices((RunFor, CommitFor), k=4)
    soak.group.servers[soak.group.primary].faults.drop_answers_to.extend(kinds)


async def refuse(soak):
    refusals = soak.rng.choices((Refusal.BUSY, Refusal.FAILED, Refusal.TIMEOUT), k=4)
    soak.pick_server().faults.refusals.extend(refusals)


async def pause_replication(soak):
    server = soak.pick_server()
    if server.is_primary:
        return
    server.is_replication_paused = True
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    server.is_replication_paused = False
    server.applied = len(soak.group.log)


async def slow_down_server(soak):
    server = soak.pick_server()
    server.faults.statement_s = 0.1
    await asyncio.sleep(1.5)
    server.faults.statement_s = 0.0


async def drain_primary(soak):
    leader = soak.group.primary
    soak.list_server(leader, state="draining")
    await asyncio.sleep(2.0)
    soak.list_server(leader)


async def reset_connections(soak):
    soak.pick_relay().reset_connections()


async def drop_data(soak):
    relay = soak.pick_relay()
    relay.dropped_directions = set(
        soak.rng.choice((("out",), ("back",), ("out", "back")))
    )
    await asyncio.sleep(soak.rng.uniform(0.3, 2.5))
    relay.dropped_directions = set()


async def delay(soak):
    relay = soak.pick_relay()
    relay.delay_s = soak.rng.uniform(0.01, 0.3)
    await asyncio.sleep(1.5)
    relay.delay_s = 0.0


async def stop_store(soak):
    soak.platform.faults.down = True
    soak.platform.notify_watches()
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    soak.platform.faults.down = False


async def expire_store_history(soak):
    soak.platform.faults.forget = 10**9
    soak.platform.notify_watches()
    await asyncio.sleep(0.5)
    soak.platform.faults.forget = 0


async def restore_store(soak):
    copy = soak.platform.take_copy()
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    soak.platform.faults.down = True
    soak.platform.notify_watches()
    await asyncio.sleep(soak.rng.uniform(0.0, 0.5))
    soak.platform.restore(copy)
    soak.platform.faults.down = False
    # The operators and the servers write again what they wrote before.
    await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
    soak.configure()
    for server_id in SERVERS:
        soak.list_server(server_id)
    for zone in ZONES.values():
        soak.set_evacuated(zone, zone in soak.evacuated)


async def evacuate(soak):
    zone = ZONES[soak.rng.choice(SERVERS)]
    if zone in soak.evacuated:
        return
    soak.set_evacuated(zone, True)
    await asyncio.sleep(soak.rng.uniform(0.1, 4.0))
    soak.set_evacuated(zone, False)


async def drop_store_answers(soak):
    soak.platform.faults.lose_answers += 3


async def configure(soak):
    soak.configure()


FAULTS = (
    kill,
    kill_all,
    stop,
    send_sighup,
    pause,
    crash_server,
    stall_server,
    drop_answers,
    refuse,
    pause_replication,
    slow_down_server,
    drain_primary,
    reset_connections,
    drop_data,
    delay,
    stop_store,
    expire_store_history,
    restore_store,
    drop_store_answers,
    configure,
    evacuate,
)


async def soak_once(seed, seconds, folder):
    """Run one seed; return the violations, the number of reads and the faults."""
    async with Soak(seed, folder) as soak:
        violations = await soak.play(seconds)
        return violations, soak.checker.served_reads, soak.faults


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument(
        "--keep", type=Path, help="directory for the logs of failed seeds"
    )
    args = parser.parse_args()
    first = args.first if args.first is not None else random.randrange(10**6)
    failed = 0
    for seed in range(first, first + args.seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            violations, reads, faults = asyncio.run(
                soak_once(seed, args.seconds, folder)
            )
            print(
                f"seed {seed}: {reads} reads, {len(faults)} faults,"
                f" {violations or 'ok'}"
            )
            if violations:
                failed += 1
                print(f"  {' '.join(faults)}")
                if args.keep:
                    target = args.keep / str(seed)
                    target.mkdir(parents=True, exist_ok=True)
                    for log in Path(folder).glob("*.log"):
                        (target / log.name).write_bytes(log.read_bytes())
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
