"""Traces one request through the logs of several instances."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .. import events
from .output import ExitCode

CONTEXT_BEFORE_S = 10.0  # state changes this recent can still affect a request
CONTEXT_AFTER_S = 1.0  # clocks of instances usually differ by less
EXCLUDED_FIELDS = frozenset({"time", "level", "message", "event", "instance"})

STATE_EVENTS = frozenset(
    event.number
    for event in (
        events.INSTANCE_STARTED,
        events.INSTANCE_STOPPING,
        events.INSTANCE_FAILED,
        events.LINES_DROPPED,
        events.DEPLOYMENT_CHANGED,
        events.ENDPOINT_CHANGED,
        events.ENDPOINT_REMOVED,
        events.PRIMARY_CHANGED,
        events.PEER_SILENT,
        events.PEER_REACHABLE,
        events.HOME_SUSPECTED,
        events.PINNED_UNKNOWN,
        events.PINNED_CLOSED,
        events.PLATFORM_LOST,
        events.PLATFORM_RECOVERED,
        events.SERVER_LOST,
        events.SERVER_RECOVERED,
        events.PROMOTION_CLAIMED,
        events.PROMOTION_ENDED,
        events.PROMOTION_SKIPPED,
    )
)


@dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """A log line.

    Attributes:
        time: When it was written, in seconds since 1970 by the instance's clock.
        instance: The instance that wrote it.
        event: The event's number.
        message: The event's text.
        fields: The other fields as text.
        request_id: Id of the request that it concerns, empty if none.
    """

    time: float
    instance: str
    event: int
    message: str
    fields: str
    request_id: str = ""


def parse_records(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Parse a log; text that is not a complete log line is skipped.

    Args:
        texts: The lines; other text may stand before the JSON object.
    """
    for text in texts:
        start = text.find('{"')
        try:
            record = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(record, dict) and isinstance(record.get("event"), int):
            yield record


def parse_log_lines(
    texts: Iterable[str], *, default_instance: str
) -> Iterator[LogLine]:
    """Parse a log like :func:`parse_records`.

    Args:
        texts: The lines; other text may stand before the JSON object.
        default_instance: The instance of lines without one.
    """
    for record in parse_records(texts):
        yield _line(record, default_instance)


def explain(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request and the state changes of its instances around it.

    Args:
        request_id: The request's id.
        lines: The lines of all logs.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.request_id == request_id]
    if not request_lines:
        return []
    instances = {line.instance for line in request_lines}
    first = min(line.time for line in request_lines) - CONTEXT_BEFORE_S
    last = max(line.time for line in request_lines) + CONTEXT_AFTER_S
    state_changes = [
        line
        for line in all_lines
        if line.event in STATE_EVENTS
        and line.instance in instances
        and first <= line.time <= last
    ]
    return sorted({*request_lines, *state_changes})


def add_explain_command(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``mangoramp explain``."""
    parser.add_argument("id", help="the request's id, as its caller sent it")
    parser.add_argument(
        "files", nargs="+", type=Path, help="log files, one per instance"
    )
    parser.set_defaults(run=_run_explain)


def _run_explain(args: argparse.Namespace) -> ExitCode:
    lines: list[LogLine] = []
    for path in args.files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            print(f"{path}: {exc.strerror}", file=sys.stderr)
            continue
        lines.extend(parse_log_lines(text.splitlines(), default_instance=path.stem))
    found = explain(args.id, lines)
    if not found:
        print(f"no log line has the id {args.id}", file=sys.stderr)
        return ExitCode.FAILED
    started = next(line.time for line in found if line.request_id)
    for line in found:
        mark = ">" if line.request_id else " "
        print(
            f"{mark} {line.time - started:+9.3f} s  {line.instance:<18}"
            f" {line.event} {line.message}  {line.fields}"
        )
    return ExitCode.OK


def _line(record: dict[str, Any], default_instance: str) -> LogLine:
    fields = " ".join(f"{k}={v}" for k, v in record.items() if k not in EXCLUDED_FIELDS)
    time = record.get("time")
    return LogLine(
        time=float(time) if isinstance(time, int | float) else 0.0,
        instance=str(record.get("instance") or default_instance),
        event=record["event"],
        message=str(record.get("message", "")),
        fields=fields,
        request_id=str(record.get("id", "")),
    )
