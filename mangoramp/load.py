"""A load generator: sends requests at set rates over HTTP and counts the outcomes."""

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
from .operators.output import ExitCode, print_json, print_table

MAX_TOTAL_RATE = 5_000.0
MAX_DURATION_S = 600.0
MAX_IN_FLIGHT = 1_000
INITIAL_SESSIONS = 8
MIN_LATENCY_US, MAX_LATENCY_US, HISTOGRAM_DIGITS = 1, 120_000_000, 3
CREATE_TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS load_sheet (id TEXT PRIMARY KEY, revision INTEGER)"
)
INSERT_SQL = "INSERT INTO load_sheet VALUES ($1, $2)"
SELECT_SQL = "SELECT id, revision FROM load_sheet WHERE id = $1"


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """The load to generate.

    Attributes:
        urls: The proxies.
        group: The database group.
        keys: The customers' keys by name.
        rate: Requests per second of each customer.
        seconds: Duration of the load.
        read_share: Share of reads, from 0 to 1.
        seed: Seed of all random choices.
        in_flight: Maximum requests of each customer in flight; others are dropped.
    """

    urls: tuple[str, ...]
    group: str
    keys: dict[str, str]
    rate: float
    seconds: float
    read_share: float
    seed: int
    in_flight: int


class CustomerSummary(msgspec.Struct, frozen=True):
    """The outcomes and latencies of one customer's requests.

    Attributes:
        customer: The customer's name.
        sent: Requests sent.
        dropped: Requests not sent because too many were in flight.
        outcomes: Requests by outcome: ``done`` or ``outcome code``.
        replica_share: Share of the reads that replicas served.
        stale: Reads that did not return the session's own write.
        p50_ms: Median latency of the requests done, from when each was due.
        p99_ms: 99th percentile of these latencies.
        max_ms: Maximum of these latencies.
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
class _Counters:
    sent: int = 0
    dropped: int = 0
    stale: int = 0
    reads: int = 0
    replica_reads: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, HISTOGRAM_DIGITS
        )
    )


class LoadGenerator:
    """Generates one customer's load.

    Args:
        name: The customer's name.
        load: The load to generate.
        run_id: Prefix of the row ids, which keeps them distinct from other runs.
    """

    def __init__(self, name: str, load: LoadOptions, run_id: str) -> None:
        self._name = name
        self._load = load
        self._run_id = run_id
        self._rng = random.Random(f"{load.seed} {name}")
        no_retries = RetryBudget(retry_ratio=0.0, capacity=0.0)
        key = load.keys[name]
        self._client = Client(
            load.urls, key, budget=no_retries, max_connections=load.in_flight
        )
        self._idle_sessions = [
            _SessionState(self._client.session()) for _ in range(INITIAL_SESSIONS)
        ]
        self._counters = _Counters()
        self._insert_count = 0
        self._max_in_flight = load.in_flight

    async def run(self) -> CustomerSummary:
        """Send requests at the rate, then wait for the outstanding ones."""
        loop = asyncio.get_running_loop()
        started = due_at = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        while due_at - started < self._load.seconds:
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            if len(tasks) < self._max_in_flight:
                task = asyncio.ensure_future(self._send_request(due_at))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            else:
                self._counters.dropped += 1
            due_at += self._rng.expovariate(self._load.rate)
        await asyncio.gather(*tasks)
        self._client.close()
        return self._summarize()

    async def _send_request(self, due_at: float) -> None:
        state = (
            self._idle_sessions.pop()
            if self._idle_sessions
            else _SessionState(self._client.session())
        )
        counters = self._counters
        counters.sent += 1
        if state.row_id and self._rng.random() < self._load.read_share:
            done = await self._read(state)
        else:
            done = await self._write(state)
        if done:
            latency_us = (asyncio.get_running_loop().time() - due_at) * 1e6
            counters.latencies.record_value(
                max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(latency_us)))
            )
        self._idle_sessions.append(state)

    async def _read(self, state: _SessionState) -> bool:
        answer = await state.session.run(self._load.group, SELECT_SQL, state.row_id)
        if not isinstance(answer, Success):
            self._record_fault(answer.failure().outcome, answer.failure().code)
            return False
        self._counters.outcomes[Outcome.DONE.value] += 1
        self._counters.reads += 1
        self._counters.replica_reads += answer.unwrap().replica
        self._counters.stale += not answer.unwrap().rows
        return True

    async def _write(self, state: _SessionState) -> bool:
        self._insert_count += 1
        row_id = f"{self._run_id}-{self._name}-{self._insert_count}"
        answer = await state.session.run(self._load.group, INSERT_SQL, row_id, 1)
        if not isinstance(answer, Success):
            self._record_fault(answer.failure().outcome, answer.failure().code)
            return False
        self._counters.outcomes[Outcome.DONE.value] += 1
        state.row_id = row_id
        return True

    def _record_fault(self, outcome: str, code: str) -> None:
        self._counters.outcomes[f"{outcome} {code}"] += 1

    def _summarize(self) -> CustomerSummary:
        counters = self._counters
        latencies = counters.latencies
        return CustomerSummary(
            customer=self._name,
            sent=counters.sent,
            dropped=counters.dropped,
            outcomes=dict(counters.outcomes),
            replica_share=counters.replica_reads / max(1, counters.reads),
            stale=counters.stale,
            p50_ms=latencies.get_value_at_percentile(50) / 1000,
            p99_ms=latencies.get_value_at_percentile(99) / 1000,
            max_ms=latencies.get_max_value() / 1000,
        )


@dataclass(slots=True)
class _SessionState:
    session: Session
    row_id: str = ""


async def run_load(load: LoadOptions) -> tuple[CustomerSummary, ...]:
    """Create the table and generate the load of all customers.

    Args:
        load: The load to generate.

    Returns:
        A summary per customer; none if the table could not be created.
    """
    client = Client(load.urls, next(iter(load.keys.values())))
    created = await client.session().run(load.group, CREATE_TABLE_SQL)
    client.close()
    if not isinstance(created, Success):
        print(f"mangoramp: {created.failure().message}", file=sys.stderr)
        return ()
    run_id = f"{load.seed}-{time.time_ns():x}"
    generators = [LoadGenerator(name, load, run_id) for name in load.keys]
    return tuple(await asyncio.gather(*(g.run() for g in generators)))


def add_load_command(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``mangoramp load``."""
    parser.add_argument("--url", action="append", required=True, help="a proxy")
    parser.add_argument("--group", required=True)
    parser.add_argument("--key", action="append", required=True, metavar="CUSTOMER=KEY")
    parser.add_argument(
        "--rate", type=float, default=20.0, help="requests per second of each customer"
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--read-share", type=float, default=0.8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--in-flight",
        type=int,
        default=100,
        help="maximum requests in flight of each customer",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=_run_load_command)


def _run_load_command(args: argparse.Namespace) -> ExitCode:
    keys = dict(text.partition("=")[::2] for text in args.key)
    mistakes = _find_mistakes(args, keys)
    for mistake in mistakes:
        print(f"mangoramp: {mistake}", file=sys.stderr)
    if mistakes:
        return ExitCode.USAGE
    load = LoadOptions(
        urls=tuple(args.url),
        group=args.group,
        keys=keys,
        rate=args.rate,
        seconds=args.seconds,
        read_share=args.read_share,
        seed=args.seed,
        in_flight=args.in_flight,
    )
    summaries = asyncio.run(run_load(load))
    if not summaries:
        return ExitCode.FAILED
    if args.json:
        print_json(summaries)
    else:
        _print_summaries(summaries)
    return ExitCode.OK


def _find_mistakes(args: argparse.Namespace, keys: dict[str, str]) -> list[str]:
    bounds = (
        ("--rate for all customers", args.rate * len(keys), 0.01, MAX_TOTAL_RATE),
        ("--seconds", args.seconds, 0.1, MAX_DURATION_S),
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


def _print_summaries(summaries: tuple[CustomerSummary, ...]) -> None:
    headings = ("CUSTOMER", "SENT", "DROPPED", "P50 MS", "P99 MS", "REPLICAS", "STALE")
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
    print_table(headings, rows)
    print()
    outcomes = [
        (summary.customer, name, count)
        for summary in summaries
        for name, count in sorted(summary.outcomes.items())
    ]
    print_table(("CUSTOMER", "OUTCOME", "REQUESTS"), outcomes)
