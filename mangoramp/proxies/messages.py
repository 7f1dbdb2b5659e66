"""The messages between proxies, encoded as MessagePack."""

from __future__ import annotations

import msgspec

from ..errors import Fault
from ..objects import GroupObject
from ..policy import loans
from ..policy.cache import Delta
from ..policy.failure_detector import PrimaryView
from ..policy.loans import Ask
from ..policy.membership import Beat, Grant
from ..policy.position import Position
from ..policy.statement import Kind

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


class BeginTransaction(Envelope, frozen=True):
    """Open a transaction at the group's primary.

    Attributes:
        customer: Whose key came with the request.
        group: The database group.
        seen: The position that the session has seen.
        timeout_s: Seconds left to the request.
    """

    customer: str
    group: str
    seen: Position
    timeout_s: float


class TransactionBegun(Envelope, frozen=True):
    """The answer to ``BeginTransaction``.

    Attributes:
        transaction: The transaction's id; it names the proxy that holds it.
        server: The server at which it runs.
        idle_s: Seconds without a statement after which it is rolled back.
        limit_s: Seconds after which it is rolled back in any case.
    """

    transaction: str
    server: str
    idle_s: float
    limit_s: float


class RunInTransaction(Envelope, frozen=True):
    """Run one statement in an open transaction.

    Attributes:
        customer: Whose key came with the request.
        group: The database group.
        transaction: The transaction's id.
        kind: Whether the statement reads or writes.
        sql: The statement.
        params: Its parameters.
        timeout_s: Seconds left to the request.
    """

    customer: str
    group: str
    transaction: str
    kind: Kind
    sql: str
    params: tuple[Param, ...]
    timeout_s: float


class EndTransaction(Envelope, frozen=True):
    """Commit or roll back an open transaction.

    Attributes:
        customer: Whose key came with the request.
        group: The database group.
        transaction: The transaction's id.
        commit: Whether to commit it.
        timeout_s: Seconds left to the request.
        idempotency_key: The caller's, empty if there is none.
    """

    customer: str
    group: str
    transaction: str
    commit: bool
    timeout_s: float
    idempotency_key: str = ""


class SettleTransaction(Envelope, frozen=True):
    """Find out whether a transaction was committed, or keep it from it for good.

    Attributes:
        customer: Whose key came with the request.
        group: The database group.
        transaction: The transaction's id.
        timeout_s: Seconds left to the request.
    """

    customer: str
    group: str
    transaction: str
    timeout_s: float


class TransactionEnded(Envelope, frozen=True):
    """The answer to ``EndTransaction`` and ``SettleTransaction``.

    Attributes:
        committed: Whether it was committed.
        position: What the session has seen now.
        server: The server that gave the answer.
        repeated: Whether it had ended before this request.
    """

    committed: bool
    position: Position
    server: str
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
    """Tell what is seen of a group's primary from another failure domain.

    Attributes:
        group: The group's name.
        version: The platform's version of its object that the asker knows.
    """

    group: str
    version: int


class ViewAnswer(Envelope, frozen=True):
    """What is seen of a group's primary.

    Attributes:
        view: What is seen.
        version: The platform's version of the group object that is known here.
        newer: That object, if the asker's is older.
    """

    view: PrimaryView
    version: int = 0
    newer: GroupObject | None = None


Control = Heartbeat | Granted | Follow | Changed


class AskTokens(Envelope, frozen=True):
    """Asks the home of a group in another failure domain for tokens.

    Attributes:
        group: The database group.
        customer: Whose rate it is.
        ask: What is asked.
    """

    group: str
    customer: str
    ask: Ask


class GrantTokens(Envelope, frozen=True):
    """The answer to an ask for tokens."""

    grant: loans.Grant


Request = (
    RunStatement
    | BeginTransaction
    | RunInTransaction
    | EndTransaction
    | SettleTransaction
)
Pinned = RunInTransaction | EndTransaction
Answer = Rows | TransactionBegun | TransactionEnded
Between = AskView | ViewAnswer | AskTokens | GrantTokens
Message = Request | Answer | Refused | Between | Control

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
