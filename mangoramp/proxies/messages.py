"""The messages between proxies, encoded as MessagePack."""

from __future__ import annotations

import msgspec

from ..errors import Fault
from ..policy.cache import Delta
from ..policy.membership import Beat, Grant
from ..policy.position import Position
from ..policy.statement import Kind
from ..policy.suspicion import View

Param = str | int | float | bool | None


class Envelope(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """What every message carries.

    Attributes:
        id: The request's id; an answer bears that of its request.
    """

    id: int = 0


class RunStatement(Envelope, frozen=True):
    """Run one statement on a group.

    Attributes:
        customer: Whose key came with the request.
        group: The database group.
        kind: Whether it reads or writes.
        sql: The statement.
        params: Its parameters.
        seen: The position that the session has seen.
        max_age_s: Age of data that a read accepts, in seconds.
        timeout_s: Seconds left to the request.
        idempotency_key: The caller's, empty if there is none.
        failure_domain: Where the request came in.
        key_id: The public id of the key that came with the request.
    """

    customer: str
    group: str
    kind: Kind
    sql: str
    params: tuple[Param, ...]
    seen: Position
    max_age_s: float
    timeout_s: float
    idempotency_key: str = ""
    failure_domain: str = ""
    key_id: str = ""


class Rows(Envelope, frozen=True):
    """The answer to a statement.

    Attributes:
        columns: The names of the columns.
        rows: The rows as JSON.
        count: How many rows there are, or were changed.
        position: What the session has seen now.
        server: The server that gave the answer.
        replica: Whether that server is a replica.
        age_s: The proven age of the data, in seconds.
        repeated: Whether this is the first answer to the same idempotency key.
    """

    columns: tuple[str, ...]
    rows: bytes
    count: int
    position: Position
    server: str
    replica: bool = False
    age_s: float = 0.0
    repeated: bool = False


class Refused(Envelope, frozen=True):
    """A final answer that is a fault."""

    fault: Fault


class Heartbeat(Envelope, frozen=True, tag="b", rename={"beat": "b"}):
    """A member's beat to its failure domain's relay."""

    beat: Beat


class Granted(
    Envelope,
    frozen=True,
    omit_defaults=True,
    tag="g",
    rename={"grant": "g"},
):
    """The relay's answer to a heartbeat.

    Attributes:
        grant: What the member may do.
        lost: The failure domains whose relay gives no sign of life.
    """

    grant: Grant
    lost: tuple[str, ...] = ()


class Follow(Envelope, frozen=True):
    """Asks for the changes of the platform's objects, and waits for the first.

    Attributes:
        sender: Who asks.
        versions: The version up to which each kind is complete there.
        wait_s: Seconds to wait.
        stamp: The last :attr:`Changed.stamp` that the sender has seen.
    """

    sender: str
    versions: dict[str, int]
    wait_s: float
    stamp: int = 0


class Changed(Envelope, frozen=True):
    """The changes of the platform's objects.

    Attributes:
        deltas: What changed, by kind.
        fresh_s: When the platform was last heard, in seconds after the question came
            (negative before it); None if it never was.
        stamp: Tells the relay's view, and whether it is settled; 0 if the answering
            process is no relay. A member that sees it change is to beat at once.
    """

    deltas: tuple[Delta, ...]
    fresh_s: float | None
    stamp: int = 0


class AskView(Envelope, frozen=True):
    """Tell what is seen of a group's primary from another failure domain."""

    group: str


class ViewAnswer(Envelope, frozen=True):
    """What is seen of a group's primary."""

    view: View


Control = Heartbeat | Granted | Follow | Changed
Message = RunStatement | Rows | Refused | AskView | ViewAnswer | Control

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
