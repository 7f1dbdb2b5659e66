"""The objects that are stored on the platform, by kind."""

from __future__ import annotations

import msgspec

from .policy.table import Row as Row


class ServerState(msgspec.Struct, frozen=True):
    """One database server of a group.

    Attributes:
        name: The server's name, unique in its group.
        host: Its address.
        port: Its port.
        failure_domain: The server's failure domain.
        leaving: Whether it is being removed and gets no new work.
        slots: Maximum number of statements that it runs concurrently.
        connections: Maximum number of connections that it accepts.
    """

    name: str
    host: str
    port: int
    failure_domain: str
    leaving: bool = False
    slots: int = 2
    connections: int = 16


class TermStart(msgspec.Struct, frozen=True):
    """The position in the log at which a term began.

    Attributes:
        term: The term.
        position: Number of log entries that the primary held at its promotion.
        previous: The term of the last of these entries, 0 if there was none.
    """

    term: int
    position: int
    previous: int


class GroupObject(msgspec.Struct, frozen=True):
    """A database group; kind ``group``.

    Attributes:
        name: The group's name.
        term: The current term.
        primary: The primary's name; empty while a failover runs.
        servers: All servers of the group.
        starts: The start of each term, oldest first; never empty.
        candidate: The server to promote in this term, empty if there is none.
    """

    name: str
    term: int
    primary: str
    servers: tuple[ServerState, ...]
    starts: tuple[TermStart, ...]
    candidate: str = ""


class TableShard(msgspec.Struct, frozen=True):
    """One shard of the operators' table; kind ``table``."""

    rows: tuple[Row, ...]


class KeyObject(msgspec.Struct, frozen=True):
    """A customer's key, stored under its public id; kind ``key``.

    Attributes:
        customer: The owner of the key.
        salt: Salt of the hash, in hexadecimal.
        digest: Hash of the key, in hexadecimal.
        created_s: When the key was issued, in seconds since 1970.
    """

    customer: str
    salt: str
    digest: str
    created_s: float = 0.0


class SigningKey(msgspec.Struct, frozen=True):
    """A key that signs session tokens; kind ``signing-key``.

    Attributes:
        secret: The key, in hexadecimal.
        created_s: When the key was created, in seconds since 1970.
    """

    secret: str
    created_s: float


class DomainObject(msgspec.Struct, frozen=True):
    """The live members of a failure domain; kind ``domain``.

    Attributes:
        relay: Name of the domain's relay.
        token: The relay's fencing token.
        number: The number of the relay's view.
        members: Names of the live members.
    """

    relay: str
    token: int
    number: int
    members: tuple[str, ...]


class InstanceObject(msgspec.Struct, frozen=True):
    """A registered instance; kind ``instance``.

    Attributes:
        name: The instance's name.
        failure_domain: The instance's failure domain.
        address: The instance's address for its peers, as a pynng URL.
        leaving: Whether it is shutting down.
        admin: Address of its health, metrics and status, as ``http://host:port``.
    """

    name: str
    failure_domain: str
    address: str
    leaving: bool = False
    admin: str = ""
