"""Randomized soak test: the configuration changes in a fleet of many instances.

``python -m tests.soak_configuration --seeds 50`` runs fifty seeds and prints the
violations of rule CONFIG. Most instances learn of a change from others, not from the
store. Each instance is asked for routes and keys that were added and removed; it has to
serve an added one from the end of its bound on, and never to refuse what it has served.
Beside the former build, only instances of this build are judged.
"""

import asyncio
import contextlib
import itertools
import json
import random
import resource
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from tornado.httpserver import HTTPServer

from mangoramp.policy.hubs import Member, order_hubs
from mangoramp.standins._ports import HOST
from mangoramp.standins.platform import Platform, PlatformFaults

from .former_build import ROOT, unpack_former_build
from .linked_instance import LINKS_VARIABLE
from .relay import Relay
from .soak_instance import InstanceProcess, play_seeds, report_run, seed_parser
from .wire_world import GROUP, KEY, World, configuration

ZONES = ("zone-a", "zone-b", "zone-c")
INSTANCES = 24
SETTLED_S = 4.0  # without disturbance before an instance is judged
CONFIGURATION_S = 3.0  # from the store's answer until a change is in force
ROLLBACK_S = 0.25  # after which an instance may not show an older version
ASK_INTERVAL_S = 0.15  # between two rounds of questions to an instance
ASK_TIMEOUT_S = 1.0
START_TIMEOUT_S = 30.0
CHANGE_INTERVAL_S = (0.3, 2.0)
KEPT_ROUTES = 8
SILENCE_INTERVAL_S = 2 * (SETTLED_S + CONFIGURATION_S)
MAX_LAG_S = 0.3  # of this process, which is the store and the network
LINK_PORTS = 3  # of an instance, from its peer port on
MIN_FILES = 8192


class StoreGate:
    """The store as one instance reaches it, with faults of its own."""

    application = Platform.application

    def __init__(self, platform):
        self.faults = PlatformFaults()
        self._platform = platform

    def __getattr__(self, name):
        return getattr(self._platform, name)


class LinkedProcess(InstanceProcess):
    """An instance whose connections to the store and to others run through relays.

    Attributes:
        relays: The relays from here to each other instance, by its name.
        lost: The peer ports to which its datagrams are lost.
        disturbances: The number of current disturbances.
        settled_at: When it is judged again, in seconds.
    """

    SETTLED_MS = round(1000 * SETTLED_S)
    CONFIGURATION_MS = round(1000 * CONFIGURATION_S)

    def __init__(self, folder, name, platform, promotion, build):
        self.gate = StoreGate(platform)
        self._http = HTTPServer(self.gate.application())
        self._http.listen(0, HOST)
        sockets = list(self._http._sockets.values())
        port = sockets[0].getsockname()[1]
        self.store_relay = Relay(lambda: port)
        self._promotion = promotion
        super().__init__(folder, name, 0, promotion, "", build)
        self.relays = {}
        self.lost = set()
        self.disturbances = 0
        self.settled_at = 0.0
        self.life = 0

    async def connect(self, others):
        """Start the relays to the store and to the other instances."""
        await self.store_relay.start()
        self._service_ports = (self.store_relay.port, self._promotion)
        for other in others:
            if other is not self:
                relay = Relay(lambda other=other: other.ports[2])
                await relay.start()
                self.relays[other.name] = (other.ports[2], relay)
        self.write_links()

    def write_links(self):
        relays = {str(port): relay.port for port, relay in self.relays.values()}
        text = json.dumps({"relays": relays, "lost": sorted(self.lost)})
        path = self._links_path.with_suffix(".new")
        path.write_text(text)
        path.replace(self._links_path)

    def start(self):
        self.life += not self.is_running
        super().start()

    def close(self):
        self.kill()
        self._http.stop()
        self.store_relay.close()
        for _, relay in self.relays.values():
            relay.close()

    @property
    def is_settled(self):
        return not self.disturbances and time.monotonic() >= self.settled_at

    @property
    def _links_path(self):
        return self._folder / f"{self.name}.links"

    @property
    def _program(self):
        return (str(ROOT / "tests" / "linked_instance.py"),)

    @property
    def _environment(self):
        root = str(self.build or ROOT)
        return {LINKS_VARIABLE: str(self._links_path), "PYTHONPATH": root}


@dataclass
class RouteChange:
    """A route that was added with a key of its own, and perhaps removed again.

    Attributes:
        name: The name of its database.
        version: The version of the configuration that added it.
        added_at: When the store acknowledged this, in seconds.
        removed_at: When the store acknowledged its removal, infinity before.
    """

    name: str
    version: int
    added_at: float
    removed_at: float = float("inf")

    @property
    def key(self):
        return f"k-{self.name}"


class ConfigurationSoak(World):
    """A run with one seed.

    Args:
        seed: The seed.
        folder: The folder for settings, logs and other builds.
        instances: The number of instances.
        build: ``new`` for this build, ``mixed`` for the former build beside it, or a
            commit.
        kinds: The names of the faults, empty for all.
    """

    def __init__(self, seed, folder, instances=INSTANCES, build="new", kinds=()):
        super().__init__(instances=0, seed=seed)
        self.rng = random.Random(seed)
        self.folder = Path(folder)
        self.processes = []
        self.violations = []
        self.faults = Counter()
        self.delays = {}
        self.lags = [0.0]
        self.asked = Counter()
        self._kinds = [f for f in FAULTS if not kinds or f.__name__ in kinds]
        self._instances = instances
        self._builds = [None]
        self._is_mixed = build == "mixed"
        if build != "new":
            commit = "" if self._is_mixed else build
            other = unpack_former_build(self.folder / "other-build", commit)
            self._builds = [None, other] if self._is_mixed else [other]
        self._version = 1
        self._routes = []
        self._numbers = itertools.count(1)
        self._served = {}
        self._is_over = False
        self.silenced_at = float("-inf")

    async def __aenter__(self):
        _allow_files(MIN_FILES)
        await super().__aenter__()
        self.change()
        for number in range(self._instances):
            build = self.rng.choice(self._builds)
            process = LinkedProcess(
                self.folder, f"i{number}", self.platform, self._promotion_port, build
            )
            process.zone = ZONES[number % len(ZONES)]
            self.processes.append(process)
        for process in self.processes:
            await process.connect(self.processes)
        for process in self.processes:
            process.start()
        with self.disturbing(*self.processes):
            await asyncio.gather(*(self._wait_until_served(p) for p in self.processes))
        return self

    async def __aexit__(self, *exc):
        for process in self.processes:
            process.close()
        await super().__aexit__(*exc)

    def change(self, *, added=1, removed=0):
        """Publish a configuration with some more routes and some fewer."""
        self._version += self.rng.randint(1, 4)
        now = time.monotonic()
        current = self.current_routes
        for change in self.rng.sample(current, min(removed, len(current))):
            change.removed_at = now
        for _ in range(added):
            name = f"db-{next(self._numbers)}"
            self._routes.append(RouteChange(name, self._version, now))
        routes = [
            {
                "database_name": route.name,
                "service": GROUP,
                "type": "primary",
                "timeout_ms": 1500,
                "priority": 1,
            }
            for route in self.current_routes
        ]
        keys = [KEY, *(route.key for route in self.current_routes)]
        tenants = [{"name": "alpha", "api_keys": keys, "rate_per_s": 1e4, "burst": 1e4}]
        self.put(
            "config",
            "main",
            configuration(self._version, routes=routes, tenants=tenants),
        )

    @property
    def current_routes(self):
        return [r for r in self._routes if r.removed_at == float("inf")]

    async def play(self, seconds):
        """Change the configuration and inject faults; return the violations."""
        tasks = [asyncio.ensure_future(self._ask_often(p)) for p in self.processes]
        tasks += [asyncio.ensure_future(self._measure_lag())]
        tasks += [asyncio.ensure_future(self._change_often())]
        try:
            await self._inject_faults(seconds)
            await asyncio.sleep(SETTLED_S + CONFIGURATION_S)
        finally:
            self._is_over = True
            await asyncio.gather(*tasks)
        self._check_all_served()
        return self.violations

    async def _inject_faults(self, seconds):
        deadline = time.monotonic() + seconds
        running = set()
        while time.monotonic() < deadline:
            fault = self.rng.choice(self._kinds)
            self.faults[fault.__name__] += 1
            running.add(asyncio.ensure_future(fault(self)))
            await asyncio.sleep(self.rng.uniform(0.5, 2.5))
        for fault in running:
            await fault  # an error of the test itself must not pass unseen

    def _check_all_served(self):
        """Note instances that did not serve the newest routes at the end."""
        for process in filter(self._is_judged, self.processes):
            served = self._served.get((process, process.life), {})
            missing = [r.name for r in self.current_routes if r.name not in served]
            if len(missing) == len(self.current_routes):
                self.violations.append(f"UNSERVED: {process.name} serves no route")

    @contextlib.contextmanager
    def disturbing(self, *processes):
        """Do not judge instances now, and until they have settled again."""
        for process in processes:
            process.disturbances += 1
        try:
            yield
        finally:
            for process in processes:
                process.disturbances -= 1
                process.settled_at = time.monotonic() + SETTLED_S

    def pick_process(self):
        return self.rng.choice(self.processes)

    def hubs(self, zone):
        """Return the instances on which the others of a failure domain rely."""
        found = {p.name: p for p in self.processes if p.zone == zone}
        members = [Member(name, 0, "", 0) for name in found]
        return [found[member.name] for member in order_hubs(zone, members)[:3]]

    def pick_hubs(self):
        """Return one to three hubs of one failure domain."""
        hubs = self.hubs(self.rng.choice(ZONES))
        return self.rng.sample(hubs, self.rng.randint(1, len(hubs)))

    async def _change_often(self):
        while not self._is_over:
            if len(self.current_routes) < KEPT_ROUTES:
                self.change()
            else:
                self.change(
                    added=self.rng.randint(0, 2), removed=self.rng.randint(0, 2)
                )
            await asyncio.sleep(self.rng.uniform(*CHANGE_INTERVAL_S))

    async def _measure_lag(self):
        """Judge no instance while this process is late itself."""
        while not self._is_over:
            began = time.monotonic()
            await asyncio.sleep(0.05)
            lag = time.monotonic() - began - 0.05
            self.lags.append(lag)
            if lag > MAX_LAG_S:
                with self.disturbing(*self.processes):
                    pass

    async def _wait_until_served(self, process):
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self._ask(process, self._routes[0]) != "READY":
                await asyncio.sleep(0.1)

    async def _ask_often(self, process):
        while not self._is_over:
            now = time.monotonic()
            current = self.current_routes
            removed = [
                r for r in self._routes if now - 8.0 < r.removed_at < float("inf")
            ]
            served = self._served.get((process, process.life), {})
            unserved = [r for r in current if r.name not in served]
            again = self.rng.choices(current, k=2) if current else ()
            for route in [*unserved, *again, *removed[-1:]]:
                await self._ask_and_judge(process, route)
            await asyncio.sleep(ASK_INTERVAL_S)

    async def _ask_and_judge(self, process, route):
        life, sent_at = process.life, time.monotonic()
        was_settled = process.is_settled
        answer = await self._ask(process, route)
        self.asked[answer] += 1
        if process.life != life:
            return
        served = self._served.setdefault((process, life), {})
        in_touch = was_settled and process.is_settled
        since_added = sent_at - route.added_at
        if answer == "READY":
            self._record_served(process, route, served, sent_at, in_touch)
            if in_touch and sent_at - route.removed_at > CONFIGURATION_S:
                self._note(process, route, "served though removed", sent_at)
        elif answer in ("NODB", "NOAUTH") and time.monotonic() < route.removed_at:
            seen_at = served.get(route.name, float("inf"))
            if sent_at - seen_at > ROLLBACK_S:
                self._note(process, route, "refused after it was served", sent_at)
            elif in_touch and since_added > CONFIGURATION_S:
                self._note(process, route, "refused", sent_at)

    def _record_served(self, process, route, served, sent_at, in_touch):
        if route.name not in served:
            served[route.name] = sent_at
            was_in_touch = in_touch and process.settled_at <= route.added_at
            if was_in_touch and self._is_judged(process):
                delay_s = sent_at - route.added_at
                self.delays[(process.name, route.name)] = delay_s

    def _is_judged(self, process):
        return not self._is_mixed or process.build is None

    def restart(self, process):
        """Start a process that has ended, of any of the builds."""
        if not process.is_running:
            process.build = self.rng.choice(self._builds)
            process.start()

    def _note(self, process, route, what, sent_at):
        if not self._is_judged(process):
            return
        self.violations.append(
            f"CONFIG: {route.name} of version {route.version} {what} by {process.name}"
            f" {sent_at - route.added_at:.2f} s after it was added,"
            f" at {time.time():.2f}"
        )

    async def _ask(self, process, route):
        """Return the first word, or the code, of the answer to a new session."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ASK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(HOST, process.ports[0])
                try:
                    writer.write(f"START {route.name} {route.key}\r\n".encode())
                    words = (await reader.readline()).decode().split()
                    return words[1 if words[:1] == ["ERR"] else 0] if words else ""
                finally:
                    writer.transport.abort()
        return ""

    def summary(self):
        """Return the delays until changes were in force, for the output."""
        delays = sorted(self.delays.values())
        if not delays:
            return "no delay measured"
        middle, late = (delays[int(len(delays) * part)] for part in (0.5, 0.99))
        return (
            f"{len(delays)} delays, median {middle:.2f}, 0.99 {late:.2f},"
            f" largest {delays[-1]:.2f} s; lag {max(self.lags):.2f} s;"
            f" {dict(self.asked)}"
        )


async def kill_hubs(soak):
    """Kill hubs of a failure domain, again soon after they have started."""
    hubs = soak.pick_hubs()
    with soak.disturbing(*hubs):
        for _ in range(soak.rng.randint(1, 3)):
            for process in hubs:
                process.kill()
            await asyncio.sleep(soak.rng.uniform(0.0, 1.5))
            for process in hubs:
                soak.restart(process)
            await asyncio.sleep(soak.rng.uniform(0.0, 1.5))


async def kill_any(soak):
    """Kill a few instances one after the other."""
    for process in soak.rng.sample(soak.processes, 3):
        with soak.disturbing(process):
            process.kill()
            await asyncio.sleep(soak.rng.uniform(0.0, 0.5))
            soak.restart(process)


async def stop_any(soak):
    """Stop an instance within its grace period, and start it again."""
    process = soak.pick_process()
    with soak.disturbing(process):
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        await process.wait_ended()
        soak.restart(process)


async def pause_hubs(soak):
    """Pause hubs of a failure domain together."""
    hubs = soak.pick_hubs()
    with soak.disturbing(*hubs):
        for process in hubs:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(soak.rng.uniform(0.3, 6.0))
        for process in hubs:
            process.send_signal(signal.SIGCONT)


async def slow_down_hubs(soak):
    """Let hubs run for a tenth of the time only."""
    hubs = soak.pick_hubs()
    with soak.disturbing(*hubs):
        await slow_down(hubs, time.monotonic() + soak.rng.uniform(1.0, 6.0))


async def slow_down(processes, until):
    """Let processes run for a tenth of the time only."""
    while time.monotonic() < until:
        for number, pause_s in ((signal.SIGSTOP, 0.09), (signal.SIGCONT, 0.01)):
            for process in processes:
                process.send_signal(number)
            await asyncio.sleep(pause_s)


async def silence_links(soak):
    """Let the open connections to all instances, or to hubs, carry nothing any more.

    No instance is judged until it has settled, so that the next silence comes later.
    """
    if time.monotonic() - soak.silenced_at < SILENCE_INTERVAL_S:
        return
    soak.silenced_at = time.monotonic()
    silenced = soak.rng.choice((soak.processes, soak.hubs(soak.rng.choice(ZONES))))
    with soak.disturbing(*soak.processes):
        for target in silenced:
            for process in soak.processes:
                if process is not target:
                    process.relays[target.name][1].silence_connections()


async def cut_off(soak):
    """Cut an instance off from some others, in one direction or both."""
    target = soak.rng.choice((soak.pick_process(), soak.pick_hubs()[0]))
    others = [p for p in soak.processes if p is not target]
    others = soak.rng.sample(others, soak.rng.choice((1, 5, len(others))))
    outward, inward = soak.rng.choice(((True, False), (False, True), (True, True)))
    pairs = [(target, other) for other in others if outward]
    pairs += [(other, target) for other in others if inward]
    with soak.disturbing(target, *others):
        await cut_links(pairs, soak.rng.uniform(0.5, 6.0))


async def cut_links(pairs, seconds, *, datagrams_only=False):
    """Cut the links from some instances to others for a time."""
    for source, aim in pairs:
        _set_cut(source, aim, True, datagrams_only=datagrams_only)
    await asyncio.sleep(seconds)
    for source, aim in pairs:
        _set_cut(source, aim, False)


def _set_cut(source, aim, is_cut, *, datagrams_only=False):
    port, relay = source.relays[aim.name]
    is_silent = is_cut and not datagrams_only
    relay.is_holding_connections = is_silent
    # What was sent meanwhile is not sent again: the connections stay silent.
    relay.dropped_directions = {"out", "back"} if is_silent else set()
    (source.lost.add if is_cut else source.lost.discard)(port)
    source.write_links()


async def turn_away(soak):
    """Let the store refuse the calls of some instances, or leave them unanswered."""
    some = soak.rng.sample(soak.processes, soak.rng.randint(1, len(soak.processes) - 3))
    refused = soak.rng.choice((soak.pick_hubs(), some))
    how = soak.rng.choice((429, 503, "reset", "silence"))
    with soak.disturbing(*refused):
        for process in refused:
            _turn_away(process, how)
        await asyncio.sleep(soak.rng.uniform(1.0, 8.0))
        for process in refused:
            process.gate.faults = PlatformFaults()
            process.store_relay.clear_faults()


def _turn_away(process, how):
    if how == "silence":
        process.store_relay.dropped_directions = {"out", "back"}
        process.store_relay.is_holding_connections = True
    else:
        process.store_relay.reset_connections()
        process.gate.faults = PlatformFaults(refused_part=1.0, refusal=429)
    if how == "reset":
        process.store_relay.is_holding_connections = True


async def refuse_part(soak):
    """Let the store refuse a part of all calls, as beyond its rate."""
    part = soak.rng.uniform(0.2, 0.6)
    for process in soak.processes:
        process.gate.faults = PlatformFaults(refused_part=part)
    await asyncio.sleep(soak.rng.uniform(3.0, 8.0))
    for process in soak.processes:
        process.gate.faults = PlatformFaults()


async def change_quickly(soak):
    """Change the configuration several times within a moment."""
    for _ in range(soak.rng.randint(3, 10)):
        soak.change(added=1, removed=1)
        await asyncio.sleep(soak.rng.uniform(0.0, 0.1))


FAULTS = (
    kill_hubs,
    kill_any,
    stop_any,
    pause_hubs,
    slow_down_hubs,
    silence_links,
    cut_off,
    turn_away,
    refuse_part,
    change_quickly,
)


def _allow_files(count):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, hard), hard))


async def soak_configuration_once(seed, seconds, folder, **options):
    """Run one seed; return the run, which holds violations and figures."""
    async with ConfigurationSoak(seed, folder, **options) as soak:
        await soak.play(seconds)
        return soak


def play_configuration(seed, seconds, keep=None, **options):
    """Run one seed and print what was found; return whether no rule was broken."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = asyncio.run(soak_configuration_once(seed, seconds, folder, **options))
        text = f"seed {seed}, configuration, {soak.summary()}: {dict(soak.faults)}"
        name = f"{seed}-configuration"
        return report_run(folder, keep, name, text, soak.violations)


def main():
    parser = seed_parser("python -m tests.soak_configuration", seconds=20.0)
    parser.add_argument("--instances", type=int, default=INSTANCES)
    parser.add_argument("--build", default="new", help="new, mixed or a commit")
    parser.add_argument("--faults", nargs="+", default=(), help="only these faults")
    args = parser.parse_args()
    return play_seeds(
        args,
        lambda seed: play_configuration(
            seed,
            args.seconds,
            args.keep,
            instances=args.instances,
            build=args.build,
            kinds=args.faults,
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
