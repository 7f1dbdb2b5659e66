"""Messages with which an instance gets updates from a peer instead of the store."""

from __future__ import annotations

import zlib

import msgspec

from ..decoding import msgpack_decoder
from ..policy.revision import Revision
from ..proxies.envelope import Envelope
from .cluster_state import DepartedServer, VersionedEndpoint
from .deployment import Deployment

PACKING_LEVEL = 1  # the fastest; hubs pack while they serve callers


class _AskNewsFields(Envelope, frozen=True, array_like=True):
    """Requests the updates that the sender does not have yet.

    Attributes:
        revision: The revision of the configuration that the sender has in force.
        registry_revision: The latest registry revision that the sender knows.
        version: The version of the configuration that the sender has in force.
        era: The era of the registry revision.
    """

    revision: int
    registry_revision: int
    version: int = 0
    era: int = 0


class AskNews(_AskNewsFields, frozen=True, array_like=True, kw_only=True):
    """Requests the updates that the sender does not have yet.

    The former build expects the message's id after ``era``, so newer fields are in a
    class of their own, which places them after the id.

    Attributes:
        evacuations_at: Era and number of the newest revision of the evacuations that
            the sender knows, None if it knows none.
        reads_packed: Whether the sender reads a packed configuration.
    """

    evacuations_at: tuple[int, int] | None = None
    reads_packed: bool = False


class _NewsFields(Envelope, frozen=True, array_like=True):
    """The updates since the revisions in a request.

    Attributes:
        revision: The revision of the configuration in force.
        registry_revision: The latest registry revision that the sender knows.
        deployment: The configuration in force, None if it is not newer.
        endpoints: The newer registry entries.
        server_ids: The ids of all servers with a registry entry.
        is_registered: Whether the sender has the full registry.
        era: The era of the registry revision.
        departed: The servers that left lately.
    """

    revision: int
    registry_revision: int
    deployment: Deployment | None
    endpoints: tuple[VersionedEndpoint, ...]
    server_ids: frozenset[str]
    is_registered: bool
    era: int = 0
    departed: dict[str, DepartedServer] = {}


class News(_NewsFields, frozen=True, array_like=True, kw_only=True):
    """The updates since the revisions in a request.

    Attributes:
        evacuations: Each failure domain with the era and number of its newest revision
            and whether it is evacuated.
        evacuations_at: Era and number of the newest revision of the evacuations that
            the sender knows, None if it knows none.
        packed_deployment: The configuration in force, packed by ``pack_deployment``,
            for a receiver that reads it; then ``deployment`` is None.
    """

    evacuations: tuple[tuple[str, int, int, bool], ...] = ()
    evacuations_at: tuple[int, int] | None = None
    packed_deployment: bytes | None = None

    @property
    def has_deployment(self) -> bool:
        """Whether it carries a configuration."""
        return self.deployment is not None or self.packed_deployment is not None

    @property
    def registry_at(self) -> Revision:
        """The latest registry revision that the sender knows."""
        return Revision(self.era, self.registry_revision)


_decode_deployment = msgpack_decoder(Deployment)


def pack_deployment(deployment: Deployment) -> bytes:
    """Encode and compress a configuration, whose routes are much alike."""
    return zlib.compress(msgspec.msgpack.encode(deployment), level=PACKING_LEVEL)


def unpack_deployment(packed: bytes) -> Deployment:
    """Return the configuration that was packed.

    Raises:
        ValueError: It cannot be read.
    """
    try:
        raw = zlib.decompress(packed)
    except zlib.error as exc:
        raise ValueError(f"the packed configuration cannot be read: {exc}") from exc
    deployment: Deployment = _decode_deployment(raw)
    return deployment


NewsMessage = AskNews | News
