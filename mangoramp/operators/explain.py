"""Tells one request's way from the logs of several instances."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .. import events
from .output import Exit

BEFORE_S = 10.0  # what an instance came to believe so long before still decides
AFTER_S = 1.0  # clocks of instances differ by less, as a rule
HIDDEN = frozenset({"time", "level", "message", "event", "instance"})

BELIEFS = frozenset(
    event.number
    for event in (
        events.INSTANCE_STARTED,
        events.INSTANCE_STOPPING,
        events.LINES_DROPPED,
        events.DEPLOYMENT_CHANGED,
        events.ENDPOINT_CHANGED,
        events.ENDPOINT_REMOVED,
        events.PRIMARY_CHANGED,
        events.PEER_SILENT,
        events.PEER_REACHABLE,
        events.HOME_SUSPECTED,
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
class Line:
    """One line of a log.

    Attributes:
        time: When it was written, in seconds since 1970 by its instance's clock.
        instance: Who wrote it.
        event: The event's number.
        message: What it says.
        facts: Its other fields, as text.
        request_id: The request that it is about, empty for none.
    """

    time: float
    instance: str
    event: int
    message: str
    facts: str
    request_id: str = ""


def read_lines(texts: Iterable[str], *, default_instance: str) -> Iterator[Line]:
    """Read a log; what is no whole line of it is passed over.

    Args:
        texts: The lines; other text may stand before the JSON object.
        default_instance: The instance of lines that name none.
    """
    for text in texts:
        start = text.find('{"')
        try:
            found = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if not isinstance(found, dict) or not isinstance(found.get("event"), int):
            continue
        yield _line(found, default_instance)


def explain(request_id: str, lines: Iterable[Line]) -> list[Line]:
    """The lines about a request, and what its instances came to believe meanwhile.

    Args:
        request_id: The request's id.
        lines: The lines of all logs.
    """
    known = list(lines)
    own = [line for line in known if line.request_id == request_id]
    if not own:
        return []
    instances = {line.instance for line in own}
    first = min(line.time for line in own) - BEFORE_S
    last = max(line.time for line in own) + AFTER_S
    beliefs = [
        line
        for line in known
        if line.event in BELIEFS
        and line.instance in instances
        and first <= line.time <= last
    ]
    return sorted({*own, *beliefs})


def add_explain_command(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``mangoramp explain``."""
    parser.add_argument("id", help="the request's id, as its caller sent it")
    parser.add_argument("files", nargs="+", type=Path, help="logs, one an instance")
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> Exit:
    lines: list[Line] = []
    for path in args.files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            print(f"{path}: {exc.strerror}", file=sys.stderr)
            continue
        lines.extend(read_lines(text.splitlines(), default_instance=path.stem))
    found = explain(args.id, lines)
    if not found:
        print(f"no line is about {args.id}", file=sys.stderr)
        return Exit.FAILED
    started = next(line.time for line in found if line.request_id)
    for line in found:
        mark = ">" if line.request_id else " "
        print(
            f"{mark} {line.time - started:+9.3f} s  {line.instance:<18}"
            f" {line.event} {line.message}  {line.facts}"
        )
    return Exit.OK


def _line(found: dict[str, Any], default_instance: str) -> Line:
    facts = " ".join(f"{k}={v}" for k, v in found.items() if k not in HIDDEN)
    time = found.get("time")
    return Line(
        time=float(time) if isinstance(time, int | float) else 0.0,
        instance=str(found.get("instance") or default_instance),
        event=found["event"],
        message=str(found.get("message", "")),
        facts=facts,
        request_id=str(found.get("id", "")),
    )
