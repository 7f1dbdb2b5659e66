"""Stand-in for the platform: its metadata store and the promotion call."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from .record import Record

HOST = "127.0.0.1"
ANSWER_S = 0.004  # the store's time for an answer
MAX_WAIT_S = 30.0
PAGE_ITEMS = 500


@dataclass
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"null")


Answer = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Answer]]


class HttpServer:
    """A small HTTP/1.1 server.

    Args:
        handler: Answers one request with a status and a JSON value.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                req = await _read_request(reader)
                status, value = await self._handler(req)
                body = json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {k: v[-1] for k, v in parse_qs(parts.query).items()}
    return Request(method, unquote(parts.path), query, headers, body)


@dataclass
class Stored:
    """One object of the store."""

    meta: dict[str, Any]
    spec: Any = None
    status: Any = None

    def document(self) -> dict[str, Any]:
        """Return the object as it is sent."""
        return {"meta": dict(self.meta), "spec": self.spec, "status": self.status}


@dataclass
class Event:
    """One change of an object."""

    revision: int
    kind: str
    document: dict[str, Any]
    deleted: bool


class Store:
    """The platform's metadata store.

    Args:
        record: The record of the run.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects: dict[str, dict[str, Stored]] = {}
        self._events: list[Event] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self.http = HttpServer(self._answer)

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a server does; None removes it."""
        found = self._objects.setdefault(kind, {}).get(name)
        if spec is None:
            if found is not None:
                self._remove(kind, name, found)
        elif found is None:
            self._create(kind, {"name": name}, spec)
        else:
            self._replace(kind, found, spec, None)
        return self._revision

    def _create(self, kind: str, meta: dict[str, Any], spec: Any) -> Stored:
        stored = Stored(
            {
                "name": meta["name"],
                "finalizers": meta.get("finalizers", []),
                "deleting": False,
            },
            spec,
        )
        self._objects.setdefault(kind, {})[meta["name"]] = stored
        self._note(kind, stored)
        stored.meta["created"] = self._revision
        return stored

    def _replace(
        self, kind: str, stored: Stored, spec: Any, finalizers: list[str] | None
    ) -> None:
        same = finalizers is None or finalizers == stored.meta["finalizers"]
        is_heartbeat = kind == "servers" and _entry(stored.spec) == _entry(spec)
        if same and (stored.spec == spec or is_heartbeat):
            stored.spec = spec
            return
        stored.spec = spec
        if finalizers is not None:
            stored.meta["finalizers"] = finalizers
        self._note(kind, stored)

    def _remove(self, kind: str, name: str, stored: Stored) -> None:
        del self._objects[kind][name]
        self._note(kind, stored, deleted=True)

    def _note(self, kind: str, stored: Stored, *, deleted: bool = False) -> None:
        self._revision += 1
        stored.meta["revision"] = self._revision
        event = Event(self._revision, kind, stored.document(), deleted)
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, req: Request) -> Answer:
        await asyncio.sleep(ANSWER_S)
        parts = req.path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind = parts[1]
        if len(parts) == 2:
            if req.method == "POST":
                return self._post(kind, req.json())
            if "watch" in req.query:
                return await self._watch(kind, req.query)
            return 200, self._page(kind, req.query.get("after", ""))
        if len(parts) == 4:
            return self._put_status(kind, parts[2], req.json())
        return self._one(req, kind, parts[2])

    def _page(self, kind: str, after: str) -> dict[str, Any]:
        found = self._objects.get(kind, {})
        names = sorted(name for name in found if name > after)
        items = [found[name].document() for name in names[:PAGE_ITEMS]]
        return {
            "items": items,
            "has_more": len(names) > PAGE_ITEMS,
            "current_rev": self._revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> Answer:
        since = int(query["watch"])
        if since > self._revision:
            return 410, {}
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", "0")) / 1000)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            found = [e for e in self._events if e.kind == kind and e.revision > since]
            left = deadline - loop.time()
            if found or left <= 0:
                events = [{"object": e.document, "deleted": e.deleted} for e in found]
                return 200, {"events": events, "current_rev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _post(self, kind: str, value: Any) -> Answer:
        meta = value["meta"]
        found = self._objects.get(kind, {}).get(meta["name"])
        if found is not None:
            return 409, found.document()
        stored = self._create(kind, meta, value.get("spec"))
        self._record.write("store", f"created {kind}/{meta['name']} {value['spec']}")
        return 201, stored.document()

    def _put_status(self, kind: str, name: str, value: Any) -> Answer:
        found = self._objects.get(kind, {}).get(name)
        if found is None:
            return 404, {}
        found.status = value.get("status")
        self._note(kind, found)
        return 200, found.document()

    def _one(self, req: Request, kind: str, name: str) -> Answer:
        found = self._objects.get(kind, {}).get(name)
        if found is None:
            return 404, {}
        if req.method == "GET":
            return 200, found.document()
        value = req.json() if req.method == "PUT" else None
        expected = value["meta"].get("revision") if value else req.query.get("revision")
        if expected is not None and int(expected) != found.meta["revision"]:
            return 409, found.document()
        if value is None:
            self._remove(kind, name, found)
        else:
            finalizers = value["meta"].get("finalizers")
            self._replace(kind, found, value.get("spec"), finalizers)
        self._record.write("store", f"{req.method} {kind}/{name} {value}")
        return 200, found.document()


def _entry(spec: Any) -> Any:
    """Return what a server's entry says, without the count of its reports."""
    return {k: v for k, v in spec.items() if k != "sequence"} if spec else spec


@dataclass
class Cloud:
    """The platform's promotion call, which checks fences.

    Attributes:
        promote: Makes a server the primary; returns whether it runs.
        record: The record of the run.
        is_down: Whether each call is refused with 503.
    """

    promote: Callable[[str, str], Awaitable[bool]]
    record: Record
    is_down: bool = False
    _seen: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.http = HttpServer(self._answer)

    async def _answer(self, req: Request) -> Answer:
        value = req.json()
        token = int(req.headers["fencing-token"])
        holder = req.headers["lease-holder"]
        what = f"promote {value['id']} by {holder} with token {token}"
        if self.is_down:
            self.record.write("cloud", f"{what}: 503, the platform is down")
            return 503, {}
        service = value["service"]
        if token < self._seen.get(service, 0):
            self.record.write("cloud", f"{what}: 409, the token is too low")
            return 409, {}
        self._seen[service] = token
        self.record.write("cloud", f"{what}: begins")
        is_running = await self.promote(service, value["id"])
        self.record.write("cloud", f"{what}: {'200' if is_running else '409'}")
        return (200 if is_running else 409), {}
