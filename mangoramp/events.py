"""Catalogue of the numbered log events, and the function that logs them."""

from __future__ import annotations

import logging
import re
import sys
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from .logs import DROPPED_EVENT, LogWriter

API_KEY = re.compile(r"mr_[0-9A-Za-z_]*")
MAX_MESSAGE_CHARS = 500
PLACE_FRAMES = 4  # reach from a library to the code that called it
TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {extra[event]} {message} {extra}"


@dataclass(frozen=True, slots=True)
class Event:
    """A numbered type of log event.

    Attributes:
        number: Stable number; never reused.
        level: The loguru level.
        text: The message, in a few words.
    """

    number: int
    level: str
    text: str


PROXY_STARTED = Event(100, "INFO", "proxy started")
PROXY_STOPPING = Event(101, "INFO", "proxy stopping")
PROXY_STOPPED = Event(102, "INFO", "proxy stopped")
LIBRARY_MESSAGE = Event(103, "WARNING", "library message")
HANDLER_FAILED = Event(104, "ERROR", "request handler failed")
INSTANCE_STARTED = Event(105, "INFO", "instance started")
INSTANCE_STOPPING = Event(106, "INFO", "instance stopping")
INSTANCE_STOPPED = Event(107, "INFO", "instance stopped")
SETTINGS_RELOADED = Event(108, "INFO", "settings reloaded")
SETTINGS_REFUSED = Event(109, "ERROR", "settings rejected, not reloaded")
INSTANCE_FAILED = Event(111, "CRITICAL", "instance ended by an unexpected error")
LINES_DROPPED = Event(DROPPED_EVENT, "WARNING", "log lines dropped")
REQUEST_ROUTED = Event(200, "INFO", "request routed to a server")
REQUEST_FORWARDED = Event(
    201, "INFO", "request forwarded to the home instance of its group"
)
REQUEST_REFUSED = Event(202, "INFO", "request refused")
WRITE_CONFIRMED = Event(203, "DEBUG", "write confirmed by a majority")
REQUEST_RETRIED = Event(220, "INFO", "request retried")
OUTCOME_REPLAYED = Event(221, "INFO", "keyed write answered from its stored outcome")
OUTCOMES_PRUNED = Event(222, "DEBUG", "old outcomes of keyed writes pruned")
REQUEST_FAILED = Event(223, "ERROR", "request failed due to an internal error")
TRANSACTION_BEGUN = Event(230, "INFO", "transaction begun")
TRANSACTION_ENDED = Event(231, "INFO", "transaction ended")
TRANSACTION_FORWARDED = Event(
    232, "INFO", "request forwarded to the instance of its transaction"
)
HOME_PLACED = Event(300, "INFO", "home of a group assigned")
GROUP_CHANGED = Event(301, "INFO", "group object applied")
TABLE_CHANGED = Event(302, "INFO", "table version in force")
RELAY_LEASE_ACQUIRED = Event(310, "INFO", "relay lease acquired")
RELAY_LEASE_LOST = Event(311, "WARNING", "relay lease lost")
VIEW_CHANGED = Event(312, "INFO", "membership view of the failure domain changed")
MEMBER_LAGGING = Event(313, "WARNING", "member has not applied the version in force")
SOURCE_CHANGED = Event(314, "INFO", "source of platform objects changed")
KEY_WITHDRAWN = Event(315, "INFO", "key withdrawn")
FAILURE_DOMAIN_SILENT = Event(316, "WARNING", "failure domain silent")
HOMES_TRANSFERRED = Event(317, "INFO", "homes transferred")
REQUESTS_DRAINED = Event(318, "INFO", "requests in flight drained")
HOMES_CHANGED = Event(319, "INFO", "homes of connections changed")
PLATFORM_LOST = Event(400, "WARNING", "platform unavailable")
PLATFORM_RECOVERED = Event(401, "INFO", "platform available again")
STORE_RESTORED = Event(402, "WARNING", "store restored from a copy")
ERA_UNREADABLE = Event(403, "WARNING", "era of the store cannot be read")
SERVER_LOST = Event(410, "WARNING", "database server unavailable")
SERVER_RECOVERED = Event(411, "INFO", "database server available again")
CONNECTION_CLOSED = Event(412, "INFO", "connection to a database server closed")
CONNECTION_SILENT = Event(413, "WARNING", "open connection stopped responding")
SERVER_FULL = Event(414, "WARNING", "database server accepts no more connections")
RATE_REFUSED = Event(600, "INFO", "request refused, customer over its rate limit")
TOKENS_BORROWED = Event(601, "DEBUG", "tokens requested from another failure domain")
TOKENS_LENT = Event(602, "DEBUG", "tokens granted to another failure domain")
SESSION_REFUSED = Event(240, "INFO", "session refused")
STATEMENT_DONE = Event(241, "INFO", "statement succeeded")
STATEMENT_REFUSED = Event(242, "INFO", "statement failed")
READ_ROUTED = Event(243, "INFO", "read sent to a server")
READ_RETRIED = Event(244, "INFO", "read retried at another server")
WRITE_ROUTED = Event(245, "INFO", "write sent to the primary")
WRITE_RETRIED = Event(246, "INFO", "write that did not run retried")
WRITE_OUTCOME_UNKNOWN = Event(247, "WARNING", "write outcome unknown, no answer")
TRANSACTION_OPENED = Event(248, "INFO", "transaction opened at a server")
TRANSACTION_RETRIED = Event(249, "INFO", "statement of a transaction retried")
TRANSACTION_LOST = Event(250, "INFO", "transaction lost with its connection")
COMMIT_OUTCOME_UNKNOWN = Event(251, "WARNING", "commit outcome unknown, no answer")
CALLER_STALLED = Event(252, "INFO", "caller that stopped sending or reading closed")
ADMISSION_REJECTED = Event(
    260, "INFO", "statement rejected, it cannot be served in time"
)
DEPLOYMENT_CHANGED = Event(320, "INFO", "configuration in force")
ENTRY_UNREADABLE = Event(321, "WARNING", "object of the store cannot be decoded")
ENDPOINT_CHANGED = Event(322, "INFO", "registry entry of a server changed")
ENDPOINT_REMOVED = Event(323, "INFO", "registry entry of a server removed")
PRIMARY_CHANGED = Event(324, "INFO", "primary of a group changed")
PEER_REACHABLE = Event(325, "INFO", "peer reachable")
PEER_SILENT = Event(326, "WARNING", "peer silent")
HOME_SUSPECTED = Event(327, "WARNING", "home of connections suspected, not used")
REPORT_UNREADABLE = Event(329, "WARNING", "report from a peer cannot be decoded")
REPORT_TOO_LARGE = Event(330, "ERROR", "report to the peers too large to send")
TASK_FAILED = Event(331, "ERROR", "background task failed")
NEWS_APPLIED = Event(332, "INFO", "update from a peer applied")
NEWS_FAILED = Event(333, "WARNING", "update could not be fetched from a peer")
STALENESS_CHECKED = Event(
    352, "INFO", "store asked, as no peer has confirmed the latest state"
)
WATCH_STARTED = Event(350, "INFO", "watch of the store begun")
WATCH_ENDED = Event(351, "INFO", "watch of the store ended, peers report changes")
ENTRY_OUTDATED = Event(
    334, "INFO", "registry entry from an old copy of the store ignored"
)
REPORT_NOT_SENT = Event(335, "WARNING", "report to a peer could not be sent")
EVACUATION_STARTED = Event(336, "WARNING", "evacuation of a failure domain in force")
EVACUATION_ENDED = Event(337, "INFO", "evacuation of a failure domain withdrawn")
EVACUATION_DRAINED = Event(
    338, "INFO", "last statement in an evacuated failure domain ended"
)
SLOT_SHARE_CHANGED = Event(340, "INFO", "share of a server's concurrency changed")
LOAD_REPORTS_OFF = Event(341, "ERROR", "load reports to other homes not possible")
PATH_LOST = Event(342, "WARNING", "primary accepts no connection from here")
PATH_RECOVERED = Event(343, "INFO", "primary accepts connections from here again")
PINNED_UNKNOWN = Event(344, "WARNING", "statement for a connection not pinned here")
PINNED_CLOSED = Event(348, "INFO", "pinned connection closed inside its transaction")
RELEASED_IN_TRANSACTION = Event(
    349, "WARNING", "connection closed: its last batch left a transaction open"
)
MESSAGE_UNREADABLE = Event(345, "WARNING", "message from a peer cannot be decoded")
PEER_ADDRESS_INVALID = Event(346, "WARNING", "address of a peer cannot be used")
TERM_UNKNOWN = Event(347, "WARNING", "start of a new primary's term not recorded")
PINNED_EXPIRED = Event(328, "WARNING", "pinned connection dropped")
CONNECTION_REFUSED = Event(415, "INFO", "connection to a database server refused")
SERVER_WEIGHT_REDUCED = Event(
    420, "WARNING", "server answers worse than others, gets fewer reads"
)
SERVER_WEIGHT_RAISED = Event(421, "INFO", "server gets more reads again")
READ_HEDGED = Event(422, "INFO", "overdue read sent to a second server")
PACE_STARTED = Event(440, "INFO", "load of a server limited, grows with its answers")
PACE_REDUCED = Event(441, "INFO", "load limit of a server reduced")
PACE_ENDED = Event(442, "INFO", "load of a server no longer limited")
COLD_LIMIT_STARTED = Event(443, "INFO", "requests to a cold server limited")
COLD_LIMIT_ENDED = Event(444, "INFO", "requests to a formerly cold server unlimited")
PROMOTION_CLAIMED = Event(503, "WARNING", "promotion claimed")
PROMOTION_ENDED = Event(504, "WARNING", "promotion requested")
PROMOTION_SKIPPED = Event(505, "INFO", "promotion not attempted")
FAILOVER_STEP = Event(500, "WARNING", "failover step")
PRIMARY_SUSPECTED = Event(
    501, "WARNING", "primary silent, querying other failure domains"
)
FAILOVER_COMMAND = Event(502, "INFO", "failover command sent to a server")

CATALOGUE: tuple[Event, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)


_writer: LogWriter | None = None  # of the JSON log; limits its volume


def emit(event: Event, **fields: Any) -> None:
    """Log one event.

    Args:
        event: An event of the catalogue.
        **fields: Structured fields; never an API key or a statement's parameter.
    """
    # Checked first, so that a dropped line is not even formatted.
    if _writer is not None and not _writer.try_admit(event.number):
        return
    logger.bind(event=event.number, **fields).log(event.level, event.text)


def place_of(exc: BaseException) -> str:
    """Return the functions and lines in which an exception was raised, inner first.

    Unlike a traceback, the text contains no values of variables, such as keys.
    """
    frames = list(traceback.walk_tb(exc.__traceback__))[-PLACE_FRAMES:]
    return " < ".join(
        f"{frame.f_code.co_qualname}:{line}" for frame, line in reversed(frames)
    )


def configure(*, level: str = "INFO", json: bool = True, instance: str = "") -> None:
    """Configure logging for the process.

    Args:
        level: The lowest level to log.
        json: Whether to log JSON lines to stdout instead of plain text to stderr.
        instance: The instance's name, added to each line if not empty.
    """
    global _writer
    logger.remove()
    logger.configure(extra={"instance": instance} if instance else {})
    # With diagnose, tracebacks would contain values of variables, such as keys.
    _writer = LogWriter() if json else None
    if _writer is not None:
        logger.add(_json_sink(_writer), level=level, format="", diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT, diagnose=False)
    logging.basicConfig(handlers=[_LibraryHandler()], level="WARNING", force=True)


def _json_sink(writer: LogWriter) -> Callable[[Any], None]:
    def write(message: Any) -> None:
        record = message.record
        line = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = _redact_keys(repr(record["exception"].value))
        writer.write_admitted(line)

    return write


def _redact_keys(text: str) -> str:
    return API_KEY.sub("mr_...", text)[:MAX_MESSAGE_CHARS]


class _LibraryHandler(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        """Log a library's message as an event, with API keys redacted."""
        said = _redact_keys(record.getMessage())
        emit(LIBRARY_MESSAGE, library=record.name, said=said)
