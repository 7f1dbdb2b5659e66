"""The home of a database group, which runs the group's requests on its servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from functools import singledispatchmethod

from .admission import Admission
from .endpoints.group import Group
from .errors import FaultError
from .events import REQUEST_FAILED, emit
from .faults import internal_error, timed_out
from .policy.statement import Kind
from .proxies.messages import (
    Answer,
    BeginTransaction,
    EndTransaction,
    Message,
    Refused,
    Request,
    RunInTransaction,
    RunStatement,
    SettleTransaction,
)
from .reader import Reader
from .settings import TransactionSettings
from .transactions import Transactions
from .writer import Writer

TIMEOUT_MARGIN_S = 0.1


class Home:
    """Runs the requests of one group within one failure domain.

    Args:
        group: The group's servers.
        admission: Admits requests.
        instance: This proxy's name, a part of transaction ids.
        transactions: The limits of transactions.
        on_wait: Called with the group and the seconds that a request waited for
            admission.
        clock: Returns the current time, in seconds.
    """

    def __init__(
        self,
        group: Group,
        admission: Admission,
        *,
        instance: str = "",
        transactions: TransactionSettings | None = None,
        on_wait: Callable[[str, float], None] = lambda group, wait_s: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.group = group
        self.admission = admission
        self.transactions = Transactions(
            group,
            instance,
            transactions or TransactionSettings(),
            max_open=max(1, group.pool_size // 2),
            clock=clock,
        )
        self._reader = Reader(group, clock=clock)
        self._writer = Writer(group, clock=clock)
        self._clock = clock
        self._on_wait = on_wait

    async def serve(self, req: Request) -> Message:
        """Run one request and return its result or a fault."""
        received_at = self._clock()
        deadline = received_at + req.timeout_s
        started = False
        try:
            async with asyncio.timeout(req.timeout_s + TIMEOUT_MARGIN_S):
                async with self._admit(req):
                    started = True
                    self._on_wait(req.group, self._clock() - received_at)
                    return await self._run(req, deadline)
        except FaultError as exc:
            return Refused(fault=exc.fault)
        except TimeoutError:
            return Refused(fault=timed_out(started=started).fault)
        except Exception as exc:
            emit(REQUEST_FAILED, group=req.group, error=type(exc).__name__)
            return Refused(fault=internal_error(started=started).fault)

    def close(self) -> None:
        """Abort open transactions and close the connections to the servers."""
        self.admission.close()
        self.transactions.abort_all()
        self._writer.close()
        self.group.close()

    @singledispatchmethod
    def _admit(self, req: Request) -> AbstractAsyncContextManager[None]:
        """Return the context manager that admits a request.

        Most kinds of request are only charged to the customer's rate.
        """
        return self.admission.charge(req.customer)

    @_admit.register
    def _(self, req: RunStatement) -> AbstractAsyncContextManager[None]:
        return self.admission.admit(req)

    @_admit.register
    def _(self, req: EndTransaction) -> AbstractAsyncContextManager[None]:
        return nullcontext()

    @singledispatchmethod
    async def _run(self, req: Request, deadline: float) -> Answer:
        raise TypeError(f"unsupported request type: {type(req).__name__}")

    @_run.register
    async def _(self, req: RunStatement, deadline: float) -> Answer:
        if req.kind is Kind.READ:
            return await self._reader.read(req, deadline)
        return await self._writer.write(req, deadline)

    @_run.register
    async def _(self, req: BeginTransaction, deadline: float) -> Answer:
        return await self.transactions.begin(req, deadline)

    @_run.register
    async def _(self, req: RunInTransaction, deadline: float) -> Answer:
        return await self.transactions.run(req, deadline)

    @_run.register
    async def _(self, req: EndTransaction, deadline: float) -> Answer:
        return await self.transactions.end(req, deadline)

    @_run.register
    async def _(self, req: SettleTransaction, deadline: float) -> Answer:
        return await self.transactions.settle(req, deadline)
