"""A load tool: requests at given rates over HTTP, and what became of them."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram
from returns.result import Success

from .client import Client, RetryBudget, Session
from .errors import Outcome
from .operators.output import Exit, print_json, print_table

MAX_RATE = 5_000.0
MAX_SECONDS = 600.0
MAX_IN_FLIGHT = 1_000
SESSIONS = 8
LOWEST_US, HIGHEST_US, DIGITS = 1, 120_000_000, 3
CREATE = "CREATE TABLE IF NOT EXISTS load_sheet (id TEXT PRIMARY KEY, revision INTEGER)"
ISSUE = "INSERT INTO load_sheet VALUES ($1, $2)"
SEARCH = "SELECT id, revision FROM load_sheet WHERE id = $1"


@dataclass(frozen=True, slots=True)
class Load:
    """What to send.

    Attributes:
        urls: The proxies.
        group: The database group.
        keys: The customers' keys by name.
        rate: Requests a second of each customer.
        seconds: For how long.
        read_share: Share of reads, from 0 to 1.
        seed: Seed of all choices.
        in_flight: The most requests at the same time; those over it are dropped.
    """

    urls: tuple[str, ...]
    group: str
    keys: dict[str, str]
    rate: float
    seconds: float
    read_share: float
    seed: int
    in_flight: int


class Summary(msgspec.Struct, frozen=True):
    """What became of a customer's requests.

    Attributes:
        customer: Whose requests.
        sent: How many were sent.
        dropped: How many were due while too many were in flight.
        outcomes: How many ended how: ``done`` or ``outcome code``.
        replica_share: The share of the reads that a replica served.
        stale: Reads that did not show the session's own write.
        p50_ms: Median time from when a request was due, of those done.
        p99_ms: 99th percentile of the same.
        max_ms: The longest of the same.
    """

    customer: str
    sent: int
    dropped: int
    outcomes: dict[str, int]
    replica_share: float
    stale: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(slots=True)
class _Counts:
    sent: int = 0
    dropped: int = 0
    stale: int = 0
    reads: int = 0
    replica_reads: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    times: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )


class Customer:
    """Sends one customer's requests.

    Args:
        name: The customer's name.
        load: What to send.
        run: Makes the names of this run's rows unlike those of others.
    """

    def __init__(self, name: str, load: Load, run: str) -> None:
        self._name = name
        self._load = load
        self._run = run
        self._rng = random.Random(f"{load.seed} {name}")
        no_retries = RetryBudget(share=0.0, most=0.0)
        key = load.keys[name]
        self._client = Client(
            load.urls, key, budget=no_retries, max_connections=load.in_flight
        )
        self._idle = [_Sheet(self._client.session()) for _ in range(SESSIONS)]
        self._counts = _Counts()
        self._issued = 0
        self._room = load.in_flight

    async def send(self) -> Summary:
        """Send requests at the rate, then wait for the last."""
        loop = asyncio.get_running_loop()
        started = due = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        while due - started < self._load.seconds:
            await asyncio.sleep(max(0.0, due - loop.time()))
            if len(tasks) < self._room:
                task = asyncio.ensure_future(self._one(due))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            else:
                self._counts.dropped += 1
            due += self._rng.expovariate(self._load.rate)
        await asyncio.gather(*tasks)
        self._client.close()
        return self._summary()

    async def _one(self, due: float) -> None:
        sheet = self._idle.pop() if self._idle else _Sheet(self._client.session())
        counts = self._counts
        counts.sent += 1
        if sheet.id and self._rng.random() < self._load.read_share:
            done = await self._read(sheet)
        else:
            done = await self._write(sheet)
        if done:
            late_us = (asyncio.get_running_loop().time() - due) * 1e6
            counts.times.record_value(max(LOWEST_US, min(HIGHEST_US, int(late_us))))
        self._idle.append(sheet)

    async def _read(self, sheet: _Sheet) -> bool:
        answer = await sheet.session.run(self._load.group, SEARCH, sheet.id)
        if not isinstance(answer, Success):
            self._refused(answer.failure().outcome, answer.failure().code)
            return False
        self._counts.outcomes[Outcome.DONE.value] += 1
        self._counts.reads += 1
        self._counts.replica_reads += answer.unwrap().replica
        self._counts.stale += not answer.unwrap().rows
        return True

    async def _write(self, sheet: _Sheet) -> bool:
        self._issued += 1
        name = f"{self._run}-{self._name}-{self._issued}"
        answer = await sheet.session.run(self._load.group, ISSUE, name, 1)
        if not isinstance(answer, Success):
            self._refused(answer.failure().outcome, answer.failure().code)
            return False
        self._counts.outcomes[Outcome.DONE.value] += 1
        sheet.id = name
        return True

    def _refused(self, outcome: str, code: str) -> None:
        self._counts.outcomes[f"{outcome} {code}"] += 1

    def _summary(self) -> Summary:
        counts = self._counts
        times = counts.times
        return Summary(
            customer=self._name,
            sent=counts.sent,
            dropped=counts.dropped,
            outcomes=dict(counts.outcomes),
            replica_share=counts.replica_reads / max(1, counts.reads),
            stale=counts.stale,
            p50_ms=times.get_value_at_percentile(50) / 1000,
            p99_ms=times.get_value_at_percentile(99) / 1000,
            max_ms=times.get_max_value() / 1000,
        )


@dataclass(slots=True)
class _Sheet:
    session: Session
    id: str = ""


async def send(load: Load) -> tuple[Summary, ...]:
    """Send the requests of all customers.

    Args:
        load: What to send.
    """
    first = Client(load.urls, next(iter(load.keys.values())))
    made = await first.session().run(load.group, CREATE)
    first.close()
    if not isinstance(made, Success):
        print(f"mangoramp: {made.failure().message}", file=sys.stderr)
        return ()
    run = f"{load.seed}-{time.time_ns():x}"
    customers = [Customer(name, load, run) for name in load.keys]
    return tuple(await asyncio.gather(*(c.send() for c in customers)))


def add_load_command(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``mangoramp load``."""
    parser.add_argument("--url", action="append", required=True, help="a proxy")
    parser.add_argument("--group", required=True)
    parser.add_argument("--key", action="append", required=True, metavar="CUSTOMER=KEY")
    parser.add_argument("--rate", type=float, default=20.0, help="of each customer")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--read-share", type=float, default=0.8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--in-flight", type=int, default=100, help="of each customer")
    parser.add_argument("--json", action="store_true", help="answer in JSON")
    parser.set_defaults(run=_load)


def _load(args: argparse.Namespace) -> Exit:
    keys = dict(text.partition("=")[::2] for text in args.key)
    mistakes = _mistakes(args, keys)
    for mistake in mistakes:
        print(f"mangoramp: {mistake}", file=sys.stderr)
    if mistakes:
        return Exit.USAGE
    load = Load(
        urls=tuple(args.url),
        group=args.group,
        keys=keys,
        rate=args.rate,
        seconds=args.seconds,
        read_share=args.read_share,
        seed=args.seed,
        in_flight=args.in_flight,
    )
    found = asyncio.run(send(load))
    if not found:
        return Exit.FAILED
    if args.json:
        print_json(found)
    else:
        _print(found)
    return Exit.OK


def _mistakes(args: argparse.Namespace, keys: dict[str, str]) -> list[str]:
    bounds = (
        ("--rate for all customers", args.rate * len(keys), 0.01, MAX_RATE),
        ("--seconds", args.seconds, 0.1, MAX_SECONDS),
        ("--read-share", args.read_share, 0.0, 1.0),
        ("--in-flight", args.in_flight, 1, MAX_IN_FLIGHT),
    )
    mistakes = [
        f"{name}: found {value:g}, allowed: {low:g} to {high:g}"
        for name, value, low, high in bounds
        if not low <= value <= high
    ]
    if not all(keys.values()):
        mistakes.append("--key: allowed: CUSTOMER=KEY")
    return mistakes


def _print(summaries: tuple[Summary, ...]) -> None:
    head = ("CUSTOMER", "SENT", "DROPPED", "P50 MS", "P99 MS", "REPLICAS", "STALE")
    rows = [
        (
            s.customer,
            s.sent,
            s.dropped,
            f"{s.p50_ms:.1f}",
            f"{s.p99_ms:.1f}",
            f"{s.replica_share:.0%}",
            s.stale,
        )
        for s in summaries
    ]
    print_table(head, rows)
    print()
    outcomes = [
        (summary.customer, name, count)
        for summary in summaries
        for name, count in sorted(summary.outcomes.items())
    ]
    print_table(("CUSTOMER", "OUTCOME", "REQUESTS"), outcomes)
