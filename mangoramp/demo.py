"""The demo: a fleet in one process, and what a caller sees of it."""

from __future__ import annotations

import json

from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from .standins.fleet import Fleet, FleetOptions

CREATE = "CREATE TABLE sheet (id TEXT PRIMARY KEY, revision INTEGER)"
ISSUE = "INSERT INTO sheet VALUES ($1, $2)"
SEARCH = "SELECT id, revision FROM sheet WHERE id = $1"


async def demo() -> None:
    """Start a fleet, write and read through it, and print the answers."""
    fleet = Fleet(FleetOptions(proxies=2))
    await fleet.start()
    token = ""
    proxies = list(fleet.proxies)
    try:
        token = await _say(fleet, proxies[0], CREATE, (), token)
        for number, proxy in enumerate(proxies):
            sheet = f"A-{number:03}"
            token = await _say(fleet, proxy, ISSUE, (sheet, number), token)
            other = proxies[(number + 1) % len(proxies)]
            token = await _say(fleet, other, SEARCH, (sheet,), token)
    finally:
        await fleet.stop()


async def _say(
    fleet: Fleet, proxy: str, sql: str, params: tuple[str | int, ...], token: str
) -> str:
    resp = await _post(fleet, proxy, sql, params, token)
    body = json.loads(resp.body)
    shown = body.get("rows", body.get("message"))
    server = body.get("server", "")
    print(f"{proxy}: {resp.code} {body['outcome']} {server} {sql[:40]} {shown}")
    return resp.headers.get("Mangoramp-Session", token)


async def _post(
    fleet: Fleet, proxy: str, sql: str, params: tuple[str | int, ...], token: str
) -> HTTPResponse:
    key = next(iter(fleet.keys.values()))
    return await AsyncHTTPClient().fetch(
        fleet.url(proxy),
        method="POST",
        body=json.dumps({"sql": sql, "params": params}),
        headers={"Authorization": f"Bearer {key}", "Mangoramp-Session": token},
        raise_error=False,
    )
