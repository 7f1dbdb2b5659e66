"""A client for callers: keeps the session, and retries where that is safe.

client = Client(["http://127.0.0.1:7601", "http://127.0.0.1:7602"], key)
session = client.session()
answer = await session.run("register", "SELECT id FROM sheet WHERE id = $1", "A-1")
"""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse

from .errors import Code, Fault, Outcome, Step

TOKEN_HEADER = "Mangoramp-Session"
MARGIN_S = 0.5
MAX_TRIES = 6
BACKOFF_S = 0.1
BACKOFF_MAX_S = 2.0
BUDGET_SHARE = 0.2
BUDGET_MAX = 10.0
AUTOMATIC = "automatic"
PASSING = frozenset(
    {
        Code.OVER_RATE,
        Code.OVERLOADED,
        Code.NO_SERVER,
        Code.NO_HOME,
        Code.TIMEOUT,
        Code.CONNECTION_LOST,
        Code.SESSION_AHEAD,
    }
)


class Answer(msgspec.Struct, frozen=True):
    """The answer to a statement.

    Attributes:
        columns: The names of the columns.
        rows: The rows.
        count: How many rows there are, or were changed.
        server: The server that gave the answer.
        replica: Whether that server is a replica.
        age_s: The proven age of the data, in seconds.
        repeated: Whether this is the first answer to the same idempotency key.
    """

    columns: tuple[str, ...]
    rows: list[list[Any]]
    count: int
    server: str
    replica: bool
    age_s: float
    repeated: bool


class RetryBudget:
    """Lets retries be a share of the requests, so that they never multiply a fault."""

    def __init__(self, share: float = BUDGET_SHARE, most: float = BUDGET_MAX) -> None:
        self._share = share
        self._most = most
        self._left = most

    def earn(self) -> None:
        """Note a request."""
        self._left = min(self._most, self._left + self._share)

    def spend(self) -> bool:
        """Take one retry, if there is one left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Client:
    """Sends statements to the proxies of a fleet.

    Args:
        urls: The proxies, or their balancer, as ``http://host:port``.
        key: The customer's key.
        budget: Bounds the retries of all sessions together.
        rng: Source of the jitter between tries.
    """

    def __init__(
        self,
        urls: Sequence[str],
        key: str,
        *,
        budget: RetryBudget | None = None,
        rng: random.Random | None = None,
        max_connections: int = 100,
    ) -> None:
        self.budget = budget or RetryBudget()
        self.rng = rng or random.Random()
        self._urls = [url.rstrip("/") for url in urls]
        self._key = key
        self._turn = 0
        self._http = AsyncHTTPClient(force_instance=True, max_clients=max_connections)

    def session(self) -> Session:
        """Open a session: it reads its own writes, through whichever proxy."""
        return Session(self)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def post(
        self, path: str, body: bytes, headers: dict[str, str], *, timeout_s: float
    ) -> Result[HTTPResponse, Fault]:
        """Send one request to the next proxy.

        Args:
            path: The route.
            body: The body as JSON.
            headers: Headers besides the key's.
            timeout_s: Seconds to wait.
        """
        url = self._urls[self._turn % len(self._urls)]
        self._turn += 1
        try:
            resp = await self._http.fetch(
                url + path,
                method="POST",
                body=body,
                headers={"Authorization": f"Bearer {self._key}"} | headers,
                request_timeout=timeout_s,
                raise_error=False,
            )
        except ConnectionRefusedError:
            message = "the proxy does not listen"
            return Failure(Fault(Code.CONNECTION_LOST, message, Step.CONNECT, url))
        except (OSError, HTTPClientError) as exc:
            message = f"the proxy's answer was lost: {exc}"
            unknown = Outcome.UNKNOWN
            fault = Fault(Code.CONNECTION_LOST, message, Step.FORWARD, url, unknown)
            return Failure(fault)
        return Success(resp)


class Session:
    """One session; its requests run one after the other.

    Args:
        client: Sends the requests.
    """

    def __init__(
        self, client: Client, *, sleep: Callable[[float], Any] = asyncio.sleep
    ) -> None:
        self.token = ""
        self._client = client
        self._sleep = sleep
        self._lock = asyncio.Lock()

    async def run(
        self,
        group: str,
        sql: str,
        *params: str | int | float | bool | None,
        idempotency_key: str = AUTOMATIC,
        max_age_s: float | None = None,
        timeout_s: float = 10.0,
    ) -> Result[Answer, Fault]:
        """Run one statement, retrying where that is safe.

        Args:
            group: The database group.
            sql: The statement.
            *params: Its parameters.
            idempotency_key: Sent with each try; made here if not given. Empty: none,
                and a request that may have been run is not sent again.
            max_age_s: Age of data that a read accepts; None takes the table's.
            timeout_s: Seconds for all tries together.
        """
        key = uuid.uuid4().hex if idempotency_key == AUTOMATIC else idempotency_key
        headers = {"Idempotency-Key": key} if key else {}
        if max_age_s is not None:
            headers["Mangoramp-Max-Age"] = str(max_age_s)
        body = msgspec.json.encode({"sql": sql, "params": params})
        path = f"/v1/groups/{group}/statements"
        async with self._lock:
            self._client.budget.earn()
            return await self._tries(path, body, headers, timeout_s)

    async def _tries(
        self, path: str, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> Result[Answer, Fault]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        for number in range(MAX_TRIES):
            left_s = max(0.001, deadline - loop.time())
            answer = await self._once(path, body, headers, left_s)
            if isinstance(answer, Success):
                return answer
            fault = answer.failure()
            wait_s = self._wait_s(fault, number)
            if not may_retry(fault, has_key="Idempotency-Key" in headers):
                return answer
            late = loop.time() + wait_s >= deadline
            if late or number + 1 == MAX_TRIES or not self._client.budget.spend():
                return answer
            await self._sleep(wait_s)
        return answer

    async def _once(
        self, path: str, body: bytes, headers: dict[str, str], left_s: float
    ) -> Result[Answer, Fault]:
        sent = headers | {"Mangoramp-Timeout": f"{left_s:.3f}"}
        if self.token:
            sent[TOKEN_HEADER] = self.token
        got = await self._client.post(path, body, sent, timeout_s=left_s + MARGIN_S)
        if not isinstance(got, Success):
            return Failure(got.failure())
        resp = got.unwrap()
        self.token = resp.headers.get(TOKEN_HEADER, self.token)
        try:
            if resp.code == 200:
                return Success(msgspec.json.decode(resp.body, type=Answer))
            return Failure(msgspec.json.decode(resp.body, type=Fault))
        except msgspec.DecodeError as exc:
            message = f"the answer with status {resp.code} is no answer: {exc}"
            unknown = Outcome.UNKNOWN
            return Failure(Fault(Code.INTERNAL, message, Step.PARSE, outcome=unknown))

    def _wait_s(self, fault: Fault, number: int) -> float:
        longest = min(BACKOFF_MAX_S, BACKOFF_S * 2**number)
        jitter_s = self._client.rng.uniform(0.0, longest)
        return jitter_s + (fault.retry_after_s or 0.0)


def may_retry(fault: Fault, *, has_key: bool) -> bool:
    """Whether a request may be sent again.

    Args:
        fault: How it ended.
        has_key: Whether it carries an idempotency key.
    """
    if fault.outcome is Outcome.UNKNOWN:
        return has_key
    return fault.code in PASSING
