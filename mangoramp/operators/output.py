"""Shared helpers of the operators' commands: platform calls, exit codes, printing."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable, Iterable, Sequence
from enum import IntEnum
from typing import Any, TypeVar

import msgspec
from returns.result import Result

from ..errors import Code, Fault, Outcome
from ..platform.client import PlatformClient

T = TypeVar("T")


class ExitCode(IntEnum):
    """The exit codes of all commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4


def call_platform(
    url: str, action: Callable[[PlatformClient], Awaitable[Result[T, Fault]]]
) -> Result[T, Fault]:
    """Run an action with a new client of the platform, then close the client."""
    return asyncio.run(_call(url, action))


def report_fault(fault: Fault) -> ExitCode:
    """Print a fault and return the exit code for it."""
    print(f"mangoramp: {fault.message}", file=sys.stderr)
    if fault.outcome is Outcome.UNKNOWN and fault.code is not Code.NO_SERVER:
        return ExitCode.UNKNOWN
    if fault.code is Code.CONFLICT:
        return ExitCode.CONFLICT
    return ExitCode.USAGE if fault.code is Code.BAD_REQUEST else ExitCode.FAILED


def print_json(value: object) -> None:
    """Print a value as JSON."""
    text: Any = json.loads(msgspec.json.encode(value))
    print(json.dumps(text, indent=2, ensure_ascii=False))


def print_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows as a table with aligned columns."""
    lines = [[str(cell) for cell in line] for line in (headings, *rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headings))]
    for line in lines:
        cells = [c.ljust(w) for c, w in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())


async def _call(
    url: str, action: Callable[[PlatformClient], Awaitable[Result[T, Fault]]]
) -> Result[T, Fault]:
    client = PlatformClient(url)
    try:
        return await action(client)
    finally:
        client.close()
