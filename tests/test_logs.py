import json
import os

from mangoramp.logs import DROPPED_EVENT, EventRateLimit, LogWriter
from mangoramp.operators.explain import explain, parse_log_lines


class TestLogWriter:
    def test_does_not_block_on_a_stalled_reader(self):
        source, sink = os.pipe()
        try:
            limit = EventRateLimit(rate=1e9, burst=1e9)
            writer = LogWriter(sink, limit=limit, clock=lambda: 0.0)
            for number in range(5000):
                writer.write({"event": 241, "id": f"{number:0100}"})
            assert limit.dropped[241] > 1000
        finally:
            os.close(source)
            os.close(sink)

    def test_reports_how_many_lines_a_burst_dropped(self):
        source, sink = os.pipe()
        try:
            now = [0.0]
            writer = LogWriter(
                sink, limit=EventRateLimit(rate=10, burst=20), clock=lambda: now[0]
            )
            for _ in range(500):
                writer.write({"event": 241, "instance": "i1"})
            now[0] = 1.5
            writer.write({"event": 242, "id": "failed"})
            lines = [json.loads(t) for t in os.read(source, 65536).splitlines()]
            assert sum(line["event"] == 241 for line in lines) == 20
            # Each event has its own limit, so the failure is logged.
            assert any(line.get("id") == "failed" for line in lines)
            assert lines[-1]["event"] == DROPPED_EVENT
            assert lines[-1]["left_out"] == {"241": 480}
        finally:
            os.close(source)
            os.close(sink)

    def test_a_long_line_is_shortened_to_an_atomic_write(self):
        source, sink = os.pipe()
        try:
            LogWriter(sink).write({"event": 242, "reason": "x" * 100_000})
            assert json.loads(os.read(source, 65536))["shortened"]
        finally:
            os.close(source)
            os.close(sink)

    def test_ignores_a_closed_pipe(self):
        source, sink = os.pipe()
        os.close(source)
        try:
            LogWriter(sink).write({"event": 242})
        finally:
            os.close(sink)


class TestExplain:
    LINES = [
        '{"time": 99.0, "event": 324, "instance": "a", "message": "primary changed"}',
        '{"time": 100.0, "event": 245, "instance": "a", "id": "q1", "server": "s1"}',
        '{"time": 100.1, "event": 245, "instance": "a", "id": "q2", "server": "s1"}',
        '{"time": 100.2, "event": 410, "instance": "b", "message": "other instance"}',
        '{"time": 100.5, "event": 247, "instance": "a", "id": "q1", "reason": "lost"}',
        '{"time": 130.0, "event": 324, "instance": "a", "message": "much later"}',
    ]

    def test_lists_the_steps_of_a_request_and_its_context(self):
        lines = parse_log_lines(self.LINES, default_instance="x")
        assert [line.event for line in explain("q1", lines)] == [324, 245, 247]

    def test_skips_broken_and_foreign_lines(self):
        texts = [
            "Traceback (most recent call last):",
            '{"time": 100.0, "event": 245, "ins',
            "[1, 2]",
            '{"event": "no number"}',
            '   2.917 a {"time": "odd", "event": 241, "id": "q1"}',
            *self.LINES,
        ]
        lines = list(parse_log_lines(texts, default_instance="x"))
        assert len(lines) == len(self.LINES) + 1
        assert explain("q1", lines)

    def test_finds_nothing_for_an_unknown_request(self):
        assert not explain("q9", parse_log_lines(self.LINES, default_instance="x"))
