"""Pages of the documentation that are made from the code.

``python -m mangoramp.pages settings`` and ``... events`` print them; a test compares
them with the files.
"""

from __future__ import annotations

import inspect
import re
import sys
from collections.abc import Callable, Iterator
from dataclasses import MISSING, fields, is_dataclass
from typing import Any, get_type_hints

from .events import CATALOGUE
from .settings import ProxySettings
from .settings_types import allowed

ATTRIBUTE = re.compile(r"^ {4}(\w+): (.*(?:\n {8}.*)*)", re.MULTILINE)


def settings_page() -> str:
    """The page of settings."""
    lines = [
        "# Settings of a proxy",
        "",
        "`mangoramp proxy --settings FILE` reads them from YAML and starts only if all",
        "are right; `mangoramp check --settings FILE` names every mistake at once.",
        "This page is made by `python -m mangoramp.pages settings`.",
        "",
        "| Setting | Allowed | Default | What it is |",
        "| --- | --- | --- | --- |",
    ]
    lines += _settings_rows(ProxySettings, "")
    return "\n".join(lines) + "\n"


def events_page() -> str:
    """The page of log events."""
    lines = [
        "# Log events",
        "",
        "Each line of the log is one of these numbered events. A number is never used",
        "again. The facts of a line are fields of their own; none holds a key or a",
        "statement's parameter.",
        "This page is made by `python -m mangoramp.pages events`.",
        "",
        "| Number | Level | Event |",
        "| --- | --- | --- |",
    ]
    events = sorted(CATALOGUE, key=lambda event: event.number)
    lines += [f"| {e.number} | {e.level} | {e.text} |" for e in events]
    return "\n".join(lines) + "\n"


def _settings_rows(type_: Any, path: str) -> Iterator[str]:
    hints = get_type_hints(type_, include_extras=True)
    texts = _attributes(type_)
    for field in fields(type_):
        kind = hints[field.name]
        name = f"{path}{field.name}"
        if is_dataclass(kind):
            yield from _settings_rows(kind, f"{name}.")
            continue
        default = "required" if field.default is MISSING else f"`{field.default}`"
        yield f"| `{name}` | {allowed(kind)} | {default} | {texts[field.name]} |"


def _attributes(type_: Any) -> dict[str, str]:
    doc = inspect.getdoc(type_) or ""
    return {name: " ".join(text.split()) for name, text in ATTRIBUTE.findall(doc)}


PAGES: dict[str, Callable[[], str]] = {
    "settings": settings_page,
    "events": events_page,
}

if __name__ == "__main__":
    sys.stdout.write(PAGES[sys.argv[1]]())
