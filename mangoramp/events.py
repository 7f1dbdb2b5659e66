"""The catalogue of numbered log events, and the one way to log them."""

from __future__ import annotations

import logging
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from .logs import LEFT_OUT, LineWriter

KEY_LIKE = re.compile(r"mr_[0-9A-Za-z_]*")
MAX_SAID_CHARS = 500
TEXT = "{time:HH:mm:ss.SSS} {level: <7} {extra[event]} {message} {extra}"


@dataclass(frozen=True, slots=True)
class Event:
    """One numbered kind of log line.

    Attributes:
        number: Stable number, never reused.
        level: The loguru level.
        text: What the line says, in a few words.
    """

    number: int
    level: str
    text: str


PROXY_STARTED = Event(100, "INFO", "proxy started")
PROXY_STOPPING = Event(101, "INFO", "proxy stopping")
PROXY_STOPPED = Event(102, "INFO", "proxy stopped")
LIBRARY_MESSAGE = Event(103, "WARNING", "message of a library")
HANDLER_FAILED = Event(104, "ERROR", "handler of a request failed")
INSTANCE_STARTED = Event(105, "INFO", "instance started")
INSTANCE_STOPPING = Event(106, "INFO", "instance stopping")
INSTANCE_STOPPED = Event(107, "INFO", "instance stopped")
SETTINGS_RELOADED = Event(108, "INFO", "settings reloaded")
SETTINGS_REFUSED = Event(109, "ERROR", "settings not reloaded")
LINES_LEFT_OUT = Event(LEFT_OUT, "WARNING", "lines left out")
REQUEST_ROUTED = Event(200, "INFO", "request routed to a server")
REQUEST_FORWARDED = Event(201, "INFO", "request forwarded to the home of its group")
REQUEST_REFUSED = Event(202, "INFO", "request refused")
WRITE_CONFIRMED = Event(203, "DEBUG", "write held by a majority")
REQUEST_RETRIED = Event(220, "INFO", "request tried again")
OUTCOME_REPEATED = Event(221, "INFO", "keyed write answered from its record")
OUTCOMES_PRUNED = Event(222, "DEBUG", "old records of keyed writes pruned")
REQUEST_FAILED = Event(223, "ERROR", "request failed by a fault of the proxy")
TRANSACTION_BEGUN = Event(230, "INFO", "transaction begun")
TRANSACTION_ENDED = Event(231, "INFO", "transaction ended")
TRANSACTION_FORWARDED = Event(232, "INFO", "request forwarded to its transaction")
HOME_PLACED = Event(300, "INFO", "home of a group placed")
GROUP_CHANGED = Event(301, "INFO", "group object taken over")
TABLE_CHANGED = Event(302, "INFO", "table version in force")
RELAY_TAKEN = Event(310, "INFO", "relay's lease taken")
RELAY_LOST = Event(311, "WARNING", "relay's lease lost")
VIEW_CHANGED = Event(312, "INFO", "view of the failure domain changed")
MEMBER_LAGS = Event(313, "WARNING", "member lags behind the version in force")
SOURCE_CHANGED = Event(314, "INFO", "source of the platform's objects changed")
KEY_WITHDRAWN = Event(315, "INFO", "key withdrawn")
DOMAIN_LOST = Event(316, "WARNING", "failure domain gives no sign of life")
HANDED_OVER = Event(317, "INFO", "homes handed over")
DRAINED = Event(318, "INFO", "requests in flight finished")
PLATFORM_LOST = Event(400, "WARNING", "platform does not answer")
PLATFORM_BACK = Event(401, "INFO", "platform answers again")
SERVER_LOST = Event(410, "WARNING", "database server does not answer")
SERVER_BACK = Event(411, "INFO", "database server answers again")
CONNECTION_CLOSED = Event(412, "INFO", "connection to a database server closed")
CONNECTION_SILENT = Event(413, "WARNING", "open connection went silent")
SERVER_FULL = Event(414, "WARNING", "database server has no room for a connection")
RATE_REFUSED = Event(600, "INFO", "request refused over the customer's rate")
TOKENS_BORROWED = Event(601, "DEBUG", "tokens asked of another failure domain")
TOKENS_LENT = Event(602, "DEBUG", "tokens lent to another failure domain")
SESSION_REFUSED = Event(240, "INFO", "session refused")
STATEMENT_DONE = Event(241, "INFO", "statement answered")
STATEMENT_REFUSED = Event(242, "INFO", "statement not done")
READ_ROUTED = Event(243, "INFO", "read sent to a server")
READ_RETRIED = Event(244, "INFO", "read tried elsewhere")
WRITE_ROUTED = Event(245, "INFO", "write sent to the primary")
WRITE_RETRIED = Event(246, "INFO", "write that did not run tried again")
WRITE_UNKNOWN = Event(247, "WARNING", "write sent and not answered")
TRANSACTION_OPENED = Event(248, "INFO", "transaction opened at a server")
TRANSACTION_RETRIED = Event(249, "INFO", "statement of a transaction tried again")
TRANSACTION_LOST = Event(250, "INFO", "transaction lost with its connection")
COMMIT_UNKNOWN = Event(251, "WARNING", "commit sent and not answered")
DEPLOYMENT_CHANGED = Event(320, "INFO", "configuration in force")
ENTRY_UNREADABLE = Event(321, "WARNING", "object of the store cannot be read")
ENDPOINT_CHANGED = Event(322, "INFO", "server's entry changed")
ENDPOINT_GONE = Event(323, "INFO", "server's entry vanished")
PRIMARY_CHANGED = Event(324, "INFO", "primary of a group changed")
PEER_HEARD = Event(325, "INFO", "peer heard")
PEER_SILENT = Event(326, "WARNING", "peer silent")
HOME_SUSPECTED = Event(327, "WARNING", "home of connections passed over")
REPORT_UNREADABLE = Event(329, "WARNING", "peer's report cannot be read")
REPORT_TOO_LARGE = Event(330, "ERROR", "report to the peers is too large to be sent")
TASK_ENDED = Event(331, "ERROR", "task ended by a fault")
NEWS_TAKEN = Event(332, "INFO", "configuration or entries taken from a peer")
NEWS_MISSED = Event(333, "WARNING", "peer that knows more did not tell it")
PINNED_EXPIRED = Event(328, "WARNING", "pinned connection dropped")
CONNECTION_REFUSED = Event(415, "INFO", "connection to a database server refused")
PROMOTION_CLAIMED = Event(503, "WARNING", "promotion claimed")
PROMOTION_ENDED = Event(504, "WARNING", "promotion ordered")
PROMOTION_LEFT = Event(505, "INFO", "promotion left to another instance")
FAILOVER_STEP = Event(500, "WARNING", "failover step")
PRIMARY_SUSPECTED = Event(501, "WARNING", "primary silent, other domains asked")
FAILOVER_COMMAND = Event(502, "INFO", "failover command given to a server")

CATALOGUE: tuple[Event, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)


_writer: LineWriter | None = None  # of the JSON log; it bounds the volume


def emit(event: Event, **fields: Any) -> None:
    """Log one event.

    Args:
        event: An event of the catalogue.
        **fields: The facts of this line; never a key or a parameter.
    """
    # Checked here, a line that is left out costs next to nothing.
    if _writer is not None and not _writer.admits(event.number):
        return
    logger.bind(event=event.number, **fields).log(event.level, event.text)


def configure(*, level: str = "INFO", json: bool = True, instance: str = "") -> None:
    """Set up the process's log.

    Args:
        level: The lowest level that is written.
        json: One JSON object a line on standard output if true, else text for people.
        instance: The instance's name, which then stands in each line.
    """
    global _writer
    logger.remove()
    logger.configure(extra={"instance": instance} if instance else {})
    # With diagnose, tracebacks would show the values of variables, keys among them.
    _writer = LineWriter() if json else None
    if _writer is not None:
        logger.add(_json_sink(_writer), level=level, format="", diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=TEXT, diagnose=False)
    logging.basicConfig(handlers=[_LibraryHandler()], level="WARNING", force=True)


def _json_sink(writer: LineWriter) -> Callable[[Any], None]:
    def write(message: Any) -> None:
        record = message.record
        line = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = _without_key(repr(record["exception"].value))
        writer.put(line)

    return write


def _without_key(text: str) -> str:
    return KEY_LIKE.sub("mr_...", text)[:MAX_SAID_CHARS]


class _LibraryHandler(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        """Log a library's message as an event, without any key in it."""
        said = _without_key(record.getMessage())
        emit(LIBRARY_MESSAGE, library=record.name, said=said)
