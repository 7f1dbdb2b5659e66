import asyncio

import pytest

from mangoramp import events
from mangoramp.serving import reading, transactions, writing

from .wire_world import GROUP, World, configuration

MIN_RETRY_DELAY_S = 0.005  # between two attempts of one statement; less is a busy loop


class TestRetries:
    @pytest.mark.parametrize("first", [["READ a"], ["WRITE a 1"], ["BEGIN", "READ a"]])
    async def test_a_statement_that_cannot_be_run_does_not_spin(
        self, first, monkeypatch
    ):
        tries = []
        for module in (reading, writing, transactions):
            monkeypatch.setattr(
                module, "emit", lambda event, **facts: tries.append(event.number)
            )
        async with World() as world:
            services = [{"name": GROUP, "max_connections": 2}]
            world.put("config", "main", configuration(2, services=services))
            await asyncio.sleep(0.4)
            # An open transaction holds the only connection, and the usual latency of a
            # statement exceeds the timeout.
            holder, caller = await world.caller(), await world.caller()
            await holder.ask("BEGIN")
            await holder.ask("READ a")
            server = world.instances[0].servers.group(GROUP).servers["s1"]
            server.latency_s = 30.0
            routes = [
                {
                    "database_name": "orders",
                    "service": GROUP,
                    "type": "primary",
                    "timeout_ms": 500,
                }
            ]
            world.put(
                "config", "main", configuration(3, routes=routes, services=services)
            )
            await asyncio.sleep(0.2)
            tries.clear()
            for text in first:
                answer = await caller.ask(text)
            assert answer[0].startswith("ERR BUSY ")
            again = (
                events.READ_RETRIED.number,
                events.WRITE_RETRIED.number,
                events.TRANSACTION_RETRIED.number,
            )
            assert sum(n in again for n in tries) <= 0.5 / MIN_RETRY_DELAY_S
