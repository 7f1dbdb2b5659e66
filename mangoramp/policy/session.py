"""Session tokens: the positions a session has seen, signed for one customer."""

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
    """The log positions that a session has seen.

    Attributes:
        customer: The customer to whom the session belongs.
        seen: The highest position seen, by database group.
    """

    customer: str
    seen: Mapping[str, Position] = field(default_factory=dict)

    def at(self, group: str) -> Position:
        """Return the highest position seen in a group."""
        return self.seen.get(group, START)

    def with_position(self, group: str, position: Position) -> Session:
        """Return the session with a position added to those it has seen."""
        seen = dict(self.seen)
        seen[group] = max(position, self.at(group))
        return replace(self, seen=seen)


class _TokenBody(msgspec.Struct, array_like=True):
    customer: str
    seen: dict[str, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class SigningKeys:
    """The keys that sign session tokens.

    Attributes:
        secrets: The keys by id; each of them verifies tokens.
        current: The id of the key that signs new tokens.
    """

    secrets: Mapping[str, bytes]
    current: str


def encode_session(session: Session, keys: SigningKeys) -> str:
    """Encode and sign a session.

    Args:
        session: The session.
        keys: The signing keys.
    """
    seen = {group: (p.term, p.offset) for group, p in session.seen.items()}
    body = msgspec.msgpack.encode(_TokenBody(session.customer, seen))
    digest = _sign(body, keys.secrets[keys.current])
    return f"{keys.current}.{_encode_base64(digest)}.{_encode_base64(body)}"


def decode_session(
    token: str, customer: str, keys: SigningKeys
) -> Result[Session, Fault]:
    """Verify and decode a token; an empty token is a new session.

    Args:
        token: The token sent by the caller.
        customer: The customer whose API key was sent with the token.
        keys: The signing keys.
    """
    if not token:
        return Success(Session(customer))
    if len(token) > MAX_TOKEN_CHARS or token.count(".") != 2:
        return _invalid("it is no session token")
    key_id, digest, body = token.split(".")
    if key_id not in keys.secrets:
        return _invalid("its signing key is not in force")
    try:
        raw = _decode_base64(body)
        is_valid = hmac.compare_digest(
            _sign(raw, keys.secrets[key_id]), _decode_base64(digest)
        )
    except (binascii.Error, ValueError):
        return _invalid("it is no session token")
    if not is_valid:
        return _invalid("its signature is wrong")
    decoded = msgspec.msgpack.decode(raw, type=_TokenBody)
    if decoded.customer != customer:
        return _invalid("it is another customer's", code=Code.FORBIDDEN)
    seen = {group: Position(*pair) for group, pair in decoded.seen.items()}
    return Success(Session(customer, seen))


def is_ahead_of_term(seen: Position, term: int) -> bool:
    """Return whether a session has seen a term later than the group's known term."""
    return seen.term > term


def is_ahead_of_log(
    seen: Position, primary: ServerStatus | None, *, since: float
) -> bool:
    """Return whether a session's position is beyond the end of its group's log.

    A log only grows within a term, so a primary that reports a shorter log after the
    session arrived proves it.

    Args:
        seen: The position that the session has seen.
        primary: The primary's last status, None if it is unknown.
        since: When the session arrived, in seconds.
    """
    if primary is None or primary.asked_at < since:
        return False
    return seen.term == primary.log_term and seen.offset > primary.held


def _sign(body: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, body, "sha256")[:DIGEST_BYTES]


def _encode_base64(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)


def _invalid(why: str, *, code: Code = Code.SESSION_INVALID) -> Result[Session, Fault]:
    return Failure(Fault(code, f"the session token is refused: {why}", Step.SESSION))
