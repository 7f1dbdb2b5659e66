"""The objects that the HTTP interface keeps in the store."""

from __future__ import annotations

import msgspec

from .policy.table import Row as Row


class ServerState(msgspec.Struct, frozen=True):
    """One database server of a group.

    Attributes:
        name: The server's name, unique in its group.
        host: Its address.
        port: Its port.
        failure_domain: Where it runs.
        leaving: Whether it is to get no new work.
        slots: Statements it runs at the same time.
        connections: Connections it accepts.
    """

    name: str
    host: str
    port: int
    failure_domain: str
    leaving: bool = False
    slots: int = 2
    connections: int = 16


class TermStart(msgspec.Struct, frozen=True):
    """Where in the log a term began.

    Attributes:
        term: The term.
        position: How many entries the primary held at its promotion.
        previous: The term of the last of those entries, 0 if there was none.
    """

    term: int
    position: int
    previous: int


class GroupObject(msgspec.Struct, frozen=True):
    """A database group, in the kind ``group``.

    Attributes:
        name: The group's name.
        term: The current term.
        primary: The primary's name; empty while a failover runs.
        servers: All servers of the group.
        starts: Where each term began, oldest first; never empty.
        candidate: Who is to be promoted in this term; empty if nobody is.
    """

    name: str
    term: int
    primary: str
    servers: tuple[ServerState, ...]
    starts: tuple[TermStart, ...]
    candidate: str = ""


class TableShard(msgspec.Struct, frozen=True):
    """A part of the operators' table, in the kind ``table``."""

    rows: tuple[Row, ...]


class KeyObject(msgspec.Struct, frozen=True):
    """A customer's key, in the kind ``key``, named by its public id.

    Attributes:
        customer: Whose key it is.
        salt: Salt of the hash, in hexadecimal.
        digest: Hash of the key, in hexadecimal.
        created_s: When it was given, in seconds since 1970.
    """

    customer: str
    salt: str
    digest: str
    created_s: float = 0.0


class SigningKey(msgspec.Struct, frozen=True):
    """A key that signs session tokens, in the kind ``signing-key``.

    Attributes:
        secret: The key, in hexadecimal.
        created_s: When it was made, in seconds since 1970.
    """

    secret: str
    created_s: float


class DomainObject(msgspec.Struct, frozen=True):
    """The live members of a failure domain, in the kind ``domain``.

    Attributes:
        relay: The domain's relay.
        token: The relay's fencing token.
        number: The number of its view.
        members: The members' names.
    """

    relay: str
    token: int
    number: int
    members: tuple[str, ...]


class InstanceObject(msgspec.Struct, frozen=True):
    """An instance of the system, in the kind ``instance``.

    Attributes:
        name: The instance's name.
        failure_domain: Where it runs.
        address: Where its peers reach it, as a pynng URL.
        leaving: Whether it is shutting down.
        admin: Where its status is shown, as ``http://host:port``.
    """

    name: str
    failure_domain: str
    address: str
    leaving: bool = False
    admin: str = ""
