"""Parsing and formatting of the operators' table as CSV, as spreadsheets write it."""

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
VERSION_LINE = re.compile(r'"?\s*#\s*version\s+(\d{1,18})[\s",;]*')
NUMBER = re.compile(r"[+-]?\d+(\.\d*)?([eE][+-]?\d{1,3})?")
DELIMITERS = (",", ";", "\t")
MAX_SHOWN_CHARS = 40


@dataclass(frozen=True, slots=True)
class Mistake:
    """An invalid value or line in a sheet.

    Attributes:
        line: The line number in the file, from 1.
        column: The column's name, empty if the whole line is invalid.
        found: The text that was found.
        allowed: A description of the allowed texts.
    """

    line: int
    column: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"line {self.line}" + (f", {self.column}" if self.column else "")
        return f"{where}: found {_quoted(self.found)}, allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class Sheet:
    """A table and the version at which it was exported.

    Attributes:
        version: The version of the table that was edited, 0 for a new table.
        rows: The rows.
    """

    version: int
    rows: tuple[Row, ...]


def parse_sheet(
    text: str, groups: Collection[str] | None = None
) -> Result[Sheet, tuple[Mistake, ...]]:
    """Parse a table from CSV.

    As spreadsheets write them, a byte order mark, semicolons or tabs as delimiters,
    CRLF line ends, blanks around cells and empty lines at the end are accepted.

    Args:
        text: The file's text.
        groups: The names of the database groups, None to allow any group.

    Returns:
        The sheet, or all mistakes in it.
    """
    return _Parser(text, groups).parse()


def format_sheet(sheet: Sheet) -> str:
    """Format a table as CSV with its version in the first line."""
    out = io.StringIO()
    out.write(f"# version {sheet.version}\n")
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in sorted(sheet.rows, key=lambda row: row.name):
        numbers = [format_number(getattr(row, column.name)) for column in NUMBERS]
        writer.writerow([row.customer, row.group, *numbers])
    return out.getvalue()


def format_number(value: float) -> str:
    """Format a number so that it parses to the same value."""
    return str(int(value)) if value == int(value) else repr(value)


def parse_number(text: str, column: Column) -> float | None:
    """Parse a column's number, None if the column does not allow it."""
    if not NUMBER.fullmatch(text):
        return None
    value = float(text)
    return value if column.allows(value) else None


class _Parser:
    def __init__(self, text: str, groups: Collection[str] | None) -> None:
        self._groups = groups
        self._mistakes: list[Mistake] = []
        self._version = 0
        self._rows = self._parse_cells(text.removeprefix(BOM))

    def parse(self) -> Result[Sheet, tuple[Mistake, ...]]:
        """Parse all lines."""
        if not self._rows:
            self._report(1, "", "an empty file", "a line with " + ", ".join(COLUMNS))
            return Failure(tuple(self._mistakes))
        line, header = self._rows[0]
        columns = self._parse_header(line, header)
        rows = [self._parse_row(*numbered, columns) for numbered in self._rows[1:]]
        self._check_duplicates(rows)
        if self._mistakes:
            return Failure(tuple(sorted(self._mistakes, key=lambda m: m.line)))
        return Success(Sheet(self._version, tuple(r for _, r in rows if r is not None)))

    def _parse_cells(self, text: str) -> list[tuple[int, list[str]]]:
        lines = text.splitlines()
        first = VERSION_LINE.fullmatch(lines[0]) if lines else None
        if first is not None:
            self._version = int(first[1])
            lines[0] = ""
        header = next((line for line in lines if line.strip()), "")
        delimiter = max(DELIMITERS, key=header.count)
        try:
            reader = csv.reader(lines, delimiter=delimiter, strict=True)
            cells = [(reader.line_num, [c.strip() for c in row]) for row in reader]
        except csv.Error as exc:
            self._report(1, "", str(exc), "CSV with quotes that are closed")
            return []
        return [(line, row) for line, row in cells if any(row)]

    def _parse_header(self, line: int, header: Sequence[str]) -> list[str]:
        columns = [cell.lower() for cell in header]
        while columns and not columns[-1]:
            columns.pop()
        allowed = ", ".join(COLUMNS)
        for name, count in Counter(columns).items():
            if name not in COLUMNS:
                self._report(line, "", f"the column {name}", allowed)
            elif count > 1:
                self._report(line, name, f"{count} columns of this name", "one")
        for name in COLUMNS:
            if name not in columns:
                self._report(line, name, "no such column", allowed)
        return columns

    def _parse_row(
        self, line: int, cells: list[str], columns: Sequence[str]
    ) -> tuple[int, Row | None]:
        while len(cells) > len(columns) and not cells[-1]:
            cells.pop()
        if len(cells) > len(columns):
            found, allowed = f"{len(cells)} cells", f"{len(columns)} cells"
            self._report(line, "", found, allowed)
            return (line, None)
        padded = cells + [""] * (len(columns) - len(cells))
        found_cells = dict(zip(columns, padded, strict=True))
        before = len(self._mistakes)
        customer = self._parse_name(line, "customer", found_cells)
        group = self._parse_name(line, "group", found_cells)
        numbers = [self._parse_number(line, column, found_cells) for column in NUMBERS]
        if len(self._mistakes) > before or not set(COLUMNS) <= set(columns):
            return (line, None)
        return (line, Row(customer, group, *numbers))

    def _parse_name(self, line: int, column: str, cells: dict[str, str]) -> str:
        if column not in cells:
            return ""
        name = cells[column]
        if not name or len(name) > MAX_NAME_CHARS or not name.isprintable():
            allowed = f"1 to {MAX_NAME_CHARS} printable characters"
            self._report(line, column, name, allowed)
        elif column == "group" and self._groups is not None:
            self._check_group(line, name, self._groups)
        return name

    def _check_group(self, line: int, name: str, groups: Collection[str]) -> None:
        if name not in groups:
            self._report(line, "group", name, "one of " + ", ".join(sorted(groups)))

    def _parse_number(self, line: int, column: Column, cells: dict[str, str]) -> float:
        if column.name not in cells:
            return 0.0
        text = cells[column.name]
        value = parse_number(text, column)
        if value is None:
            self._report(line, column.name, text, column.allowed)
        return value or 0.0

    def _check_duplicates(self, rows: Iterable[tuple[int, Row | None]]) -> None:
        first_lines: dict[tuple[str, str], int] = {}
        for line, row in rows:
            if row is None:
                continue
            earlier = first_lines.setdefault(row.name, line)
            if earlier != line:
                found = f"a second row for {row.customer} and {row.group}"
                self._report(line, "", found, f"one, as in line {earlier}")

    def _report(self, line: int, column: str, found: str, allowed: str) -> None:
        self._mistakes.append(Mistake(line, column, found, allowed))


def _quoted(text: str) -> str:
    if not text:
        return "nothing"
    shown = text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."
    return repr(shown)
