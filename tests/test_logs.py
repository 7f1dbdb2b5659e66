import json
import os

from mangoramp.logs import LEFT_OUT, LineLimit, LineWriter
from mangoramp.operators.explain import explain, read_lines


class TestLineWriter:
    def test_never_waits_for_a_reader_that_has_stopped(self):
        source, sink = os.pipe()
        try:
            limit = LineLimit(rate=1e9, burst=1e9)
            writer = LineWriter(sink, limit=limit, clock=lambda: 0.0)
            for number in range(5000):
                writer.write({"event": 241, "id": f"{number:0100}"})
            assert limit.left_out[241] > 1000
        finally:
            os.close(source)
            os.close(sink)

    def test_counts_what_a_storm_leaves_out_and_says_so(self):
        source, sink = os.pipe()
        try:
            now = [0.0]
            writer = LineWriter(
                sink, limit=LineLimit(rate=10, burst=20), clock=lambda: now[0]
            )
            for _ in range(500):
                writer.write({"event": 241, "instance": "i1"})
            now[0] = 1.5
            writer.write({"event": 242, "id": "failed"})
            lines = [json.loads(t) for t in os.read(source, 65536).splitlines()]
            assert sum(line["event"] == 241 for line in lines) == 20
            # A failure has a limit of its own.
            assert any(line.get("id") == "failed" for line in lines)
            assert lines[-1]["event"] == LEFT_OUT
            assert lines[-1]["left_out"] == {"241": 480}
        finally:
            os.close(source)
            os.close(sink)

    def test_a_long_line_is_shortened_to_what_never_blocks(self):
        source, sink = os.pipe()
        try:
            LineWriter(sink).write({"event": 242, "reason": "x" * 100_000})
            assert json.loads(os.read(source, 65536))["shortened"]
        finally:
            os.close(source)
            os.close(sink)

    def test_a_reader_that_is_gone_ends_nothing(self):
        source, sink = os.pipe()
        os.close(source)
        try:
            LineWriter(sink).write({"event": 242})
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

    def test_tells_the_way_and_what_was_believed(self):
        lines = read_lines(self.LINES, default_instance="x")
        assert [line.event for line in explain("q1", lines)] == [324, 245, 247]

    def test_survives_broken_and_foreign_lines(self):
        texts = [
            "Traceback (most recent call last):",
            '{"time": 100.0, "event": 245, "ins',
            "[1, 2]",
            '{"event": "no number"}',
            '   2.917 a {"time": "odd", "event": 241, "id": "q1"}',
            *self.LINES,
        ]
        lines = list(read_lines(texts, default_instance="x"))
        assert len(lines) == len(self.LINES) + 1
        assert explain("q1", lines)

    def test_knows_nothing_of_other_requests(self):
        assert not explain("q9", read_lines(self.LINES, default_instance="x"))
