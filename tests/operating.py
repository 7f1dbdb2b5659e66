"""Runs a platform stand-in on loopback for tests of the operators' commands."""

from __future__ import annotations

from contextlib import asynccontextmanager

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from mangoramp.platform.client import PlatformClient
from mangoramp.standins.platform import Platform


@asynccontextmanager
async def platform_standin():
    """Run a platform stand-in with a client."""
    standin = Platform()
    server = HTTPServer(standin.application())
    socks = bind_sockets(0, address="127.0.0.1")
    server.add_sockets(socks)
    client = PlatformClient(f"http://127.0.0.1:{socks[0].getsockname()[1]}")
    try:
        yield standin, client
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()
