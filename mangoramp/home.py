"""The home of a database group: where its requests meet its servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from .admission import Admission
from .endpoints.group import Group
from .errors import FaultError
from .faults import out_of_time
from .policy.statement import Kind
from .proxies.messages import Message, Refused, Rows, RunStatement
from .reader import Reader
from .writer import Writer


class Home:
    """Runs the requests of one group within one failure domain.

    Args:
        group: The group's servers.
        admission: Lets requests in.
        clock: Tells the time in seconds.
    """

    def __init__(
        self,
        group: Group,
        admission: Admission,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.group = group
        self.admission = admission
        self._reader = Reader(group, clock=clock)
        self._writer = Writer(group, clock=clock)
        self._clock = clock

    async def serve(self, req: RunStatement) -> Message:
        """Run one request and answer it, with rows or with a fault."""
        deadline = self._clock() + req.timeout_s
        try:
            async with asyncio.timeout(req.timeout_s), self.admission.turn(req):
                return await self._run(req, deadline)
        except FaultError as exc:
            return Refused(fault=exc.fault)
        except TimeoutError:
            return Refused(fault=out_of_time().fault)

    def close(self) -> None:
        """Close the connections to the servers."""
        self.admission.close()
        self.group.close()

    async def _run(self, req: RunStatement, deadline: float) -> Rows:
        if req.kind is Kind.READ:
            return await self._reader.read(req, deadline)
        return await self._writer.write(req, deadline)
