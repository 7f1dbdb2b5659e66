import json
import socket

from .soak_instance import InstanceProcess
from .wire_world import HOST


class TestProcessThatFails:
    async def test_logs_why_it_ended(self, tmp_path):
        """Guards against an end by itself that looks like a kill in the log."""
        process = InstanceProcess(tmp_path, "i0", store=1, promotion=1, contracts="")
        with socket.socket() as taken:
            taken.bind((HOST, process.ports[0]))
            taken.listen()
            process.start()
            await process.wait_ended()
        lines = process.log_path.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        assert [e["event"] for e in events] == [111]
        assert "Address already in use" in events[0]["reason"]
