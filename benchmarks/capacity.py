"""Measures the costs behind docs/CAPACITY.md and updates its tables.

``python -m benchmarks.capacity`` starts small fleets on loopback, one at a time, and
replaces the text between the markers of the page.
"""

from __future__ import annotations

import json
import os
import re
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from urllib.request import Request, urlopen

from tests.processes import Processes, running_processes

from .test_overhead import Connection, cpu_s, post_until_admitted

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
GENERATED_SECTION = re.compile(r"(<!-- slopes -->\n).*?(<!-- end -->)", re.DOTALL)
IDLE_SAMPLE_S = 5.0
SETTLE_S = 1.0
PROPAGATION_TIMEOUT_S = 60.0
TABLE_HEADER = "customer,group,weight,rate,burst,read_age_s\n"
CREATE = "CREATE TABLE sheet (id TEXT PRIMARY KEY, revision INTEGER)"
SEARCH = "SELECT id, revision FROM sheet WHERE id = $1"


@dataclass(frozen=True)
class Slope:
    """A cost that grows linearly with a count.

    Attributes:
        name: The cost and the objects that are counted.
        unit: The unit of the cost.
        sizes: The counts at which the cost was measured.
        costs: The cost measured at each count.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]

    @property
    def fit(self) -> tuple[float, float]:
        """The cost per object and the fixed cost, fitted by least squares."""
        found = statistics.linear_regression(self.sizes, self.costs)
        return found.slope, found.intercept

    @property
    def error(self) -> float:
        """The largest deviation from the fit, as a fraction of the largest cost."""
        per_object, fixed = self.fit
        pairs = zip(self.sizes, self.costs, strict=True)
        largest = max(map(abs, self.costs)) or 1.0
        return (
            max(abs(cost - fixed - per_object * size) for size, cost in pairs) / largest
        )

    def row(self) -> str:
        """Return the slope as a Markdown row of the page's table."""
        per_object, fixed = self.fit
        sizes = ", ".join(f"{size:g}" for size in self.sizes)
        costs = ", ".join(f"{cost:.4g}" for cost in self.costs)
        return (
            f"| {self.name} | {sizes} | {costs} {self.unit} | {per_object:.4g} |"
            f" {fixed:.4g} | {self.error:.0%} |"
        )


def rss_kb(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", text)
    return float(found[1]) if found else 0.0


@contextmanager
def fleet(*, domains: int = 1, proxies: int = 1) -> Iterator[Processes]:
    with (
        tempfile.TemporaryDirectory(prefix="capacity-") as folder,
        running_processes(Path(folder), domains=domains, proxies=proxies) as processes,
    ):
        yield processes


def put(processes: Processes, kind: str, name: str, value: object) -> None:
    body = json.dumps({"meta": {"name": name}, "spec": value}).encode()
    urlopen(Request(f"{processes.platform}/objects/{kind}", data=body, method="POST"))


def fetch_status(processes: Processes, name: str) -> dict[str, object]:
    port = processes.proxies[name][1]
    found: dict[str, object] = json.load(urlopen(f"http://127.0.0.1:{port}/v1/status"))
    return found


def wait_until(done: Callable[[], bool]) -> None:
    deadline = time.monotonic() + PROPAGATION_TIMEOUT_S
    while not done():
        if time.monotonic() > deadline:
            raise TimeoutError
        time.sleep(0.01)


def cpu_share(pid: int, seconds: float) -> float:
    before = cpu_s(pid)
    time.sleep(seconds)
    return (cpu_s(pid) - before) / seconds


def idle_connections() -> Slope:
    sizes, costs = (200, 1000, 3200), []
    for size in sizes:
        with fleet() as processes:
            pid = processes.running["p0"].pid
            port = processes.proxies["p0"][0]
            before = rss_kb(pid)
            socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(size)]
            for sock in socks:
                sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                sock.recv(4096)
            time.sleep(SETTLE_S)
            costs.append(rss_kb(pid) - before)
            for sock in socks:
                sock.close()
    return Slope("memory, idle client connection", "KB", sizes, tuple(costs))


def statements() -> list[Slope]:
    sizes = (500, 1000, 2000)
    costs: dict[str, list[float]] = {"p0": [], "p1": []}
    with fleet(proxies=2) as processes:
        key = processes.give_key(rate=100_000)
        for name in processes.proxies:
            post_until_admitted(Connection(processes.proxies[name][0], key), "SELECT 1")
        post_until_admitted(Connection(processes.proxies["p0"][0], key), CREATE)
        home = str(fetch_status(processes, "p0")["groups"][0]["home"])  # type: ignore[index]
        forwarding_proxy = "p1" if home == "p0" else "p0"
        conn = Connection(processes.proxies[forwarding_proxy][0], key)
        for size in sizes:
            before = {n: cpu_s(processes.running[n].pid) for n in costs}
            for _ in range(size):
                conn.post(SEARCH, "A1")
            for name in costs:
                used_s = cpu_s(processes.running[name].pid) - before[name]
                costs[name].append(used_s * 1000)
    return [
        Slope("time, statement, ingress", "ms", sizes, tuple(costs[forwarding_proxy])),
        Slope("time, statement, home", "ms", sizes, tuple(costs[home])),
    ]


def group_value(name: str, servers: Sequence[dict[str, object]]) -> dict[str, object]:
    start = {"term": 1, "position": 0, "previous": 0}
    primary = servers[0]["name"]
    return {
        "name": name,
        "term": 1,
        "primary": primary,
        "servers": servers,
        "starts": [start],
    }


def remote_servers() -> list[dict[str, object]]:
    """Return servers of other failure domains, which no home of the fleet monitors."""
    return [
        {"name": f"x{n}", "host": "127.0.0.1", "port": 9, "failure_domain": f"x{n}"}
        for n in range(3)
    ]


def objects(
    name: str, sizes: tuple[int, ...], value: Callable[[int], tuple[str, str, object]]
) -> list[Slope]:
    memory, cpu_ms = [], []
    for size in sizes:
        with fleet() as processes:
            pid = processes.running["p0"].pid
            time.sleep(SETTLE_S)
            before, cpu = rss_kb(pid), cpu_s(pid)
            for number in range(size):
                kind, object_name, content = value(number)
                put(processes, kind, object_name, content)
            time.sleep(SETTLE_S)
            memory.append(rss_kb(pid) - before)
            cpu_ms.append((cpu_s(pid) - cpu) * 1000)
    return [
        Slope(f"memory, {name}", "KB", sizes, tuple(memory)),
        Slope(f"time, change of one {name}", "ms", sizes, tuple(cpu_ms)),
    ]


def group_object(number: int) -> tuple[str, str, object]:
    return "group", f"g{number}", group_value(f"g{number}", remote_servers())


def key_object(number: int) -> tuple[str, str, object]:
    content = {"customer": "tala", "salt": "00" * 16, "digest": "00" * 32}
    return "key", f"{number:016x}", content


def instance_object(number: int) -> tuple[str, str, object]:
    content = {
        "name": f"far{number}",
        "failure_domain": "far",
        "address": "tcp://127.0.0.1:9",
    }
    return "instance", f"far{number}", content


def rows() -> list[Slope]:
    sizes = (50, 500, 5000)
    memory, cpu_ms, in_force = [], [], []
    for size in sizes:
        with fleet() as processes:
            pid = processes.running["p0"].pid
            table = processes.folder / "table.csv"
            lines = [f"customer{n},register,1,10,10,1\n" for n in range(size)]
            table.write_text(TABLE_HEADER + "".join(lines))
            time.sleep(SETTLE_S)
            before, cpu = rss_kb(pid), cpu_s(pid)
            args = ["--platform", processes.platform, "--file", str(table)]
            processes.run_command("table", "import", *args)
            begun = time.monotonic()
            wait_until(lambda: fetch_status(processes, "p0")["table_rows"] == size)  # noqa: B023
            in_force.append(time.monotonic() - begun)
            memory.append(rss_kb(pid) - before)
            cpu_ms.append((cpu_s(pid) - cpu) * 1000)
    return [
        Slope("memory, row of the table", "KB", sizes, tuple(memory)),
        Slope("time, row of an imported table", "ms", sizes, tuple(cpu_ms)),
        Slope("seconds after the import, row", "s", sizes, tuple(in_force)),
    ]


def homes() -> list[Slope]:
    sizes, cpu, memory = (1, 4, 12), [], []
    for size in sizes:
        with fleet() as processes:
            pid = processes.running["p0"].pid
            key = processes.give_key(rate=100_000)
            port, _ = processes.servers["s0"]
            server = {
                "name": "s0",
                "host": "127.0.0.1",
                "port": port,
                "failure_domain": "d0",
            }
            post_until_admitted(Connection(processes.proxies["p0"][0], key), "SELECT 1")
            before = rss_kb(pid)
            for number in range(size - 1):
                name = f"g{number}"
                put(processes, "group", name, group_value(name, [server]))
            time.sleep(SETTLE_S)
            cpu.append(cpu_share(pid, IDLE_SAMPLE_S) * 100)
            memory.append(rss_kb(pid) - before)
    return [
        Slope("processor at rest, home of a server", "% of a core", sizes, tuple(cpu)),
        Slope("memory, home of a server", "KB", sizes, tuple(memory)),
    ]


def measure_idle() -> str:
    with fleet(proxies=2) as processes:
        time.sleep(2 * SETTLE_S)
        found = []
        for name in processes.proxies:
            pid = processes.running[name].pid
            found.append((rss_kb(pid) / 1024, cpu_share(pid, IDLE_SAMPLE_S) * 100))
        before = platform_calls(processes)
        time.sleep(IDLE_SAMPLE_S)
        rate = (
            (platform_calls(processes) - before)
            / IDLE_SAMPLE_S
            / len(processes.proxies)
        )
    memory = max(rss for rss, _ in found)
    share = max(cpu for _, cpu in found)
    return (
        f"A proxy at rest (one group, one other proxy): {memory:.1f} MB resident,"
        f" {share:.2f}% of a core, {rate:.2f} platform calls a second."
    )


def platform_calls(processes: Processes) -> int:
    counts: dict[str, int] = json.load(urlopen(f"{processes.platform}/calls"))
    return sum(counts.values())


def measure() -> str:
    lines = [
        measure_idle(),
        "",
        "| Slope | At | Measured | For each | Fixed | Largest error of the fit |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    found = [idle_connections(), *statements(), *homes(), *rows()]
    found += objects("group elsewhere", (50, 200, 600), group_object)
    found += objects("key", (50, 500, 2000), key_object)
    found += objects("instance elsewhere", (50, 200, 600), instance_object)
    lines += [slope.row() for slope in found]
    return "\n".join(lines) + "\n"


def main() -> int:
    text = measure()
    sys.stdout.write(text)
    if PAGE.exists():
        page = PAGE.read_text()
        PAGE.write_text(GENERATED_SECTION.sub(lambda m: m[1] + text + m[2], page))
    return os.EX_OK


if __name__ == "__main__":
    sys.exit(main())
