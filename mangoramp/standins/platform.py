"""A stand-in for the platform's store, held in memory.

``GET /objects/{kind}`` lists, and watches with ``watch`` and ``wait_ms``; ``POST``
creates, ``GET``, ``PUT`` and ``DELETE /objects/{kind}/{name}`` read and change one. A
change that names a revision is made only if the object still has it.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable
from typing import Any

import msgspec
import tornado.web

MAX_VALUE_BYTES = 1_000_000
PAGE_ITEMS = 500
MAX_WAIT_S = 30.0


class Stored(msgspec.Struct, frozen=True):
    """One object as the platform holds it; a deleted one has no value."""

    kind: str
    name: str
    version: int
    value: msgspec.Raw | None


class Listing(msgspec.Struct, frozen=True):
    """The objects of a kind that changed after a version."""

    version: int
    objects: tuple[Stored, ...]


class Meta(msgspec.Struct, frozen=True):
    """What the store says of an object."""

    name: str
    revision: int = 0
    created: int = 0
    finalizers: tuple[str, ...] = ()
    deleting: bool = False


class Document(msgspec.Struct, frozen=True):
    """An object as it is sent."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class Happening(msgspec.Struct, frozen=True):
    """One change as a watch is told of it."""

    object: Document
    deleted: bool


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for the platform's failures.

    Attributes:
        down: Answer 503 to everything.
        late_s: Seconds by which each answer is late.
        lose_answers: How many of the next changes to make without answering.
        forget: Answer watches from before this revision with 410.
    """

    down: bool = False
    late_s: float = 0.0
    lose_answers: int = 0
    forget: int = 0


class Platform:
    """The objects, their versions and those who wait for changes."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.calls: dict[str, int] = defaultdict(int)
        self._objects: dict[str, dict[str, Stored]] = defaultdict(dict)
        self._version = 0
        self._changed = asyncio.Event()

    def application(self) -> tornado.web.Application:
        """The HTTP application of the object API and its fault switches."""
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

    def get(self, kind: str, name: str) -> Stored | None:
        """Read one object."""
        return self._objects[kind].get(name)

    def put(self, kind: str, name: str, version: int, value: bytes | None) -> bool:
        """Change one object if its version is still the one given.

        Args:
            kind: The object's kind.
            name: The object's name.
            version: The version it must have, 0 for none.
            value: The new value as JSON, None to delete it.

        Returns:
            Whether the change was made.
        """
        current = self.get(kind, name)
        exists = current is not None and current.value is not None
        if version != (current.version if current is not None and exists else 0):
            return False
        self._version += 1
        raw = None if value is None else msgspec.Raw(value)
        self._objects[kind][name] = Stored(kind, name, self._version, raw)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    def since(self, kind: str, version: int) -> Listing:
        """List the objects of a kind that changed after a version."""
        found = [o for o in self._objects[kind].values() if o.version > version]
        if version == 0:
            found = [o for o in found if o.value is not None]
        return Listing(self._version, tuple(sorted(found, key=lambda o: o.version)))

    async def watch(self, kind: str, version: int, wait_s: float) -> Listing:
        """List as :meth:`since` does, waiting for the first change."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(wait_s, MAX_WAIT_S)
        while True:
            listing = self.since(kind, version)
            left = deadline - loop.time()
            if listing.objects or left <= 0 or self.faults.down:
                return listing
            await self._wait(left)

    async def _wait(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def wake(self) -> None:
        """Let every watch look again."""
        self._changed.set()
        self._changed = asyncio.Event()


class PlatformHandler(tornado.web.RequestHandler):
    """What the handlers share: the platform and its failures."""

    def initialize(self, platform: Platform) -> None:
        """Remember the platform."""
        self.platform = platform

    async def prepare(self) -> None:
        """Count the call, and fail it where a switch says so."""
        method = self.request.method or ""
        self.platform.calls[method] += 1
        await asyncio.sleep(self.platform.faults.late_s)
        if self.platform.faults.down:
            self.send_error(503)

    def answer(self, value: Any) -> None:
        """Send a JSON answer."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def change(self, kind: str, name: str, version: int, value: bytes | None) -> None:
        """Make a change and answer it."""
        if not self.platform.put(kind, name, version, value):
            self.send_error(409)
            return
        if self.platform.faults.lose_answers:
            self.platform.faults.lose_answers -= 1
            self.detach().close()
            return
        changed = self.platform.get(kind, name)
        assert changed is not None
        self.answer(document(changed))


def document(stored: Stored) -> Document:
    """An object in the form in which it is sent."""
    return Document(
        Meta(stored.name, stored.version), stored.value or msgspec.Raw(b"null")
    )


class KindHandler(PlatformHandler):
    """Lists, watches and creates the objects of a kind."""

    async def get(self, kind: str) -> None:
        """List the objects of a kind, or wait for a change of them."""
        since = self.get_query_argument("watch", "")
        if not since:
            self._list(kind, self.get_query_argument("after", ""))
            return
        if int(since) < self.platform.faults.forget:
            self.send_error(410)
            return
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        listing = await self.platform.watch(kind, int(since), wait_s)
        if self.platform.faults.down:
            self.send_error(503)
            return
        events = [Happening(document(o), o.value is None) for o in listing.objects]
        self.answer({"events": events, "current_rev": listing.version})

    def post(self, kind: str) -> None:
        """Create an object."""
        doc = msgspec.json.decode(self.request.body, type=Document)
        self.change(kind, doc.meta.name, 0, bytes(doc.spec))

    def _list(self, kind: str, after: str) -> None:
        listing = self.platform.since(kind, 0)
        found = sorted(listing.objects, key=lambda o: o.name)
        rest = [document(o) for o in found if o.name > after]
        self.answer(
            {
                "items": rest[:PAGE_ITEMS],
                "has_more": len(rest) > PAGE_ITEMS,
                "current_rev": listing.version,
            }
        )


class ObjectHandler(PlatformHandler):
    """Reads and changes one object."""

    def get(self, kind: str, name: str) -> None:
        """Read the object."""
        found = self.platform.get(kind, name)
        if found is None or found.value is None:
            self.send_error(404)
            return
        self.answer(document(found))

    def put(self, kind: str, name: str) -> None:
        """Replace the object."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.send_error(413)
            return
        doc = msgspec.json.decode(self.request.body, type=Document)
        self.change(kind, name, doc.meta.revision, bytes(doc.spec))

    def delete(self, kind: str, name: str) -> None:
        """Delete the object."""
        self.change(kind, name, int(self.get_query_argument("revision", "0")), None)


class FaultHandler(tornado.web.RequestHandler):
    """Sets the platform's switches: ``PUT /faults`` with all of them."""

    def initialize(self, platform: Platform) -> None:
        """Remember the platform."""
        self.platform = platform

    def put(self) -> None:
        """Take over the switches of the body."""
        body = self.request.body
        self.platform.faults = msgspec.json.decode(body, type=PlatformFaults)
        self.platform.wake()


class CallsHandler(tornado.web.RequestHandler):
    """Shows how many calls there were: ``GET /calls``."""

    def initialize(self, platform: Platform) -> None:
        """Remember the platform."""
        self.platform = platform

    def get(self) -> Awaitable[None]:
        """Answer the counts by HTTP method."""
        return self.finish(msgspec.json.encode(self.platform.calls))
