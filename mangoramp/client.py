"""A client for callers: tracks the session and retries where that is safe.

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

from .decoding import decode_json
from .errors import Code, Fault, Outcome, Step

TOKEN_HEADER = "Mangoramp-Session"
RESPONSE_MARGIN_S = 0.5
MAX_ATTEMPTS = 6
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
RETRY_RATIO = 0.2
RETRY_BUDGET_CAPACITY = 10.0
AUTOMATIC_KEY = "automatic"
TRANSIENT_CODES = frozenset(
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
        count: Number of rows returned or changed.
        server: The server that ran the statement.
        replica: Whether that server is a replica.
        age_s: The proven maximum age of the data, in seconds.
        repeated: Whether this repeats the first answer for the same idempotency key.
    """

    columns: tuple[str, ...]
    rows: list[list[Any]]
    count: int
    server: str
    replica: bool
    age_s: float
    repeated: bool


class RetryBudget:
    """Limits retries to a share of the requests, so that they can't amplify a fault."""

    def __init__(
        self, retry_ratio: float = RETRY_RATIO, capacity: float = RETRY_BUDGET_CAPACITY
    ) -> None:
        self._retry_ratio = retry_ratio
        self._capacity = capacity
        self._balance = capacity

    def record_request(self) -> None:
        """Add a request's share to the budget."""
        self._balance = min(self._capacity, self._balance + self._retry_ratio)

    def try_acquire(self) -> bool:
        """Take one retry from the budget; False if there is none."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class Client:
    """Sends statements to the proxies of a fleet.

    Args:
        urls: The proxies, or their load balancer, as ``http://host:port``.
        key: The customer's key.
        budget: Limits the retries of all sessions together.
        rng: Source of the jitter between attempts.
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
        self._post_count = 0
        self._http = AsyncHTTPClient(force_instance=True, max_clients=max_connections)

    def session(self) -> Session:
        """Open a session, which reads its own writes through any proxy."""
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
            headers: Headers besides ``Authorization``.
            timeout_s: Seconds to wait.
        """
        url = self._urls[self._post_count % len(self._urls)]
        self._post_count += 1
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
    """One session, which runs its requests one at a time.

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
        idempotency_key: str = AUTOMATIC_KEY,
        max_age_s: float | None = None,
        timeout_s: float = 10.0,
    ) -> Result[Answer, Fault]:
        """Run one statement, retrying where that is safe.

        Args:
            group: The database group.
            sql: The statement.
            *params: Its parameters.
            idempotency_key: Sent with each attempt; generated by default. If empty,
                no key is sent and a request that may have run is not retried.
            max_age_s: Age of data that a read accepts; None uses the table's value.
            timeout_s: Seconds for all attempts together.
        """
        key = uuid.uuid4().hex if idempotency_key == AUTOMATIC_KEY else idempotency_key
        headers = {"Idempotency-Key": key} if key else {}
        if max_age_s is not None:
            headers["Mangoramp-Max-Age"] = str(max_age_s)
        body = msgspec.json.encode({"sql": sql, "params": params})
        path = f"/v1/groups/{group}/statements"
        async with self._lock:
            self._client.budget.record_request()
            return await self._run_with_retries(path, body, headers, timeout_s)

    async def _run_with_retries(
        self, path: str, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> Result[Answer, Fault]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        for attempt in range(MAX_ATTEMPTS):
            remaining_s = max(0.001, deadline - loop.time())
            answer = await self._attempt(path, body, headers, remaining_s)
            if isinstance(answer, Success):
                return answer
            fault = answer.failure()
            wait_s = self._backoff_s(fault, attempt)
            if not may_retry(fault, has_key="Idempotency-Key" in headers):
                return answer
            exceeds_deadline = loop.time() + wait_s >= deadline
            if (
                exceeds_deadline
                or attempt + 1 == MAX_ATTEMPTS
                or not self._client.budget.try_acquire()
            ):
                return answer
            await self._sleep(wait_s)
        return answer

    async def _attempt(
        self, path: str, body: bytes, headers: dict[str, str], remaining_s: float
    ) -> Result[Answer, Fault]:
        request_headers = headers | {"Mangoramp-Timeout": f"{remaining_s:.3f}"}
        if self.token:
            request_headers[TOKEN_HEADER] = self.token
        posted = await self._client.post(
            path, body, request_headers, timeout_s=remaining_s + RESPONSE_MARGIN_S
        )
        if not isinstance(posted, Success):
            return Failure(posted.failure())
        resp = posted.unwrap()
        self.token = resp.headers.get(TOKEN_HEADER, self.token)
        try:
            if resp.code == 200:
                return Success(decode_json(resp.body, Answer))
            return Failure(decode_json(resp.body, Fault))
        except msgspec.DecodeError as exc:
            message = f"the answer with status {resp.code} is no answer: {exc}"
            unknown = Outcome.UNKNOWN
            return Failure(Fault(Code.INTERNAL, message, Step.PARSE, outcome=unknown))

    def _backoff_s(self, fault: Fault, attempt: int) -> float:
        max_jitter_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
        jitter_s = self._client.rng.uniform(0.0, max_jitter_s)
        return jitter_s + (fault.retry_after_s or 0.0)


def may_retry(fault: Fault, *, has_key: bool) -> bool:
    """Return whether a request may be retried.

    Args:
        fault: The fault that ended it.
        has_key: Whether it had an idempotency key.
    """
    if fault.outcome is Outcome.UNKNOWN:
        return has_key
    return fault.code in TRANSIENT_CODES
