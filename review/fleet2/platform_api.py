"""Stand-ins for the users' platform: the metadata store and the promotion API."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}
PAGE_ITEMS = 500


@dataclass(frozen=True)
class HttpRequest:
    """A request with its decoded parts."""

    method: str
    path: list[str]
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


Handle = Callable[[HttpRequest], Awaitable[tuple[int, Any]]]


@dataclass
class HttpServer:
    """Serves one request per connection; while silent, it reads none.

    Attributes:
        is_silent: Whether the path to it is cut: connections get no answer, and those
            that were opened meanwhile never get one.
    """

    handle: Handle
    is_silent: bool = False
    port: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def listen(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while self.is_silent:
                # What is sent during the cut is lost.
                if not await reader.read(65536):
                    return
            head = await reader.readuntil(b"\r\n\r\n")
            if self.is_silent:
                await reader.read()
                return
            request = await _decode(head, reader)
            code, body = await self.handle(request)
            if not self.is_silent:
                writer.write(_encode(code, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()


async def _decode(head: bytes, reader: asyncio.StreamReader) -> HttpRequest:
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    raw = await reader.readexactly(size) if size else b""
    parts = urlsplit(target)
    path = [unquote(p) for p in parts.path.split("/") if p]
    query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    return HttpRequest(method, path, query, headers, json.loads(raw) if raw else None)


def _encode(code: int, body: Any) -> bytes:
    raw = b"" if body is None else json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {code} {REASONS.get(code, 'Error')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + raw


@dataclass
class StoredObject:
    """An object of the store."""

    name: str
    revision: int
    created: int
    spec: Any
    status: Any = None

    def encode(self) -> dict[str, Any]:
        """Return the object as the API sends it."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"meta": meta, "spec": self.spec, "status": self.status}


@dataclass(frozen=True)
class _Event:
    revision: int
    kind: str
    object: dict[str, Any]
    deleted: bool


class Store:
    """The metadata store, with its whole history.

    Attributes:
        on_put: Called with kind, name and spec after each write over HTTP.
    """

    def __init__(self) -> None:
        self.http = HttpServer(self._handle)
        self.on_put: Callable[[str, str, Any], None] = lambda kind, name, spec: None
        self.revision = 1
        self._kinds: dict[str, dict[str, StoredObject]] = {}
        self._events: list[_Event] = []
        self._changed = asyncio.Event()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, None if there is none."""
        return self._kinds.get(kind, {}).get(name)

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object, as the operator and the servers do."""
        known = self.get(kind, name)
        if known is not None and known.spec == spec:
            return
        self.revision += 1
        created = known.created if known is not None else self.revision
        found = StoredObject(name, self.revision, created, spec)
        self._kinds.setdefault(kind, {})[name] = found
        self._record(kind, found, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        known = self._kinds.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            known.revision = self.revision
            self._record(kind, known, deleted=True)

    def _record(self, kind: str, found: StoredObject, *, deleted: bool) -> None:
        event = _Event(self.revision, kind, found.encode(), deleted)
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: HttpRequest) -> tuple[int, Any]:
        if len(req.path) < 2 or req.path[0] != "objects":
            return 404, None
        await asyncio.sleep(0.004)
        kind, name = req.path[1], "/".join(req.path[2:])
        if req.method == "GET" and not name:
            if "watch" in req.query:
                return await self._watch(kind, req)
            return 200, self._list(kind, req.query.get("after", ""))
        return self._handle_object(kind, name, req)

    def _handle_object(self, kind: str, name: str, req: HttpRequest) -> tuple[int, Any]:
        if req.method == "POST":
            name = req.body["meta"]["name"]
        known = self.get(kind, name)
        if known is None:
            if req.method != "POST":
                return 404, None
        elif req.method == "GET":
            return 200, known.encode()
        elif req.method == "POST" or not _has_revision(req, known):
            return 409, known.encode()
        if req.method == "DELETE":
            self.delete(kind, name)
            return 200, None
        self.write(kind, name, req.body["spec"])
        self.on_put(kind, name, req.body["spec"])
        written = self.get(kind, name)
        assert written is not None
        return (201 if req.method == "POST" else 200), written.encode()

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        found = sorted(self._kinds.get(kind, {}).items())
        rest = [stored.encode() for name, stored in found if name > after]
        return {
            "items": rest[:PAGE_ITEMS],
            "has_more": len(rest) > PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, kind: str, req: HttpRequest) -> tuple[int, Any]:
        since = int(req.query["watch"])
        if since > self.revision:
            return 410, None
        until = time.monotonic() + int(req.query.get("wait_ms", "0")) / 1000
        while True:
            changed = self._changed
            found = [e for e in self._events if e.revision > since and e.kind == kind]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                events = [{"object": e.object, "deleted": e.deleted} for e in found]
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


def _has_revision(req: HttpRequest, known: StoredObject) -> bool:
    asked = req.query.get("revision")
    if asked is None and req.body is not None:
        asked = req.body["meta"].get("revision")
    return asked is None or int(asked) == known.revision


@dataclass(frozen=True)
class Promotion:
    """A call of the promotion API that the platform got."""

    at: float
    holder: str
    token: int
    service: str
    server: str
    code: int


class Cloud:
    """The promotion API.

    Args:
        promote: Makes a server of a service the primary; returns whether it runs.
        requires_fencing: Whether calls with a lower token than seen are refused.
    """

    def __init__(
        self, promote: Callable[[str, str], bool], *, requires_fencing: bool
    ) -> None:
        self.calls: list[Promotion] = []
        self.paths: list[HttpServer] = []
        self._promote = promote
        self._requires_fencing = requires_fencing

    async def open_path(self) -> HttpServer:
        """Return a new address of the API, whose path can be cut by itself."""
        path = HttpServer(self._handle)
        await path.listen()
        self.paths.append(path)
        return path

    async def _handle(self, req: HttpRequest) -> tuple[int, Any]:
        if req.method != "POST" or req.path != ["promotion"]:
            return 404, None
        service, server = req.body["service"], req.body["id"]
        token = int(req.headers["fencing-token"])
        seen = max((c.token for c in self.calls if c.service == service), default=0)
        is_refused = self._requires_fencing and token < seen
        code = 409 if is_refused or not self._promote(service, server) else 200
        holder = req.headers["lease-holder"]
        call = Promotion(time.monotonic(), holder, token, service, server, code)
        self.calls.append(call)
        return code, None

    def close(self) -> None:
        """Stop listening."""
        for path in self.paths:
            path.close()
