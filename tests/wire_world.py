"""Runs a deployment in one process: store, servers, promotion and instances."""

import asyncio
import contextlib
import itertools
import random

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

from mangoramp.control.settings import Bounds, Features, InstanceSettings
from mangoramp.instance import Instance
from mangoramp.standins._ports import HOST, free_ports
from mangoramp.standins.platform import Platform
from mangoramp.standins.wire_group import WireGroup

GROUP = "register"
SERVERS = ("s1", "s2", "s3")
KEY = "k-alpha"
TIMEOUT_S = 5.0
BOUNDS = Bounds(grace_s=3.0)


def configuration(version=1, **changes):
    routes = [
        {"database_name": "orders", "type": "primary"},
        {
            "database_name": "search",
            "type": "bounded_staleness",
            "max_staleness_ms": 1500,
        },
        {
            "database_name": "notes",
            "type": "read_your_writes",
            "max_staleness_ms": 2500,
        },
    ]
    base = {
        "version": version,
        "routes": [
            {"service": GROUP, "timeout_ms": 1500, "priority": 1, **r} for r in routes
        ],
        "services": [{"name": GROUP, "max_connections": 16}],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {"name": "alpha", "api_keys": [KEY], "rate_per_s": 1e4, "burst": 1e4},
            {"name": "beta", "api_keys": ["k-beta"], "rate_per_s": 1e4, "burst": 1e4},
        ],
    }
    return base | changes


def server_entry(group, server_id, **changes):
    server = group.servers[server_id]
    base = {
        "service": group.name,
        "address": f"{HOST}:{server.listening_port}",
        "zone": "a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold_remaining_ms": server.cold_left_ms,
        "db_role": "primary" if server.is_primary else "replica",
        "sequence": 1,
        "born": server.start_count,
    }
    return base | changes


class Caller:
    """Client of the wire protocol that reads and writes raw lines."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self._ids = 0

    async def read_line(self):
        raw = await asyncio.wait_for(self.stream.read_until(b"\r\n"), TIMEOUT_S)
        return raw[:-2].decode()

    async def send(self, text, request_id=None):
        self._ids += 1
        request_id = request_id or f"q{id(self)}-{self._ids}"
        await self.stream.write(f"QUERY {request_id} {text}\r\n".encode())

    async def read_reply(self):
        lines = [await self.read_line()]
        while not lines[-1].startswith("READY"):
            lines.append(await self.read_line())
        return lines

    async def ask(self, text, request_id=None):
        await self.send(text, request_id)
        return await self.read_reply()

    def close(self):
        self.stream.close()


class World:
    """A deployment; use it as an asynchronous context manager."""

    def __init__(self, *, instances=1, seed=1, features=None, other_groups=()):
        self.platform = Platform()
        self.group = WireGroup(GROUP, SERVERS)
        self.groups = (self.group, *other_groups)
        self.instances = []
        self.promotion_requests = []
        self.is_promotion_enabled = True
        self.is_fenced = True
        self.lead_s = 0.0  # from the answer until the server leads
        self._count = instances
        self._seed = seed
        self._features = features or Features()
        self._store_port, self._promotion_port = free_ports(2)
        self._sequences = itertools.count(1)

    async def __aenter__(self):
        for group in self.groups:
            group.listen()
        self._store_http = HTTPServer(self.platform.application())
        self._store_http.listen(self._store_port, HOST)
        self._promotion_http = HTTPServer(
            tornado.web.Application(
                [("/promotion", _PromotionHandler, {"world": self})],
                log_function=lambda handler: None,
            )
        )
        self._promotion_http.listen(self._promotion_port, HOST)
        self.put("config", "main", configuration())
        for group in self.groups:
            for server_id in group.servers:
                self.list_server(server_id)
        for number in range(self._count):
            await self.start_instance(f"i{number}")
        await self.wait_until(lambda: all(i.is_ready for i in self.instances))
        return self

    async def __aexit__(self, *exc):
        for instance in self.instances:
            instance.close()
        self._store_http.stop()
        self._promotion_http.stop()
        for group in self.groups:
            group.stop()
        await asyncio.sleep(0)

    async def start_instance(self, name, **changes):
        callers, health, peers = free_ports(3)
        peer_addresses = [i.cfg.peers for i in self.instances]
        fields = {
            "name": name,
            "failure_domain": "a",
            "callers": (HOST, callers),
            "health": (HOST, health),
            "peers": (HOST, peers),
            "seeds": tuple(peer_addresses),
            "store_url": f"http://{HOST}:{self._store_port}",
            "promotion_url": f"http://{HOST}:{self._promotion_port}",
            "is_first_start": True,
            "bounds": BOUNDS,
            "features": self._features,
        }
        cfg = InstanceSettings(**(fields | changes))
        instance = Instance(cfg, rng=random.Random(f"{self._seed}-{name}"))
        self.instances.append(instance)
        await instance.start()
        return instance

    def put(self, kind, name, value):
        current = self.platform.get(kind, name)
        exists = current is not None and current.value is not None
        raw = None if value is None else msgspec.json.encode(value)
        assert self.platform.put(kind, name, current.version if exists else 0, raw)

    def group_of(self, server_id):
        return next(g for g in self.groups if server_id in g.servers)

    def list_server(self, server_id, **changes):
        changes = {"sequence": next(self._sequences)} | changes
        entry = server_entry(self.group_of(server_id), server_id, **changes)
        self.put("servers", server_id, entry)

    def promote(self, server_id):
        group = self.group_of(server_id)
        previous = group.primary
        group.promote(server_id)
        for changed in {previous, server_id}:
            if self.platform.get("servers", changed).value is not None:
                self.list_server(changed)

    async def connect(self, database="orders", key=KEY, instance=0):
        host, port = self.instances[instance].cfg.callers
        stream = await TCPClient().connect(host, port)
        caller = Caller(stream)
        await stream.write(f"START {database} {key}\r\n".encode())
        return caller, await caller.read_line()

    async def caller(self, database="orders", key=KEY, instance=0):
        caller, welcome = await self.connect(database, key, instance)
        assert welcome == "READY I -"
        return caller

    async def wait_until(self, condition, timeout_s=TIMEOUT_S):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    def find_runs(self, request_id):
        return [run for run in self.group.runs if run.request_id == request_id]


class _PromotionHandler(tornado.web.RequestHandler):
    def initialize(self, world):
        self.world = world

    def post(self):
        promotion = msgspec.json.decode(self.request.body)
        token = int(self.request.headers["Fencing-Token"])
        holder = self.request.headers["Lease-Holder"]
        world = self.world
        group = world.group_of(promotion["id"])
        earlier = [t for _, t, i in world.promotion_requests if i in group.servers]
        world.promotion_requests.append((holder, token, promotion["id"]))
        if world.is_fenced and token < max(earlier, default=0):
            self.send_error(409)
            return
        if world.is_promotion_enabled and promotion["id"] != group.primary:
            if world.lead_s:
                loop = asyncio.get_running_loop()
                loop.call_later(world.lead_s, world.promote, promotion["id"])
            else:
                world.promote(promotion["id"])
        with contextlib.suppress(RuntimeError):
            self.set_status(200)
