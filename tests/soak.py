"""A randomized soak: real instances as processes, faults from outside them.

``python -m tests.soak --seeds 50 --seconds 12`` plays fifty days and prints each seed
with what it broke. Callers go on through all of it; what they are told is held against
what the servers ran.
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
from .wire_world import GROUP, SERVERS, Caller, World, configuration, entry

INSTANCES = 3
CALLERS = 9
MAX_STALE_S = 1.5
ANSWER_S = 6.0  # longer than any statement's time-out
FEW_CONNECTIONS = 6  # before three instances too few for a part each
QUIET_S = 4.0  # after the last fault, before callers must be served again
PROMISES = frozenset({"BUSY", "ABORTED", "BEHIND", "READONLY", "MISDIRECT", "TOOMANY"})
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
address = "{host}:{duties}"
[bounds]
grace_s = 3
stable_window_ms = 1000
config_apply_ms = 2000
"""


class Daemon:
    """One instance as a process."""

    def __init__(self, folder, name, store, duties):
        self.name = name
        self._folder = folder
        self.ports = free_ports(3)
        self._others = (store, duties)
        self._process = None
        self._starts = 0

    def start(self):
        callers, health, peers = self.ports
        path = self._folder / f"{self.name}.toml"
        store, duties = self._others
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=f"zone-{self.name}",
                host=HOST,
                peers=peers,
                callers=callers,
                health=health,
                store=store,
                duties=duties,
                first="true" if self._starts == 0 else "false",
            )
        )
        self._starts += 1
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

    def send(self, number):
        if self.is_running:
            self._process.send_signal(number)

    async def ended(self):
        while self.is_running:
            await asyncio.sleep(0.02)

    def kill(self):
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


class Promised:
    """What callers were told of each write, and what reads showed."""

    def __init__(self, group):
        self.group = group
        self.told = {}
        self.broken = []
        self.acked = []
        self.served = 0
        self.last_served = 0.0

    def check_writes(self):
        counts = {}
        for commit in self.group.all_commits:
            for item, _ in commit.items:
                counts[item] = counts.get(item, 0) + 1
        for item, answer in self.told.items():
            found = counts.get(item, 0)
            if found > 1:
                self.broken.append(f"{item} took effect {found} times")
            if answer == "DONE" and found == 0:
                self.broken.append(f"{item} was acknowledged and never committed")
            if answer in PROMISES and found:
                self.broken.append(f"{item} was refused as {answer} and committed")

    def check_runs(self):
        for run in self.group.runs:
            if run.customer != "alpha":
                self.broken.append(f"{run.request_id} ran for {run.customer}")
            wanted = run.request_id.split("-")[0]
            values = dict(run.values).get("who", "")
            if values not in ("", wanted):
                self.broken.append(f"{run.request_id} ran with values of {values}")
            if run.shape is not None and run.shape.text != f"shape-{wanted}":
                self.broken.append(f"{run.request_id} ran {run.shape.text}")

    def is_stale(self, shown, moment):
        """Whether a read lacks a write of the clock acknowledged before a moment.

        Writes of two callers may cross, so the log says which one came later.
        """
        places = {}
        for place, commit in enumerate(self.group.log):
            places |= {value: place for key, value in commit.items if key == "clock"}
        known = [v for at, v in self.acked if at <= moment and v in places]
        wanted = max((places[v] for v in known), default=-1)
        return places.get(shown, -1) < wanted


class Soak(World):
    """One day of it."""

    def __init__(self, seed, folder):
        super().__init__(instances=0, seed=seed)
        self.rng = random.Random(seed)
        self.folder = Path(folder)
        self.daemons = []
        self.faults = []
        self.promised = Promised(self.group)
        self.relays = {}
        self.store_relay = Relay(lambda: self._store_port)
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
            daemon = Daemon(
                self.folder, f"i{number}", self.store_relay.port, self._duty_port
            )
            self.daemons.append(daemon)
            daemon.start()
        return self

    async def __aexit__(self, *exc):
        for daemon in self.daemons:
            daemon.kill()
        for relay in (self.store_relay, *self.relays.values()):
            relay.close()
        await super().__aexit__(*exc)

    def configure(self):
        """Write the next configuration; with an odd seed customers have homes."""
        self._version += 1
        few = {"services": [{"name": GROUP, "max_connections": FEW_CONNECTIONS}]}
        changes = few if self._seed % 2 else {}
        self.put("config", "main", configuration(self._version, **changes))

    def list_server(self, server_id, **changes):
        relay = self.relays.get(server_id)
        if relay is not None:
            changes = {"address": f"{HOST}:{relay.port}"} | changes
        self.put("servers", server_id, entry(self.group, server_id, **changes))

    async def play(self, seconds):
        callers = [asyncio.ensure_future(self._call(n)) for n in range(CALLERS)]
        await asyncio.sleep(1.5)
        until = time.monotonic() + seconds
        running = set()
        while time.monotonic() < until:
            fault = self.rng.choice(FAULTS)
            self.faults.append(fault.__name__)
            running.add(asyncio.ensure_future(fault(self)))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        _, late = await asyncio.wait(running, timeout=ANSWER_S)
        # A fault that is still under way would start its process again after the end.
        for fault in late:
            fault.cancel()
        await asyncio.gather(*late, return_exceptions=True)
        self._heal()
        await asyncio.sleep(QUIET_S)
        healed = time.monotonic()
        await asyncio.sleep(1.0)
        self._is_over = True
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        self.promised.check_writes()
        self.promised.check_runs()
        if self.promised.last_served < healed:
            self.promised.broken.append("nobody was served after the last fault")
        return self.promised.broken

    def _heal(self):
        for relay in (self.store_relay, *self.relays.values()):
            relay.heal()
            relay.reset()
        self.platform.faults.down = False
        for server in self.group.servers.values():
            server.restart()
            server.is_deaf = False
            server.applied = len(self.group.log)
            server.faults.mute = False
            server.faults.work_s = 0.0
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            if not daemon.is_running:
                daemon.start()

    async def _call(self, number):
        who = f"c{number}"
        rng = random.Random(f"{self._seed}-{who}")
        count = 0
        # A cancellation may be lost in wait_for, so the flag ends it too.
        while not self._is_over:
            daemon = rng.choice(self.daemons)
            with contextlib.suppress(Exception):
                async with asyncio.timeout(ANSWER_S):
                    caller = await self._open(daemon, rng)
                for _ in range(rng.randint(1, 20)):
                    count += 1
                    await self._operate(caller, f"{who}-{count}", rng)
                    await asyncio.sleep(rng.uniform(0, 0.05))
            await asyncio.sleep(0.05)

    async def _open(self, daemon, rng):
        reader_port = daemon.ports[0]
        database = rng.choice(("orders", "search", "notes"))
        stream = await TCPClient().connect(HOST, reader_port)
        caller = Caller(stream)
        caller.database = database
        await stream.write(f"START {database} k-alpha\r\n".encode())
        assert (await caller.line()).startswith("READY")
        return caller

    async def _operate(self, caller, name, rng):
        who = name.split("-")[0]
        kind = rng.choice(("write", "write", "read", "read", "transaction", "prepared"))
        if rng.random() < 0.2:
            await caller.ask(f"SET who {who}", f"{name}-s")
        if kind == "read":
            await self._read(caller, f"{name}-r")
        elif kind == "transaction":
            await self._transact(caller, name, rng)
        elif kind == "prepared":
            await caller.ask(f"PREPARE p WRITE shape-{who}", f"{name}-p")
            await self._write(caller, f"EXEC p {name} 1", name)
        elif caller.database == "orders" and rng.random() < 0.5:
            self._clock += 1
            value = self._clock
            answer = await caller.ask(f"WRITE clock {value}", f"{name}-w")
            if answer[0].startswith("DONE"):
                self.promised.acked.append((time.monotonic(), str(value)))
        else:
            await self._write(caller, f"WRITE {name} 1", name)

    async def _write(self, caller, text, name):
        self.promised.told[name] = "asked"
        answer = await asyncio.wait_for(caller.ask(text, f"{name}-w"), ANSWER_S)
        self._tell(name, answer)

    async def _transact(self, caller, name, rng):
        if not (await caller.ask("BEGIN", f"{name}-b"))[0].startswith("DONE"):
            return
        self.promised.told[name] = "asked"
        wrote = await caller.ask(f"WRITE {name} 1", f"{name}-w")
        await asyncio.sleep(rng.uniform(0, 0.1))
        if not wrote[0].startswith("DONE"):
            self._tell(name, wrote)
            await caller.ask("ROLLBACK", f"{name}-x")
            return
        if rng.random() < 0.2:
            await caller.ask("ROLLBACK", f"{name}-x")
            self.promised.told[name] = "ABORTED"
            return
        self._tell(name, await caller.ask("COMMIT", f"{name}-c"))

    async def _read(self, caller, request_id):
        stale_s = {"orders": 0.0, "search": MAX_STALE_S}.get(caller.database)
        started, term = time.monotonic(), self.group.term
        answer = await caller.ask("READ clock", request_id)
        if not answer[0].startswith("ROW"):
            return
        self.promised.served += 1
        self.promised.last_served = time.monotonic()
        shown = answer[0][4:]
        if stale_s is None or term != self.group.term:
            return
        if self.promised.is_stale(shown, started - stale_s):
            self.promised.broken.append(
                f"{request_id} at {caller.database} showed a stale {shown}"
            )

    def _tell(self, name, answer):
        word = answer[0].split(" ")
        self.promised.told[name] = "DONE" if word[0] == "DONE" else word[1]
        if word[0] == "DONE":
            self.promised.last_served = time.monotonic()

    def daemon(self):
        return self.rng.choice(self.daemons)

    def server(self):
        return self.group.servers[self.rng.choice(SERVERS)]

    def relay(self):
        return self.rng.choice((self.store_relay, *self.relays.values()))


async def kill(soak):
    daemon = soak.daemon()
    daemon.kill()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
    daemon.start()


async def kill_all(soak):
    for daemon in soak.daemons:
        daemon.kill()
    await asyncio.sleep(0.3)
    for daemon in soak.daemons:
        if not daemon.is_running:
            daemon.start()


async def stop(soak):
    daemon = soak.daemon()
    daemon.send(signal.SIGTERM)
    await daemon.ended()
    daemon.start()


async def hang_up(soak):
    soak.daemon().send(signal.SIGHUP)


async def pause(soak):
    daemon = soak.daemon()
    daemon.send(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.2, 3.0))
    daemon.send(signal.SIGCONT)


async def crash_server(soak):
    server = soak.server()
    server.crash()
    await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
    server.restart()


async def mute_server(soak):
    server = soak.server()
    server.faults.mute = True
    await asyncio.sleep(soak.rng.uniform(0.2, 2.0))
    server.faults.mute = False


async def lose_answers(soak):
    kinds = soak.rng.choices((RunFor, CommitFor), k=4)
    soak.group.servers[soak.group.primary].faults.lose.extend(kinds)


async def refuse(soak):
    refusals = soak.rng.choices((Refusal.BUSY, Refusal.FAILED, Refusal.TIMEOUT), k=4)
    soak.server().faults.refuse.extend(refusals)


async def deafen_replica(soak):
    server = soak.server()
    if server.is_primary:
        return
    server.is_deaf = True
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    server.is_deaf = False
    server.applied = len(soak.group.log)


async def slow_server(soak):
    server = soak.server()
    server.faults.work_s = 0.1
    await asyncio.sleep(1.5)
    server.faults.work_s = 0.0


async def drain_primary(soak):
    leader = soak.group.primary
    soak.list_server(leader, state="draining")
    await asyncio.sleep(2.0)
    soak.list_server(leader)


async def reset_connections(soak):
    soak.relay().reset()


async def silence(soak):
    relay = soak.relay()
    relay.drops = set(soak.rng.choice((("out",), ("back",), ("out", "back"))))
    await asyncio.sleep(soak.rng.uniform(0.3, 2.5))
    relay.drops = set()


async def delay(soak):
    relay = soak.relay()
    relay.delay_s = soak.rng.uniform(0.01, 0.3)
    await asyncio.sleep(1.5)
    relay.delay_s = 0.0


async def store_down(soak):
    soak.platform.faults.down = True
    soak.platform.wake()
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    soak.platform.faults.down = False


async def store_forgets(soak):
    soak.platform.faults.forget = 10**9
    soak.platform.wake()
    await asyncio.sleep(0.5)
    soak.platform.faults.forget = 0


async def store_loses(soak):
    soak.platform.faults.lose_answers += 3


async def configure(soak):
    soak.configure()


FAULTS = (
    kill,
    kill_all,
    stop,
    hang_up,
    pause,
    crash_server,
    mute_server,
    lose_answers,
    refuse,
    deafen_replica,
    slow_server,
    drain_primary,
    reset_connections,
    silence,
    delay,
    store_down,
    store_forgets,
    store_loses,
    configure,
)


async def soak_once(seed, seconds, folder):
    """Play one seed; returns what it broke and how many reads were served."""
    async with Soak(seed, folder) as soak:
        broken = await soak.play(seconds)
        return broken, soak.promised.served, soak.faults


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--keep", type=Path, help="keep the logs of broken seeds here")
    args = parser.parse_args()
    first = args.first if args.first is not None else random.randrange(10**6)
    failed = 0
    for seed in range(first, first + args.seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            broken, served, faults = asyncio.run(soak_once(seed, args.seconds, folder))
            print(
                f"seed {seed}: {served} reads, {len(faults)} faults, {broken or 'ok'}"
            )
            if broken:
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
