"""In-memory stand-in for the platform's object store.

``GET /objects/{kind}`` lists objects, or watches them if ``watch`` and ``wait_ms`` are
given; ``POST /objects/{kind}`` creates an object; ``GET``, ``PUT`` and ``DELETE
/objects/{kind}/{name}`` read, replace and delete it. A change fails with a conflict
unless its revision is the object's current revision.
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Any

import msgspec
import tornado.web

MAX_VALUE_BYTES = 1_000_000
MAX_PAGE_ITEMS = 500
MAX_WAIT_S = 30.0
ERA_HEADER = "Store-Era"


class StoredObject(msgspec.Struct, frozen=True):
    """A stored object; a deleted object has no value."""

    kind: str
    name: str
    version: int
    value: msgspec.Raw | None


class Listing(msgspec.Struct, frozen=True):
    """Objects of a kind that changed after a version, and the current version."""

    version: int
    objects: tuple[StoredObject, ...]


class Metadata(msgspec.Struct, frozen=True):
    """Metadata of an object."""

    name: str
    revision: int = 0
    created: int = 0
    finalizers: tuple[str, ...] = ()
    deleting: bool = False


class Document(msgspec.Struct, frozen=True):
    """Encoded form of an object."""

    meta: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class ChangeEvent(msgspec.Struct, frozen=True):
    """A change event of a watch."""

    object: Document
    deleted: bool


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault injection settings of the platform.

    Attributes:
        down: Answer every request with 503.
        late_s: Delay of each answer, in seconds.
        lose_answers: Number of the next changes to make without sending an answer.
        forget: Answer watches from a revision below this one with 410.
        refused_part: Part of the calls that is refused.
        refusal: HTTP status of these refusals.
    """

    down: bool = False
    late_s: float = 0.0
    lose_answers: int = 0
    forget: int = 0
    refused_part: float = 0.0
    refusal: int = 429


@dataclass(frozen=True, slots=True)
class Copy:
    """The contents of the store at one time."""

    objects: dict[str, dict[str, StoredObject]]
    version: int


class Platform:
    """Stores versioned objects and notifies watches of changes.

    Attributes:
        era: The number of restorations from a copy, plus one; sent with each answer.
    """

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.era = 1
        self.calls: dict[str, int] = defaultdict(int)
        self._objects: dict[str, dict[str, StoredObject]] = defaultdict(dict)
        self._version = 0
        self._changed = asyncio.Event()

    def application(self) -> tornado.web.Application:
        """Create the HTTP application of the object API and its fault injection."""
        args = {"platform": self}
        return tornado.web.Application(
            [
                (r"/objects/([^/]+)", KindHandler, args),
                (r"/objects/([^/]+)/([^/]+)", ObjectHandler, args),
                (r"/faults", FaultHandler, args),
                (r"/calls", CallsHandler, args),
            ],
            log_function=lambda handler: None,
        )

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it never existed."""
        return self._objects[kind].get(name)

    def put(self, kind: str, name: str, version: int, value: bytes | None) -> bool:
        """Create, replace or delete an object if its version matches.

        Args:
            kind: The object's kind.
            name: The object's name.
            version: The expected current version, 0 if the object must not exist.
            value: The new value as JSON, None to delete the object.

        Returns:
            Whether the change was made.
        """
        current = self.get(kind, name)
        exists = current is not None and current.value is not None
        if version != (current.version if current is not None and exists else 0):
            return False
        self._version += 1
        raw = None if value is None else msgspec.Raw(value)
        self._objects[kind][name] = StoredObject(kind, name, self._version, raw)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    def take_copy(self) -> Copy:
        """Return a copy of the contents, for :meth:`restore`."""
        objects = {kind: dict(found) for kind, found in self._objects.items()}
        return Copy(objects, self._version)

    def restore(self, copy: Copy) -> None:
        """Replace the contents by a copy; its revisions are given out again."""
        self._objects = defaultdict(dict)
        for kind, found in copy.objects.items():
            self._objects[kind] = dict(found)
        self._version = copy.version
        self.era += 1
        self.notify_watches()

    def fetch_changes(self, kind: str, version: int) -> Listing:
        """List the objects of a kind that changed after a version.

        Version 0 lists all objects, without the deleted ones.
        """
        found = [o for o in self._objects[kind].values() if o.version > version]
        if version == 0:
            found = [o for o in found if o.value is not None]
        return Listing(self._version, tuple(sorted(found, key=lambda o: o.version)))

    def has_history(self, version: int) -> bool:
        """Return whether the changes since a version are known."""
        return self.faults.forget <= version <= self._version

    async def watch(self, kind: str, version: int, wait_s: float) -> Listing:
        """List changed objects, waiting for a change if there is none yet."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(wait_s, MAX_WAIT_S)
        while True:
            listing = self.fetch_changes(kind, version)
            remaining_s = deadline - loop.time()
            if listing.objects or remaining_s <= 0 or self.faults.down:
                return listing
            await self._wait_for_change(remaining_s)

    async def _wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def notify_watches(self) -> None:
        """Make every watch check for changes and faults again."""
        self._changed.set()
        self._changed = asyncio.Event()


class PlatformHandler(tornado.web.RequestHandler):
    """Base handler with access to the platform and its fault injection."""

    def initialize(self, platform: Platform) -> None:
        """Remember the platform."""
        self.platform = platform

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the era with errors too; tornado has cleared the headers."""
        self.set_header(ERA_HEADER, str(self.platform.era))
        super().write_error(status_code, **kwargs)

    def send_head(self) -> None:
        """Set the headers of an answer."""
        self.set_header(ERA_HEADER, str(self.platform.era))
        self.set_header("Content-Type", "application/json")

    async def prepare(self) -> None:
        """Count the call and apply the fault settings."""
        method = self.request.method or ""
        self.platform.calls[method] += 1
        await asyncio.sleep(self.platform.faults.late_s)
        faults = self.platform.faults
        if faults.down:
            self.send_error(503)
        elif random.random() < faults.refused_part:
            self.send_error(faults.refusal)

    def send_json(self, value: Any) -> None:
        """Send a value as JSON."""
        self.send_head()
        self.finish(msgspec.json.encode(value))

    def apply_change(
        self, kind: str, name: str, version: int, value: bytes | None
    ) -> None:
        """Apply a change and send the changed object."""
        if not self.platform.put(kind, name, version, value):
            self.send_error(409)
            return
        if self.platform.faults.lose_answers:
            self.platform.faults.lose_answers -= 1
            self.detach().close()
            return
        changed = self.platform.get(kind, name)
        assert changed is not None
        self.send_json(to_document(changed))


def to_document(stored: StoredObject) -> Document:
    """Return the encoded form of an object."""
    return Document(
        Metadata(stored.name, stored.version), stored.value or msgspec.Raw(b"null")
    )


class KindHandler(PlatformHandler):
    """Lists, watches and creates the objects of a kind."""

    async def get(self, kind: str) -> None:
        """List the objects of a kind, or watch them if ``watch`` is given."""
        after_revision = self.get_query_argument("watch", "")
        if not after_revision:
            self._list(kind, self.get_query_argument("after", ""))
            return
        if not self.platform.has_history(int(after_revision)):
            self.send_error(410)
            return
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        listing = await self.platform.watch(kind, int(after_revision), wait_s)
        if self.platform.faults.down:
            self.send_error(503)
            return
        events = [ChangeEvent(to_document(o), o.value is None) for o in listing.objects]
        self.send_json({"events": events, "current_rev": listing.version})

    def post(self, kind: str) -> None:
        """Create an object."""
        doc = msgspec.json.decode(self.request.body, type=Document)
        self.apply_change(kind, doc.meta.name, 0, bytes(doc.spec))

    def _list(self, kind: str, after: str) -> None:
        listing = self.platform.fetch_changes(kind, 0)
        found = sorted(listing.objects, key=lambda o: o.name)
        rest = [to_document(o) for o in found if o.name > after]
        self.send_json(
            {
                "items": rest[:MAX_PAGE_ITEMS],
                "has_more": len(rest) > MAX_PAGE_ITEMS,
                "current_rev": listing.version,
            }
        )


class ObjectHandler(PlatformHandler):
    """Reads, replaces and deletes an object."""

    def get(self, kind: str, name: str) -> None:
        """Send the object."""
        found = self.platform.get(kind, name)
        if found is None or found.value is None:
            self.send_error(404)
            return
        self.send_json(to_document(found))

    def put(self, kind: str, name: str) -> None:
        """Replace the object."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.send_error(413)
            return
        doc = msgspec.json.decode(self.request.body, type=Document)
        self.apply_change(kind, name, doc.meta.revision, bytes(doc.spec))

    def delete(self, kind: str, name: str) -> None:
        """Delete the object."""
        self.apply_change(
            kind, name, int(self.get_query_argument("revision", "0")), None
        )


class FaultHandler(tornado.web.RequestHandler):
    """Sets all fault settings with ``PUT /faults``."""

    def initialize(self, platform: Platform) -> None:
        """Remember the platform."""
        self.platform = platform

    def put(self) -> None:
        """Apply the fault settings of the request body."""
        body = self.request.body
        self.platform.faults = msgspec.json.decode(body, type=PlatformFaults)
        self.platform.notify_watches()


class CallsHandler(tornado.web.RequestHandler):
    """Reports the number of calls with ``GET /calls``."""

    def initialize(self, platform: Platform) -> None:
        """Remember the platform."""
        self.platform = platform

    def get(self) -> Awaitable[None]:
        """Send the number of calls of each HTTP method."""
        return self.finish(msgspec.json.encode(self.platform.calls))
