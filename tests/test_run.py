import pytest

from mangoramp.endpoints.connection import connect
from mangoramp.endpoints.run import execute_script, run
from mangoramp.errors import FaultError, Outcome
from mangoramp.standins.endpoint import Faults

from .servers import CREATE, ISSUE, running


class TestStatementInTransaction:
    async def test_is_unknown_where_no_rollback_was_confirmed(self, tmp_path):
        async with running(tmp_path) as servers:
            conn = await connect(servers.spec.servers[0], role="test")
            await run(conn, CREATE, (), server="s0")
            await execute_script(conn, "BEGIN", timeout_s=1)
            servers.primary().set_faults(Faults(drop_answers=1))
            with pytest.raises(FaultError) as found:
                await run(conn, ISSUE, ("A1", "0"), server="s0", in_transaction=True)
            assert found.value.fault.outcome is Outcome.UNKNOWN
            assert ISSUE in servers.primary().received_statements
