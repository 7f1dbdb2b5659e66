"""Ranks the reasons for which statements were refused, failed or answered late.

Answers the question of on-call engineers after a disturbance: what did callers lose, at
which moments, and why?
"""

from __future__ import annotations

import argparse
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .. import events
from .explain import parse_records
from .output import ExitCode, print_table

DEFAULT_OBJECTIVE_MS = 200.0
DEFAULT_INTERVAL_S = 2.0
MOST_ROWS = 20

NUMBER = re.compile(r"\d[\d.]*")

ROUTED_EVENTS = frozenset(
    event.number
    for event in (
        events.READ_ROUTED,
        events.WRITE_ROUTED,
        events.TRANSACTION_OPENED,
    )
)
RETRIED_EVENTS = frozenset(
    event.number
    for event in (
        events.READ_RETRIED,
        events.WRITE_RETRIED,
        events.TRANSACTION_RETRIED,
    )
)


@dataclass(frozen=True, slots=True)
class Loss:
    """A statement that did not get its answer in time.

    Attributes:
        ended_at: When it ended, in seconds since 1970 by the instance's clock.
        outcome: ``late``, ``refused`` if it has not run, otherwise ``failed``.
        reason: Why, with numbers and names of peers left out.
    """

    ended_at: float
    outcome: str
    reason: str


@dataclass(slots=True)
class _Statement:
    """What the log says of a statement that is still running."""

    routed_at: float | None = None
    is_forwarded: bool = False
    retry_reasons: Counter[str] = field(default_factory=Counter)

    def late_reason(self, ended_at: float, took_s: float) -> str:
        """Return what took most of the time of a late statement."""
        if self.retry_reasons:
            ((reason, _),) = self.retry_reasons.most_common(1)
            return f"retried: {reason}"
        if self.routed_at is None:
            return "inside its transaction"
        waited_s = self.routed_at - (ended_at - took_s)
        if waited_s > took_s / 2:
            return "waited for a connection or the primary"
        if self.is_forwarded:
            return "waited at the home or ran"
        return "ran"


@dataclass(frozen=True, slots=True)
class LossReport:
    """The statements of a stretch of logs.

    Attributes:
        succeeded: When each successful statement ended, in seconds since 1970.
        losses: The statements that were late or not served.
    """

    succeeded: tuple[float, ...]
    losses: tuple[Loss, ...]

    def by_reason(self) -> list[tuple[Loss, int]]:
        """Return an example of each outcome and reason and their count, most first."""
        counts = Counter((loss.outcome, loss.reason) for loss in self.losses)
        examples = {(loss.outcome, loss.reason): loss for loss in self.losses}
        return [(examples[key], count) for key, count in counts.most_common()]

    def by_interval(self, interval_s: float) -> dict[float, Counter[str]]:
        """Return the counts of outcomes by the start of the interval, in seconds."""
        found: defaultdict[float, Counter[str]] = defaultdict(Counter)
        for ended_at in self.succeeded:
            found[ended_at // interval_s * interval_s]["in time"] += 1
        for loss in self.losses:
            found[loss.ended_at // interval_s * interval_s][loss.outcome] += 1
        return dict(sorted(found.items()))


def find_losses(records: Iterable[dict[str, Any]], objective_s: float) -> LossReport:
    """Find the statements that were late or not served.

    Args:
        records: The log lines of all instances; those of an instance in order.
        objective_s: Seconds above which a statement is late.
    """
    running: defaultdict[str, _Statement] = defaultdict(_Statement)
    succeeded: list[float] = []
    losses: list[Loss] = []
    for record in records:
        number, request_id = record["event"], str(record.get("id", ""))
        at = _number(record.get("time"))
        if number in ROUTED_EVENTS:
            running[request_id].routed_at = at
            running[request_id].is_forwarded = bool(record.get("home"))
        elif number in RETRIED_EVENTS:
            reason = _generalize(record)
            running[request_id].retry_reasons[reason] += 1
        elif number == events.STATEMENT_DONE.number:
            took_s = _number(record.get("took_s"))
            statement = running.pop(request_id, _Statement())
            if took_s <= objective_s:
                succeeded.append(at)
            else:
                losses.append(Loss(at, "late", statement.late_reason(at, took_s)))
        elif number == events.STATEMENT_REFUSED.number:
            running.pop(request_id, None)
            has_not_run = record.get("outcome") == "not_run"
            outcome = "refused" if has_not_run else "failed"
            reason = f"{record.get('code', '')}: {_generalize(record)}"
            losses.append(Loss(at, outcome, reason))
    return LossReport(tuple(succeeded), tuple(losses))


def add_losses_command(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``mangoramp losses``."""
    parser.add_argument(
        "files", nargs="+", type=Path, help="log files, one per instance"
    )
    parser.add_argument(
        "--objective-ms",
        type=float,
        default=DEFAULT_OBJECTIVE_MS,
        help="a statement that takes longer is late (default: %(default)s)",
    )
    parser.add_argument(
        "--interval-s",
        type=float,
        default=DEFAULT_INTERVAL_S,
        help="seconds that a row of the timeline covers (default: %(default)s)",
    )
    parser.set_defaults(run=_run_losses)


def _run_losses(args: argparse.Namespace) -> ExitCode:
    if args.interval_s <= 0:
        print("mangoramp: --interval-s must be above 0", file=sys.stderr)
        return ExitCode.USAGE
    records: list[dict[str, Any]] = []
    has_read = False
    for path in args.files:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                records.extend(parse_records(lines))
                has_read = True
        except OSError as exc:
            print(f"{path}: {exc.strerror}", file=sys.stderr)
    if not has_read:
        return ExitCode.FAILED
    report = find_losses(records, args.objective_ms / 1000)
    _print_report(report, args.interval_s)
    return ExitCode.OK


def _print_report(report: LossReport, interval_s: float) -> None:
    total = len(report.succeeded) + len(report.losses)
    print(f"{total} statements, {len(report.losses)} late or not served")
    if not total:
        return
    print()
    rows = [
        (count, f"{count / total:.2%}", loss.outcome, loss.reason)
        for loss, count in report.by_reason()[:MOST_ROWS]
    ]
    print_table(("count", "of all", "outcome", "reason"), rows)
    print()
    intervals = report.by_interval(interval_s)
    first = min(intervals)
    outcomes = ("in time", "late", "refused", "failed")
    print_table(
        ("from second", *outcomes),
        (
            (f"{start - first:g}", *(counts[outcome] for outcome in outcomes))
            for start, counts in intervals.items()
        ),
    )


def _generalize(record: dict[str, Any]) -> str:
    """Return the reason of a log line without what differs between instances."""
    reason = str(record.get("reason", ""))
    named = [str(record.get(key) or "") for key in ("peer", "server")]
    for name in (n for n in named if n):
        reason = reason.replace(name, "#")
    reason = re.sub(r"\b(home|proxy) \S+", r"\1 #", reason)
    return NUMBER.sub("#", reason)


def _number(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0
