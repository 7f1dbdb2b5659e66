"""The messages between proxies, encoded as MessagePack."""

from __future__ import annotations

import msgspec

from ..decoding import msgpack_decoder
from ..errors import Fault
from ..objects import GroupObject
from ..policy import loans
from ..policy.cache import Delta
from ..policy.failure_detector import PrimaryView
from ..policy.loans import Ask
from ..policy.membership import Beat, Grant
from ..policy.position import Position
from ..policy.statement import Kind
from .envelope import Codec, Envelope

Param = str | int | float | bool | None


class RunStatement(Envelope, frozen=True):
    """Run one statement on a group.

    Attributes:
        customer: The customer that the request's key belongs to.
        group: The database group.
        kind: Whether the statement reads or writes.
        sql: The statement.
        params: The parameters of the statement.
        seen: The latest position that the session has observed.
        max_age_s: Maximum age of the data that a read accepts, in seconds.
        timeout_s: Remaining time of the request, in seconds.
        idempotency_key: The caller's idempotency key, empty if there is none.
        failure_domain: The failure domain that received the request.
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
        columns: The column names.
        rows: The rows as JSON.
        count: Number of rows returned or changed.
        position: The latest position that the session has observed after the request.
        server: The server that answered.
        replica: Whether that server is a replica.
        age_s: Proven upper bound of the data's age, in seconds.
        repeated: Whether this replays the first answer for the idempotency key.
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
        customer: The customer that the request's key belongs to.
        group: The database group.
        seen: The latest position that the session has observed.
        timeout_s: Remaining time of the request, in seconds.
    """

    customer: str
    group: str
    seen: Position
    timeout_s: float


class TransactionBegun(Envelope, frozen=True):
    """The answer to ``BeginTransaction``.

    Attributes:
        transaction: The transaction's id, which names the proxy that holds it.
        server: The server on which the transaction runs.
        idle_s: Idle time after which the transaction is rolled back, in seconds.
        limit_s: Total time after which the transaction is rolled back, in seconds.
    """

    transaction: str
    server: str
    idle_s: float
    limit_s: float


class RunInTransaction(Envelope, frozen=True):
    """Run one statement in an open transaction.

    Attributes:
        customer: The customer that the request's key belongs to.
        group: The database group.
        transaction: The transaction's id.
        kind: Whether the statement reads or writes.
        sql: The statement.
        params: The parameters of the statement.
        timeout_s: Remaining time of the request, in seconds.
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
        customer: The customer that the request's key belongs to.
        group: The database group.
        transaction: The transaction's id.
        commit: Whether to commit or roll back.
        timeout_s: Remaining time of the request, in seconds.
        idempotency_key: The caller's idempotency key, empty if there is none.
    """

    customer: str
    group: str
    transaction: str
    commit: bool
    timeout_s: float
    idempotency_key: str = ""


class SettleTransaction(Envelope, frozen=True):
    """Determine whether a transaction committed, or prevent it from ever committing.

    Attributes:
        customer: The customer that the request's key belongs to.
        group: The database group.
        transaction: The transaction's id.
        timeout_s: Remaining time of the request, in seconds.
    """

    customer: str
    group: str
    transaction: str
    timeout_s: float


class TransactionEnded(Envelope, frozen=True):
    """The answer to ``EndTransaction`` and ``SettleTransaction``.

    Attributes:
        committed: Whether the transaction committed.
        position: The latest position that the session has observed after the request.
        server: The server that answered.
        repeated: Whether the transaction had already ended before this request.
    """

    committed: bool
    position: Position
    server: str
    repeated: bool = False


class Refused(Envelope, frozen=True):
    """A final answer that carries a fault."""

    fault: Fault


class Heartbeat(Envelope, frozen=True, tag="b", rename={"beat": "b"}):
    """A member's heartbeat to the relay of its failure domain."""

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
        grant: The grant of the relay to the member.
        lost: The failure domains whose relay is silent.
    """

    grant: Grant
    lost: tuple[str, ...] = ()


class Follow(Envelope, frozen=True):
    """Requests changes of the platform's objects and waits for the first (long poll).

    Attributes:
        sender: Name of the requesting proxy.
        versions: The version up to which the sender has all changes, by kind.
        wait_s: Maximum time to wait, in seconds.
        stamp: The last :attr:`Changed.stamp` that the sender received.
    """

    sender: str
    versions: dict[str, int]
    wait_s: float
    stamp: int = 0


class Changed(Envelope, frozen=True):
    """The changes of the platform's objects.

    Attributes:
        deltas: The changes, one delta for each kind.
        fresh_s: Time of the last contact with the platform, in seconds relative to the
            arrival of the request (negative if earlier); None if there was no contact.
        stamp: Identifies the relay's view and whether it is settled; 0 if the answering
            process is not a relay. A member sends a heartbeat at once if it changes.
    """

    deltas: tuple[Delta, ...]
    fresh_s: float | None
    stamp: int = 0


class AskView(Envelope, frozen=True):
    """Requests the view of a group's primary from another failure domain.

    Attributes:
        group: The database group.
        version: The version of the group object that the sender knows.
    """

    group: str
    version: int


class ViewAnswer(Envelope, frozen=True):
    """The answer to ``AskView``.

    Attributes:
        view: The observer's view of the primary.
        version: The version of the group object that the observer knows.
        newer: The observer's group object, if it is newer than the sender's.
    """

    view: PrimaryView
    version: int = 0
    newer: GroupObject | None = None


ControlMessage = Heartbeat | Granted | Follow | Changed


class AskTokens(Envelope, frozen=True):
    """Requests rate tokens from the group's home in another failure domain.

    Attributes:
        group: The database group.
        customer: The customer whose rate limit the tokens count against.
        ask: The ask for tokens.
    """

    group: str
    customer: str
    ask: Ask


class GrantTokens(Envelope, frozen=True):
    """The answer to ``AskTokens``."""

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
CrossDomainMessage = AskView | ViewAnswer | AskTokens | GrantTokens
Message = Request | Answer | Refused | CrossDomainMessage | ControlMessage

encode = msgspec.msgpack.Encoder().encode
decode = msgpack_decoder(Message)


PROXY_CODEC = Codec(encode, decode)
