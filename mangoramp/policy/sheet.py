"""The operators' table as a CSV file, as spreadsheets write it."""

from __future__ import annotations

import csv
import io
import re
from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .table import COLUMNS, MAX_NAME_CHARS, NUMBERS, Column, Row

BOM = "\ufeff"
VERSION = re.compile(r'"?\s*#\s*version\s+(\d{1,18})[\s",;]*')
NUMBER = re.compile(r"[+-]?\d+(\.\d*)?([eE][+-]?\d{1,3})?")
DELIMITERS = (",", ";", "\t")
MAX_SHOWN_CHARS = 40


@dataclass(frozen=True, slots=True)
class Mistake:
    """One thing in a sheet that is not allowed.

    Attributes:
        line: The line in the file, from 1.
        column: The column's name, empty where the whole line is meant.
        found: What stands there.
        allowed: What may stand there.
    """

    line: int
    column: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"line {self.line}" + (f", {self.column}" if self.column else "")
        return f"{where}: found {_shown(self.found)}, allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class Sheet:
    """A table with the version at which it was exported.

    Attributes:
        version: The version of the table that was edited, 0 for a first table.
        rows: The rows.
    """

    version: int
    rows: tuple[Row, ...]


def parse_sheet(
    text: str, groups: Collection[str] | None = None
) -> Result[Sheet, tuple[Mistake, ...]]:
    """Read a table from CSV.

    Byte order mark, semicolons or tabs between cells, CRLF, blanks around cells and
    empty lines at the end are taken as spreadsheets write them.

    Args:
        text: The file's text.
        groups: The database groups that there are, None if they are not known.

    Returns:
        The sheet, or every mistake in it.
    """
    return _Reader(text, groups).read()


def format_sheet(sheet: Sheet) -> str:
    """Write a table as CSV, with its version in the first line."""
    out = io.StringIO()
    out.write(f"# version {sheet.version}\n")
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in sorted(sheet.rows, key=lambda row: row.name):
        numbers = [format_number(getattr(row, column.name)) for column in NUMBERS]
        writer.writerow([row.customer, row.group, *numbers])
    return out.getvalue()


def format_number(value: float) -> str:
    """Write a number so that it reads back the same."""
    return str(int(value)) if value == int(value) else repr(value)


def parse_number(text: str, column: Column) -> float | None:
    """Read a number of a column, None if the column does not allow it."""
    if not NUMBER.fullmatch(text):
        return None
    value = float(text)
    return value if column.allows(value) else None


class _Reader:
    def __init__(self, text: str, groups: Collection[str] | None) -> None:
        self._groups = groups
        self._mistakes: list[Mistake] = []
        self._version = 0
        self._lines = self._split(text.removeprefix(BOM))

    def read(self) -> Result[Sheet, tuple[Mistake, ...]]:
        """Read all lines."""
        if not self._lines:
            self._miss(1, "", "an empty file", "a line with " + ", ".join(COLUMNS))
            return Failure(tuple(self._mistakes))
        line, head = self._lines[0]
        columns = self._columns(line, head)
        rows = [self._row(*numbered, columns) for numbered in self._lines[1:]]
        self._find_doubles(rows)
        if self._mistakes:
            return Failure(tuple(sorted(self._mistakes, key=lambda m: m.line)))
        return Success(Sheet(self._version, tuple(r for _, r in rows if r is not None)))

    def _split(self, text: str) -> list[tuple[int, list[str]]]:
        lines = text.splitlines()
        first = VERSION.fullmatch(lines[0]) if lines else None
        if first is not None:
            self._version = int(first[1])
            lines[0] = ""
        head = next((line for line in lines if line.strip()), "")
        delimiter = max(DELIMITERS, key=head.count)
        try:
            reader = csv.reader(lines, delimiter=delimiter, strict=True)
            cells = [(reader.line_num, [c.strip() for c in row]) for row in reader]
        except csv.Error as exc:
            self._miss(1, "", str(exc), "CSV with quotes that are closed")
            return []
        return [(line, row) for line, row in cells if any(row)]

    def _columns(self, line: int, head: Sequence[str]) -> list[str]:
        columns = [cell.lower() for cell in head]
        while columns and not columns[-1]:
            columns.pop()
        allowed = ", ".join(COLUMNS)
        for name, count in Counter(columns).items():
            if name not in COLUMNS:
                self._miss(line, "", f"the column {name}", allowed)
            elif count > 1:
                self._miss(line, name, f"{count} columns of this name", "one")
        for name in COLUMNS:
            if name not in columns:
                self._miss(line, name, "no such column", allowed)
        return columns

    def _row(
        self, line: int, cells: list[str], columns: Sequence[str]
    ) -> tuple[int, Row | None]:
        while len(cells) > len(columns) and not cells[-1]:
            cells.pop()
        if len(cells) > len(columns):
            found, most = f"{len(cells)} cells", f"{len(columns)} cells"
            self._miss(line, "", found, most)
            return (line, None)
        padded = cells + [""] * (len(columns) - len(cells))
        found_cells = dict(zip(columns, padded, strict=True))
        before = len(self._mistakes)
        customer = self._name(line, "customer", found_cells)
        group = self._name(line, "group", found_cells)
        numbers = [self._number(line, column, found_cells) for column in NUMBERS]
        if len(self._mistakes) > before or not set(COLUMNS) <= set(columns):
            return (line, None)
        return (line, Row(customer, group, *numbers))

    def _name(self, line: int, column: str, cells: dict[str, str]) -> str:
        if column not in cells:
            return ""
        name = cells[column]
        if not name or len(name) > MAX_NAME_CHARS or not name.isprintable():
            allowed = f"1 to {MAX_NAME_CHARS} printable characters"
            self._miss(line, column, name, allowed)
        elif column == "group" and self._groups is not None:
            self._check_group(line, name, self._groups)
        return name

    def _check_group(self, line: int, name: str, groups: Collection[str]) -> None:
        if name not in groups:
            self._miss(line, "group", name, "one of " + ", ".join(sorted(groups)))

    def _number(self, line: int, column: Column, cells: dict[str, str]) -> float:
        if column.name not in cells:
            return 0.0
        text = cells[column.name]
        value = parse_number(text, column)
        if value is None:
            self._miss(line, column.name, text, column.allowed)
        return value or 0.0

    def _find_doubles(self, rows: Iterable[tuple[int, Row | None]]) -> None:
        first: dict[tuple[str, str], int] = {}
        for line, row in rows:
            if row is None:
                continue
            earlier = first.setdefault(row.name, line)
            if earlier != line:
                found = f"a second row for {row.customer} and {row.group}"
                self._miss(line, "", found, f"one, as in line {earlier}")

    def _miss(self, line: int, column: str, found: str, allowed: str) -> None:
        self._mistakes.append(Mistake(line, column, found, allowed))


def _shown(text: str) -> str:
    if not text:
        return "nothing"
    cut = text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."
    return repr(cut)
