"""Replicated log with terms and positions, stored in sqlite3."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from pathlib import Path

import msgspec

Params = tuple[str | None, ...]


class Change(msgspec.Struct, frozen=True):
    """A statement of a committed transaction."""

    sql: str
    params: tuple[str | None, ...]


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A committed transaction in the log.

    Attributes:
        position: The entry's position in the log, starting at 1.
        term: The term in which the transaction committed.
        body: The transaction's changes, encoded as JSON.
    """

    position: int
    term: int
    body: bytes


SCHEMA = """
CREATE TABLE IF NOT EXISTS standin_log (
    position INTEGER PRIMARY KEY, term INTEGER NOT NULL, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS standin_meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL);
"""


class Store:
    """A log and the database that results from applying it, in one sqlite3 file.

    Args:
        path: The sqlite3 file; existing contents are loaded.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._conn = self.connect()
        self._conn.executescript(SCHEMA)
        self.term = self._read_meta("term")
        self.applied = self._read_meta("applied")
        self.term_start = self._read_meta("term_start")
        self.term_previous = self._read_meta("term_previous")
        self.held, self.log_term = self._read_tail()

    def connect(self, *, read_only: bool = False) -> sqlite3.Connection:
        """Open a connection to the database file."""
        conn = sqlite3.connect(self._path, isolation_level=None)
        conn.execute("PRAGMA journal_mode=WAL")
        conn.execute("PRAGMA synchronous=OFF")
        if read_only:
            conn.execute("PRAGMA query_only=1")
        return conn

    def set_term(self, term: int) -> None:
        """Set and persist the current term."""
        self.term = term
        self._write_meta(self._conn, "term", term)

    def commit(self, conn: sqlite3.Connection, changes: tuple[Change, ...]) -> int:
        """Append the changes of a transaction and commit it.

        Args:
            conn: The connection in whose open transaction the changes were run.
            changes: The transaction's changes in order.

        Returns:
            The position of the new entry.
        """
        position = self.held + 1
        self._append(conn, LogEntry(position, self.term, msgspec.json.encode(changes)))
        self._write_meta(conn, "applied", position)
        conn.execute("COMMIT")
        self.held, self.log_term, self.applied = position, self.term, position
        return position

    def open_term(self) -> None:
        """Persist the start of the current term and append an empty entry for it."""
        self.term_start, self.term_previous = self.held, self.log_term
        self._write_meta(self._conn, "term_start", self.term_start)
        self._write_meta(self._conn, "term_previous", self.term_previous)
        self._conn.execute("BEGIN IMMEDIATE")
        self.commit(self._conn, ())

    def receive(self, entries: list[LogEntry]) -> None:
        """Append entries received from the primary to the log without applying them."""
        self._conn.execute("BEGIN IMMEDIATE")
        for entry in entries:
            self._append(self._conn, entry)
        self._conn.execute("COMMIT")
        self.held, self.log_term = entries[-1].position, entries[-1].term

    def apply_next(self) -> None:
        """Apply the first entry of the log that is not applied yet."""
        entry = self.entries(self.applied, 1)[0]
        self._conn.execute("BEGIN IMMEDIATE")
        for change in msgspec.json.decode(entry.body, type=tuple[Change, ...]):
            self._conn.execute(change.sql, change.params)
        self._write_meta(self._conn, "applied", entry.position)
        self._conn.execute("COMMIT")
        self.applied = entry.position

    def entries(self, after: int, limit: int) -> list[LogEntry]:
        """Return entries of the log in order.

        Args:
            after: The position after which the result starts.
            limit: Maximum number of entries.
        """
        rows = self._conn.execute(
            "SELECT position, term, body FROM standin_log"
            " WHERE position > ? ORDER BY position LIMIT ?",
            (after, limit),
        )
        return [LogEntry(*row) for row in rows]

    def term_at(self, position: int) -> int:
        """Return the term of the entry at a position, 0 if there is no entry."""
        row = self._conn.execute(
            "SELECT term FROM standin_log WHERE position = ?", (position,)
        ).fetchone()
        return row[0] if row else 0

    def truncate(self, after: int) -> None:
        """Delete the entries after a position and rebuild the database if needed."""
        self._conn.execute("DELETE FROM standin_log WHERE position > ?", (after,))
        self.held, self.log_term = self._read_tail()
        if self.applied > after:
            self._rebuild()

    def column_types(self) -> dict[str, str]:
        """Return the declared types of all columns by column name."""
        rows = self._conn.execute(
            "SELECT c.name, c.type FROM sqlite_master AS m, pragma_table_info(m.name)"
            " AS c WHERE m.type = 'table'"
        )
        return {name.lower(): kind.upper() for name, kind in rows}

    def close(self) -> None:
        """Close the store's sqlite3 connection."""
        self._conn.close()

    def _rebuild(self) -> None:
        self._conn.execute("PRAGMA foreign_keys=OFF")
        names = self._conn.execute(
            "SELECT type, name FROM sqlite_master WHERE type IN ('table', 'view')"
            " AND name NOT LIKE 'standin_%' AND name NOT LIKE 'sqlite_%'"
        ).fetchall()
        for kind, name in names:
            self._conn.execute(f'DROP {kind} "{name}"')
        self.applied = 0
        while self.applied < self.held:
            self.apply_next()
        self._write_meta(self._conn, "applied", self.applied)

    def _append(self, conn: sqlite3.Connection, entry: LogEntry) -> None:
        conn.execute(
            "INSERT INTO standin_log VALUES (?, ?, ?)",
            (entry.position, entry.term, entry.body),
        )

    def _read_tail(self) -> tuple[int, int]:
        row = self._conn.execute(
            "SELECT position, term FROM standin_log ORDER BY position DESC LIMIT 1"
        ).fetchone()
        return (row[0], row[1]) if row else (0, 0)

    def _read_meta(self, name: str) -> int:
        row = self._conn.execute(
            "SELECT value FROM standin_meta WHERE name = ?", (name,)
        ).fetchone()
        return row[0] if row else 0

    @staticmethod
    def _write_meta(conn: sqlite3.Connection, name: str, value: int) -> None:
        conn.execute("INSERT OR REPLACE INTO standin_meta VALUES (?, ?)", (name, value))
