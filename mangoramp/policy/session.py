"""Session tokens: what a session has seen, signed and bound to its customer."""

from __future__ import annotations

import base64
import binascii
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec
from returns.result import Failure, Result, Success

from ..errors import Code, Fault, Step
from .position import START, Position
from .quorum import ServerStatus

MAX_TOKEN_CHARS = 16_384
MAX_GROUPS = 64
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Session:
    """What a session has seen.

    Attributes:
        customer: Whose session it is.
        seen: The highest position seen, by database group.
    """

    customer: str
    seen: Mapping[str, Position] = field(default_factory=dict)

    def at(self, group: str) -> Position:
        """The position seen in a group."""
        return self.seen.get(group, START)

    def merged(self, group: str, position: Position) -> Session:
        """The session after it has also seen a position."""
        seen = dict(self.seen)
        seen[group] = max(position, self.at(group))
        return replace(self, seen=seen)


class _Body(msgspec.Struct, array_like=True):
    customer: str
    seen: dict[str, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class SigningKeys:
    """The keys that sign session tokens.

    Attributes:
        secrets: The keys by their ids, all of which verify.
        current: The id of the key that signs.
    """

    secrets: Mapping[str, bytes]
    current: str


def encode_session(session: Session, keys: SigningKeys) -> str:
    """Encode and sign a session.

    Args:
        session: The session.
        keys: The keys; the current one signs.
    """
    seen = {group: (p.term, p.offset) for group, p in session.seen.items()}
    body = msgspec.msgpack.encode(_Body(session.customer, seen))
    digest = _sign(body, keys.secrets[keys.current])
    return f"{keys.current}.{_armour(digest)}.{_armour(body)}"


def decode_session(
    token: str, customer: str, keys: SigningKeys
) -> Result[Session, Fault]:
    """Check and decode a token; an empty one is a new session.

    Args:
        token: What the caller sent.
        customer: Whose key came with it.
        keys: The keys that verify.
    """
    if not token:
        return Success(Session(customer))
    if len(token) > MAX_TOKEN_CHARS or token.count(".") != 2:
        return _invalid("it is no session token")
    key_id, digest, body = token.split(".")
    if key_id not in keys.secrets:
        return _invalid("its signing key is not in force")
    try:
        raw = _strip(body)
        genuine = hmac.compare_digest(_sign(raw, keys.secrets[key_id]), _strip(digest))
    except (binascii.Error, ValueError):
        return _invalid("it is no session token")
    if not genuine:
        return _invalid("its signature is wrong")
    found = msgspec.msgpack.decode(raw, type=_Body)
    if found.customer != customer:
        return _invalid("it is another customer's", code=Code.FORBIDDEN)
    seen = {group: Position(*pair) for group, pair in found.seen.items()}
    return Success(Session(customer, seen))


def is_ahead_of_term(seen: Position, term: int) -> bool:
    """Whether a session has seen a term that a group is not known to have reached."""
    return seen.term > term


def is_ahead_of_log(
    seen: Position, primary: ServerStatus | None, *, since: float
) -> bool:
    """Whether a session names a place in the log that its group has not reached.

    A log only grows while a term lasts, so a primary that was asked after the session
    came, and has less, proves it.

    Args:
        seen: What the session has seen.
        primary: What the primary last said, None if it is not known.
        since: When the session came, in seconds.
    """
    if primary is None or primary.asked_at < since:
        return False
    return seen.term == primary.log_term and seen.offset > primary.held


def _sign(body: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, body, "sha256")[:DIGEST_BYTES]


def _armour(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _strip(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)


def _invalid(why: str, *, code: Code = Code.SESSION_INVALID) -> Result[Session, Fault]:
    return Failure(Fault(code, f"the session token is refused: {why}", Step.SESSION))
