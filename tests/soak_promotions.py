"""Randomized soak test: primaries are released in series, with real processes.

``python -m tests.soak_promotions --seeds 50`` runs fifty seeds and prints violations of
rule ONE. The primaries of three groups are to be replaced again and again while the
last holder of the duty is cut off from the promotion API, paused, slowed down or
killed. The platform checks no fences; its stand-in judges the calls that it gets.
"""

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from mangoramp.standins.wire_group import WireGroup

from .promotion_world import Call
from .relay import Relay
from .soak_configuration import (
    SETTLED_S,
    ConfigurationSoak,
    LinkedProcess,
    slow_down,
)
from .soak_instance import play_seeds, report_run, seed_parser
from .wire_world import GROUP, World, configuration

INSTANCES = 6
ZONES = ("zone-a", "zone-b", "zone-c")
GROUPS = {GROUP: ("s1", "s2", "s3"), "second": ("t1", "t2", "t3"),
          "third": ("u1", "u2", "u3")}  # fmt: skip
LEASE_S = 3.0  # in which no two holders in touch may take turns
REPLACED_S = 13.0  # within which a primary is replaced
LEAD_S = 0.3
GAPS_S = (0.3, 1.5)
START_TIMEOUT_S = 30.0


class Calls(list):
    """The calls in the order in which they came; judges each by those before it."""

    def __init__(self, soak):
        super().__init__()
        self.judged = []
        self._soak = soak

    def append(self, request):
        super().append(request)
        holder, token, server = request
        process = next(p for p in self._soak.processes if p.name == holder)
        call = Call(time.monotonic(), holder, token, server, process.is_settled)
        group = self._soak.group_of(server)
        for earlier in self.judged:
            if self._soak.group_of(earlier.server) is group:
                self._judge(earlier, call)
        self.judged.append(call)

    def _judge(self, earlier, call):
        apart_s = call.at - earlier.at
        if call.token < earlier.token:
            self._soak.violations.append(
                f"ONE: {call.holder} sent token {call.token} for {call.server}"
                f" {apart_s:.2f} s after {earlier.holder} had sent {earlier.token}"
            )
        in_touch = call.in_touch and earlier.in_touch
        if in_touch and call.holder != earlier.holder and apart_s < LEASE_S:
            self._soak.violations.append(
                f"ONE: {call.holder} ordered {call.server} {apart_s:.2f} s after"
                f" {earlier.holder} had ordered {earlier.server}"
            )


class ApiProcess(LinkedProcess):
    """An instance whose path to the promotion API can be cut by itself."""

    BOUNDS = "require_fencing = false"

    async def connect(self, others):
        await super().connect(others)
        store, promotion = self._service_ports
        self.api_relay = Relay(lambda: promotion)
        await self.api_relay.start()
        self._service_ports = (store, self.api_relay.port)

    def close(self):
        super().close()
        self.api_relay.close()


class PromotionSoak(World):
    """A run with one seed.

    Args:
        seed: The seed.
        folder: The folder for settings and logs.
        instances: The number of instances.
    """

    def __init__(self, seed, folder, instances=INSTANCES):
        others = [WireGroup(n, s) for n, s in GROUPS.items() if n != GROUP]
        super().__init__(instances=0, seed=seed, other_groups=tuple(others))
        self.rng = random.Random(seed)
        self.folder = Path(folder)
        self.processes = []
        self.violations = []
        self.faults = Counter()
        self.durations = []
        self.lead_s = LEAD_S
        self.is_fenced = False
        self.promotion_requests = Calls(self)
        self._instances = instances
        self._is_over = False

    disturbing = ConfigurationSoak.disturbing

    async def __aenter__(self):
        await super().__aenter__()
        services = [{"name": n, "max_connections": 16} for n in GROUPS]
        self.put("config", "main", configuration(2, services=services))
        for number in range(self._instances):
            process = ApiProcess(
                self.folder, f"i{number}", self.platform, self._promotion_port, None
            )
            process.zone = ZONES[number % len(ZONES)]
            self.processes.append(process)
        for process in self.processes:
            await process.connect(self.processes)
        for process in self.processes:
            process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(self.listed_instances) < self._instances:
                await asyncio.sleep(0.1)
        with self.disturbing(*self.processes):
            pass  # a process that has just started is not in touch yet
        await asyncio.sleep(SETTLED_S)
        return self

    async def __aexit__(self, *exc):
        for process in self.processes:
            process.close()
        await super().__aexit__(*exc)

    @property
    def listed_instances(self):
        return self.platform.fetch_changes("mangoramp-instance", 0).objects

    async def play(self, seconds):
        """Release primaries and disturb holders; return the violations."""
        releases = [asyncio.ensure_future(self._release(g)) for g in self.groups]
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            fault = self.rng.choice(FAULTS)
            self.faults[fault.__name__] += 1
            await fault(self)
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        self._is_over = True
        await asyncio.gather(*releases)
        return self.violations

    async def _release(self, group):
        while not self._is_over:
            leaving, began_at = group.primary, time.monotonic()
            self.list_server(leaving, state="draining")
            while group.primary == leaving:
                await asyncio.sleep(0.02)
                if time.monotonic() - began_at > 2 * REPLACED_S:
                    self.violations.append(f"{leaving} is not replaced")
                    return
            self.durations.append(time.monotonic() - began_at)
            await asyncio.sleep(self.rng.uniform(*GAPS_S))

    def pick_holder(self):
        """Return the process that did the duty last, mostly, or any other."""
        calls = self.promotion_requests
        if calls and self.rng.random() < 0.7:
            return next(p for p in self.processes if p.name == calls[-1][0])
        return self.rng.choice(self.processes)

    def summary(self):
        found = sorted(self.durations) or [0.0]
        return (
            f"{len(self.promotion_requests)} calls, {len(self.durations)} releases,"
            f" median {found[len(found) // 2]:.2f}, longest {found[-1]:.2f} s"
        )


async def disturb_nothing(soak):
    """Leave all in touch."""
    await asyncio.sleep(soak.rng.uniform(2.0, 5.0))


async def cut_from_the_api(soak):
    """Cut an instance off from the promotion API, and from nothing else."""
    process = soak.pick_holder()
    with soak.disturbing(process):
        process.api_relay.is_holding_connections = True
        process.api_relay.dropped_directions = {"out", "back"}
        await asyncio.sleep(soak.rng.uniform(0.5, 6.0))
        process.api_relay.clear_faults()


async def pause(soak):
    """Stop a process, several times if need be."""
    process = soak.pick_holder()
    with soak.disturbing(process):
        for _ in range(soak.rng.randint(1, 3)):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.uniform(0.2, 4.0))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(soak.rng.uniform(0.0, 1.0))


async def slow(soak):
    """Let a process run a tenth of the time only."""
    process = soak.pick_holder()
    with soak.disturbing(process):
        await slow_down([process], time.monotonic() + soak.rng.uniform(0.5, 4.0))


async def kill(soak):
    """Kill a process and start it again."""
    process = soak.pick_holder()
    with soak.disturbing(process):
        process.kill()
        await asyncio.sleep(soak.rng.uniform(0.0, 2.0))
        process.start()


async def stop(soak):
    """Stop an instance within its grace period, and start it again."""
    process = soak.pick_holder()
    with soak.disturbing(process):
        process.send_signal(signal.SIGTERM)
        await process.wait_ended()
        process.start()


FAULTS = (disturb_nothing, disturb_nothing, cut_from_the_api, pause, slow, kill, stop)


async def soak_promotions_once(seed, seconds, folder, **options):
    """Run one seed; return the run, which holds violations and figures."""
    async with PromotionSoak(seed, folder, **options) as soak:
        await soak.play(seconds)
        return soak


def play_promotions(seed, seconds, keep=None, **options):
    """Run one seed and print what was found; return whether no rule was broken."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = asyncio.run(soak_promotions_once(seed, seconds, folder, **options))
        text = f"seed {seed}, promotions, {soak.summary()}: {dict(soak.faults)}"
        return report_run(folder, keep, f"{seed}-promotions", text, soak.violations)


def main():
    parser = seed_parser("python -m tests.soak_promotions", seconds=40.0)
    parser.add_argument("--instances", type=int, default=INSTANCES)
    args = parser.parse_args()
    return play_seeds(
        args,
        lambda seed: play_promotions(
            seed, args.seconds, args.keep, instances=args.instances
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
