"""Runs a small fleet in one process: platform, database servers and proxies."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path

from returns.result import Success
from tornado.httpserver import HTTPServer

from ..catalog import KIND_GROUP, KIND_TABLE
from ..objects import GroupObject, Row, ServerState, TableShard, TermStart
from ..operators.keys import give_key, make_signing_key
from ..platform.client import PlatformClient
from ..proxy import Proxy
from ..settings import ProxySettings
from ._ports import HOST, free_ports
from .endpoint import Endpoint, EndpointOptions
from .platform import Platform


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Configuration of a fleet.

    Attributes:
        group: The database group's name.
        domains: The failure domains; each runs one server and ``proxies`` proxies.
        proxies: Number of proxies in each failure domain.
        rows: The rows of the operators' table.
    """

    group: str = "register"
    domains: tuple[str, ...] = ("d1", "d2", "d3")
    proxies: int = 1
    rows: tuple[Row, ...] = (Row("tala", "register", 1.0, 300.0, 300.0, 1.0),)


class Fleet:
    """Platform, servers and proxies of a deployment, all in the current process.

    Args:
        options: The fleet's configuration.
    """

    def __init__(self, options: FleetOptions | None = None) -> None:
        self.options = options or FleetOptions()
        self.platform = Platform()
        self.endpoints: dict[str, Endpoint] = {}
        self.proxies: dict[str, Proxy] = {}
        self.keys: dict[str, str] = {}
        self._dir = tempfile.TemporaryDirectory(prefix="mangoramp-")
        self._platform_http = HTTPServer(self.platform.application())
        self.client: PlatformClient

    async def start(self) -> None:
        """Start all components and wait until the proxies are ready."""
        port = free_ports(1)[0]
        self._platform_http.listen(port, address=HOST)
        self.client = PlatformClient(f"http://{HOST}:{port}")
        await self._start_endpoints()
        await self._seed_platform()
        for domain in self.options.domains:
            for number in range(self.options.proxies):
                name = f"{domain}-p{number}"
                self.proxies[name] = await self._start_proxy(name, domain, port)

    async def stop(self) -> None:
        """Stop all components and delete the data."""
        for proxy in self.proxies.values():
            await proxy.stop()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        self.client.close()
        self._platform_http.stop()
        await self._platform_http.close_all_connections()
        self._dir.cleanup()

    def url(self, proxy: str) -> str:
        """Return the URL of a proxy's statements endpoint for the fleet's group."""
        port = self.proxies[proxy].cfg.listen_port
        return f"http://{HOST}:{port}/v1/groups/{self.options.group}/statements"

    async def _start_endpoints(self) -> None:
        for number, domain in enumerate(self.options.domains):
            path = Path(self._dir.name) / f"{domain}.db"
            options = EndpointOptions(f"{domain}-s", path, primary=number == 0)
            self.endpoints[domain] = Endpoint(options)
            await self.endpoints[domain].start()
        primary, *replicas = self.endpoints.values()
        for endpoint in replicas:
            endpoint.follow(1, (HOST, primary.port))

    async def _seed_platform(self) -> None:
        servers = tuple(
            ServerState(f"{domain}-s", HOST, endpoint.port, domain)
            for domain, endpoint in self.endpoints.items()
        )
        name = self.options.group
        group = GroupObject(name, 1, servers[0].name, servers, (TermStart(1, 0, 0),))
        await self.client.put(KIND_GROUP, name, group, version=0)
        shard = TableShard(self.options.rows)
        await self.client.put(KIND_TABLE, "0", shard, version=0)
        await make_signing_key(self.client)
        for row in self.options.rows:
            created = await give_key(self.client, row.customer)
            if isinstance(created, Success):
                self.keys[row.customer] = created.unwrap().key

    async def _start_proxy(self, name: str, domain: str, platform_port: int) -> Proxy:
        client_port, metrics_port, peer_port = free_ports(3)
        cfg = ProxySettings(
            name=name,
            failure_domain=domain,
            platform=f"http://{HOST}:{platform_port}",
            listen_host=HOST,
            listen_port=client_port,
            metrics_port=metrics_port,
            peer_address=f"tcp://{HOST}:{peer_port}",
            failure_domains=len(self.options.domains),
        )
        proxy = Proxy(cfg)
        await proxy.start()
        return proxy
