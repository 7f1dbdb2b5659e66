"""The catalogue of numbered log events, and the one way to log them."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Any

import msgspec
from loguru import logger

_encode = msgspec.json.Encoder(enc_hook=str).encode


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
REQUEST_ROUTED = Event(200, "INFO", "request routed to a server")
REQUEST_FORWARDED = Event(201, "INFO", "request forwarded to the home of its group")
REQUEST_REFUSED = Event(202, "INFO", "request refused")
WRITE_CONFIRMED = Event(203, "DEBUG", "write held by a majority")
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
FAILOVER_STEP = Event(500, "WARNING", "failover step")

CATALOGUE: tuple[Event, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)


def emit(event: Event, **fields: Any) -> None:
    """Log one event.

    Args:
        event: An event of the catalogue.
        **fields: The facts of this line; never a key or a parameter.
    """
    logger.bind(event=event.number, **fields).log(event.level, event.text)


def configure(*, level: str = "INFO", json: bool = True) -> None:
    """Set up the process's log.

    Args:
        level: The lowest level that is written.
        json: One JSON object a line if true, else text for people.
    """
    logger.remove()
    text = "{time:HH:mm:ss.SSS} {level: <7} {extra[event]} {message} {extra}"
    if json:
        logger.add(_write_json, level=level, format="")
    else:
        logger.add(sys.stderr, level=level, format=text)


def _write_json(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].timestamp(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(_encode(line).decode() + "\n")
