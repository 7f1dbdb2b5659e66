"""Runs a fleet of separate processes on loopback for tests."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from urllib.error import URLError
from urllib.request import Request, urlopen

import yaml

from mangoramp.standins._ports import free_ports

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


@contextmanager
def running_processes(folder: Path, **options: int) -> Iterator[Processes]:
    """Run a fleet while the context is active."""
    processes = Processes(folder, **options)
    try:
        processes.start()
        yield processes
    finally:
        processes.stop()


class Processes:
    def __init__(self, folder: Path, *, domains: int = 3, proxies: int = 1) -> None:
        self.folder = folder
        self.domains = domains
        self.count = domains * proxies
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        ports = iter(free_ports(1 + 2 * domains + 3 * self.count))
        self.platform = f"http://127.0.0.1:{next(ports)}"
        self.servers = {f"s{n}": (next(ports), next(ports)) for n in range(domains)}
        self.proxies = {
            f"p{n}": (next(ports), next(ports), next(ports)) for n in range(self.count)
        }

    def start(self) -> None:
        self.spawn("platform", "standin", "platform", "--port", self._platform_port())
        for number, name in enumerate(self.servers):
            self.start_server(name, primary=number == 0)
        self._wait_for_url(f"{self.platform}/calls")
        self._seed()
        for name in self.proxies:
            self.start_proxy(name)
        for name in self.proxies:
            self.wait_ready(name)

    def start_server(self, name: str, *, primary: bool = False) -> None:
        port, control_port = self.servers[name]
        primary_port = str(next(iter(self.servers.values()))[0])
        role = ["--primary"] if primary else ["--follow", primary_port]
        args = ["--name", name, "--path", str(self.folder / f"{name}.db")]
        ports = ["--port", str(port), "--control-port", str(control_port)]
        self.spawn(name, "standin", "endpoint", *args, *ports, *role)
        self._wait_for_url(f"http://127.0.0.1:{control_port}/faults")

    def start_proxy(self, name: str) -> None:
        client_port, metrics_port, peer_port = self.proxies[name]
        path = self.folder / f"{name}.yaml"
        cfg = {
            "name": name,
            "failure_domain": f"d{int(name[1:]) % self.domains}",
            "platform": self.platform,
            "listen_host": "127.0.0.1",
            "listen_port": client_port,
            "metrics_port": metrics_port,
            "peer_address": f"tcp://127.0.0.1:{peer_port}",
            "failure_domains": self.domains,
        }
        path.write_text(yaml.safe_dump(cfg))
        self.spawn(name, "proxy", "--settings", str(path))

    def spawn(self, name: str, *args: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", "mangoramp", *args], stderr=log, stdout=log
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.running[name].pid, number)

    def kill(self, name: str) -> None:
        proc = self.running.pop(name)
        proc.kill()
        proc.wait()

    def stop(self) -> None:
        for name in list(self.running):
            self.kill(name)

    def run_command(self, *args: str) -> str:
        completed = subprocess.run(
            [sys.executable, "-m", "mangoramp", *args], capture_output=True, check=True
        )
        return completed.stdout.decode()

    def give_key(self, *, customer: str = "tala", rate: float = 300) -> str:
        """Replace the table by one row for a customer and issue a key for it."""
        table = self.folder / "table.csv"
        row = f"{customer},register,1,{rate},{rate},1\n"
        table.write_text(f"customer,group,weight,rate,burst,read_age_s\n{row}")
        target = ["--platform", self.platform]
        self.run_command("table", "import", *target, "--file", str(table))
        output = self.run_command("keys", "give", *target, "--customer", customer)
        key: str = json.loads(output)["key"]
        return key

    def url(self, proxy: str, group: str = "register") -> str:
        port = self.proxies[proxy][0]
        return f"http://127.0.0.1:{port}/v1/groups/{group}/statements"

    def set_faults(self, name: str, **faults: object) -> None:
        base = self.platform
        if name != "platform":
            base = f"http://127.0.0.1:{self.servers[name][1]}"
        body = json.dumps(faults).encode()
        urlopen(Request(f"{base}/faults", data=body, method="PUT"))

    def wait_ready(self, name: str) -> None:
        self._wait_for_url(f"http://127.0.0.1:{self.proxies[name][1]}/ready")

    def _platform_port(self) -> str:
        return self.platform.rsplit(":", 1)[1]

    def _seed(self) -> None:
        servers = [
            {"name": n, "host": "127.0.0.1", "port": p, "failure_domain": f"d{i}"}
            for i, (n, (p, _)) in enumerate(self.servers.items())
        ]
        group = {
            "name": "register",
            "term": 1,
            "primary": "s0",
            "servers": servers,
            "starts": [{"term": 1, "position": 0, "previous": 0}],
        }
        path = self.folder / "seed.yaml"
        path.write_text(yaml.safe_dump({"groups": [group]}))
        self.run_command(
            "standin", "seed", "--platform", self.platform, "--file", str(path)
        )

    def _check_running(self) -> None:
        for name, proc in self.running.items():
            if proc.poll() is not None:
                output = (self.folder / f"{name}.log").read_text()
                raise RuntimeError(f"{name} ended: {output[-1000:]}")

    def _wait_for_url(self, url: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            self._check_running()
            try:
                urlopen(url, timeout=1)
            except (URLError, OSError):
                time.sleep(POLL_INTERVAL_S)
            else:
                return
        raise TimeoutError(url)
