"""Measures the slopes that docs/CAPACITY.md rests on, and writes its tables.

``python -m benchmarks.capacity`` starts small fleets on loopback, one at a time, and
replaces what stands between the page's markers.
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
MARKED = re.compile(r"(<!-- slopes -->\n).*?(<!-- end -->)", re.DOTALL)
REST_S = 5.0
SETTLE_S = 1.0
IN_FORCE_S = 60.0
HEAD = "customer,group,weight,rate,burst,read_age_s\n"
CREATE = "CREATE TABLE sheet (id TEXT PRIMARY KEY, revision INTEGER)"
SEARCH = "SELECT id, revision FROM sheet WHERE id = $1"


@dataclass(frozen=True)
class Slope:
    """A cost that grows with a count.

    Attributes:
        name: What is counted.
        unit: The unit of the cost.
        sizes: The counts at which it was measured.
        costs: What was measured at each.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]

    @property
    def fit(self) -> tuple[float, float]:
        """Cost for each and fixed cost, by least squares."""
        found = statistics.linear_regression(self.sizes, self.costs)
        return found.slope, found.intercept

    @property
    def error(self) -> float:
        """The largest distance from the fit, as a part of the largest cost."""
        each, fixed = self.fit
        pairs = zip(self.sizes, self.costs, strict=True)
        most = max(map(abs, self.costs)) or 1.0
        return max(abs(cost - fixed - each * size) for size, cost in pairs) / most

    def row(self) -> str:
        """The slope's row in the page's table."""
        each, fixed = self.fit
        sizes = ", ".join(f"{size:g}" for size in self.sizes)
        costs = ", ".join(f"{cost:.4g}" for cost in self.costs)
        return (
            f"| {self.name} | {sizes} | {costs} {self.unit} | {each:.4g} |"
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


def report(processes: Processes, name: str) -> dict[str, object]:
    port = processes.proxies[name][1]
    found: dict[str, object] = json.load(urlopen(f"http://127.0.0.1:{port}/v1/status"))
    return found


def wait_until(done: Callable[[], bool]) -> None:
    deadline = time.monotonic() + IN_FORCE_S
    while not done():
        if time.monotonic() > deadline:
            raise TimeoutError
        time.sleep(0.01)


def used(pid: int, seconds: float) -> float:
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
        home = str(report(processes, "p0")["groups"][0]["home"])  # type: ignore[index]
        entry = "p1" if home == "p0" else "p0"
        conn = Connection(processes.proxies[entry][0], key)
        for size in sizes:
            before = {n: cpu_s(processes.running[n].pid) for n in costs}
            for _ in range(size):
                conn.post(SEARCH, "A1")
            for name in costs:
                spent = cpu_s(processes.running[name].pid) - before[name]
                costs[name].append(spent * 1000)
    return [
        Slope("time, statement, ingress", "ms", sizes, tuple(costs[entry])),
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


def far_servers() -> list[dict[str, object]]:
    """Servers of a group that no home here follows: another failure domain's."""
    return [
        {"name": f"x{n}", "host": "127.0.0.1", "port": 9, "failure_domain": f"x{n}"}
        for n in range(3)
    ]


def objects(
    name: str, sizes: tuple[int, ...], value: Callable[[int], tuple[str, str, object]]
) -> list[Slope]:
    memory, spent = [], []
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
            spent.append((cpu_s(pid) - cpu) * 1000)
    return [
        Slope(f"memory, {name}", "KB", sizes, tuple(memory)),
        Slope(f"time, change of one {name}", "ms", sizes, tuple(spent)),
    ]


def a_group(number: int) -> tuple[str, str, object]:
    return "group", f"g{number}", group_value(f"g{number}", far_servers())


def a_key(number: int) -> tuple[str, str, object]:
    content = {"customer": "tala", "salt": "00" * 16, "digest": "00" * 32}
    return "key", f"{number:016x}", content


def a_peer(number: int) -> tuple[str, str, object]:
    content = {
        "name": f"far{number}",
        "failure_domain": "far",
        "address": "tcp://127.0.0.1:9",
    }
    return "instance", f"far{number}", content


def rows() -> list[Slope]:
    sizes = (50, 500, 5000)
    memory, spent, in_force = [], [], []
    for size in sizes:
        with fleet() as processes:
            pid = processes.running["p0"].pid
            table = processes.folder / "table.csv"
            lines = [f"customer{n},register,1,10,10,1\n" for n in range(size)]
            table.write_text(HEAD + "".join(lines))
            time.sleep(SETTLE_S)
            before, cpu = rss_kb(pid), cpu_s(pid)
            args = ["--platform", processes.platform, "--file", str(table)]
            processes.run_command("table", "import", *args)
            begun = time.monotonic()
            wait_until(lambda: report(processes, "p0")["table_rows"] == size)  # noqa: B023
            in_force.append(time.monotonic() - begun)
            memory.append(rss_kb(pid) - before)
            spent.append((cpu_s(pid) - cpu) * 1000)
    return [
        Slope("memory, row of the table", "KB", sizes, tuple(memory)),
        Slope("time, row of an imported table", "ms", sizes, tuple(spent)),
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
            cpu.append(used(pid, REST_S) * 100)
            memory.append(rss_kb(pid) - before)
    return [
        Slope("processor at rest, home of a server", "% of a core", sizes, tuple(cpu)),
        Slope("memory, home of a server", "KB", sizes, tuple(memory)),
    ]


def at_rest() -> str:
    with fleet(proxies=2) as processes:
        time.sleep(2 * SETTLE_S)
        found = []
        for name in processes.proxies:
            pid = processes.running[name].pid
            found.append((rss_kb(pid) / 1024, used(pid, REST_S) * 100))
        before = calls(processes)
        time.sleep(REST_S)
        rate = (calls(processes) - before) / REST_S / len(processes.proxies)
    memory = max(rss for rss, _ in found)
    share = max(cpu for _, cpu in found)
    return (
        f"A proxy at rest (one group, one other proxy): {memory:.1f} MB resident,"
        f" {share:.2f}% of a core, {rate:.2f} platform calls a second."
    )


def calls(processes: Processes) -> int:
    counts: dict[str, int] = json.load(urlopen(f"{processes.platform}/calls"))
    return sum(counts.values())


def measure() -> str:
    lines = [
        at_rest(),
        "",
        "| Slope | At | Measured | For each | Fixed | Largest error of the fit |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    found = [idle_connections(), *statements(), *homes(), *rows()]
    found += objects("group elsewhere", (50, 200, 600), a_group)
    found += objects("key", (50, 500, 2000), a_key)
    found += objects("instance elsewhere", (50, 200, 600), a_peer)
    lines += [slope.row() for slope in found]
    return "\n".join(lines) + "\n"


def main() -> int:
    text = measure()
    sys.stdout.write(text)
    if PAGE.exists():
        page = PAGE.read_text()
        PAGE.write_text(MARKED.sub(lambda m: m[1] + text + m[2], page))
    return os.EX_OK


if __name__ == "__main__":
    sys.exit(main())
