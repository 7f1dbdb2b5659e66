"""An instance of the soak test, which runs as a process."""

import argparse
import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from mangoramp.standins._ports import HOST, free_ports

MAX_PRINTED = 12  # violations of one run
SETTINGS = """
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
internal_ports = [{peers}, {peers}]
bootstrap = {first}
seeds = []
contracts = [{contracts}]
[listen_addresses]
front = "{host}:{callers}"
ready = "{host}:{health}"
[platform]
address = "{host}:{store}"
[cloud]
address = "{host}:{promotion}"
[bounds]
grace_s = 3
stable_window_ms = {settled_ms}
config_apply_ms = {configuration_ms}
evacuate_ms = 2000
cold_overage = 1.5
cold_slack = 5
{bounds}
[limits]
{limits}
"""


def seed_parser(prog, *, seeds=5, first=1, seconds=12.0):
    """Return a parser for the options of all soaks, with their defaults."""
    parser = argparse.ArgumentParser(prog=prog)
    parser.add_argument("--seeds", type=int, default=seeds)
    parser.add_argument("--first", type=int, default=first)
    parser.add_argument("--seconds", type=float, default=seconds)
    parser.add_argument(
        "--keep", type=Path, help="directory for the logs of failed seeds"
    )
    return parser


def play_seeds(args, play):
    """Play each seed, print how many passed, and return the exit code.

    Args:
        args: The parsed options.
        play: Plays one seed; returns whether it passed.
    """
    seeds = range(args.first, args.first + args.seeds)
    failed = sum(not play(seed) for seed in seeds)
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


def keep_logs(folder, keep, name):
    """Copy the logs of a run to a directory below ``keep``, if one is given."""
    if not keep:
        return
    target = keep / name
    target.mkdir(parents=True, exist_ok=True)
    for log in Path(folder).glob("*.log"):
        (target / log.name).write_bytes(log.read_bytes())


def report_run(folder, keep, name, text, violations):
    """Print a run and its violations, and keep its logs if there are any.

    Args:
        folder: The folder with the run's logs.
        keep: The directory to keep them in, None for none.
        name: The name of the run below it.
        text: What is said of the run.
        violations: The violations found.

    Returns:
        Whether there are none.
    """
    verdict = f"{len(violations)} violations" if violations else "ok"
    print(f"{text}, {verdict}", flush=True)
    for violation in violations[:MAX_PRINTED]:
        print(f"  {violation}")
    if violations:
        keep_logs(folder, keep, name)
    return not violations


class InstanceProcess:
    """An instance that runs as a separate process.

    Attributes:
        build: The folder that holds its package, None for this build. A change applies
            from the next start on.
    """

    SETTLED_MS = 1000
    BOUNDS = ""
    CONFIGURATION_MS = 2000

    def __init__(
        self, folder, name, store, promotion, contracts, build=None, limits=""
    ):
        self.name = name
        self.zone = f"zone-{name}"
        self.build = build
        self._contracts = contracts
        self._limits = limits
        self._folder = folder
        self.ports = free_ports(3)
        self._service_ports = (store, promotion)
        self._process = None
        self._start_count = 0

    def start(self):
        """Start the process unless a fault that overlaps this one has done so."""
        if self.is_running:
            return
        callers, health, peers = self.ports
        path = self._folder / f"{self.name}.toml"
        store, promotion = self._service_ports
        path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                host=HOST,
                peers=peers,
                callers=callers,
                health=health,
                store=store,
                promotion=promotion,
                contracts=self._contracts,
                limits=self._limits,
                bounds=self.BOUNDS,
                settled_ms=self.SETTLED_MS,
                configuration_ms=self.CONFIGURATION_MS,
                first="true" if self._start_count == 0 else "false",
            )
        )
        self._start_count += 1
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._program],
                env=os.environ | {"MANGORAMP_BOOT": str(path)} | self._environment,
                cwd=self.build,
                stdout=log,
                stderr=log,
            )

    @property
    def _program(self):
        """The arguments of the interpreter."""
        return ("-m", "mangoramp.serve")

    @property
    def _environment(self):
        """Variables of the process beside those of the test."""
        return {}

    @property
    def log_path(self):
        """The log of the processes of its present build."""
        kind = "log" if self.build is None else "other-build.log"
        return self._folder / f"{self.name}.{kind}"

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number):
        if self.is_running:
            self._process.send_signal(number)

    async def wait_ended(self):
        """Wait until the present process has ended, also if another has replaced it."""
        process = self._process
        while process is not None and process.poll() is None:
            await asyncio.sleep(0.02)

    def kill(self):
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
