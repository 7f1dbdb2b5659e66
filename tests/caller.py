"""An HTTP caller for tests: posts statements and tracks its session token."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import AsyncHTTPClient


@dataclass(frozen=True)
class Reply:
    status: int
    body: dict[str, Any]
    headers: Any


class Caller:
    def __init__(self, key: str) -> None:
        self.key = key
        self.token = ""

    async def post(self, url: str, sql: str, *params: Any, **headers: str) -> Reply:
        extra_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        resp = await AsyncHTTPClient().fetch(
            url,
            method="POST",
            body=json.dumps({"sql": sql, "params": params}),
            headers={
                "Authorization": f"Bearer {self.key}",
                "Mangoramp-Session": self.token,
            }
            | extra_headers,
            raise_error=False,
            request_timeout=30,
        )
        self.token = resp.headers.get("Mangoramp-Session", self.token)
        return Reply(resp.code, json.loads(resp.body), resp.headers)
