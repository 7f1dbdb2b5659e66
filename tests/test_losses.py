import json

from mangoramp import events
from mangoramp.cli import main
from mangoramp.operators.explain import parse_records
from mangoramp.operators.losses import find_losses

OBJECTIVE_S = 0.2


def line(event, at, request_id, **fields):
    record = {"time": at, "event": event.number, "id": request_id, **fields}
    return f"some prefix {json.dumps(record)}\n"


def done(at, request_id, took_s):
    return line(events.STATEMENT_DONE, at, request_id, took_s=took_s)


def refused(at, request_id, outcome="not_run", **fields):
    return line(events.STATEMENT_REFUSED, at, request_id, outcome=outcome, **fields)


def losses(*lines):
    return find_losses(parse_records(lines), OBJECTIVE_S)


class TestFindLosses:
    def test_the_same_reason_of_several_instances_is_counted_together(self):
        found = losses(
            refused(1.0, "a", code="overloaded", reason="i-1f waits 3", peer="i-1f"),
            refused(1.1, "b", code="overloaded", reason="i-2e waits 12", peer="i-2e"),
            refused(1.2, "c", "unknown", code="connection_lost", reason="Stream"),
        )
        ranked = [(f.outcome, f.reason, n) for f, n in found.by_reason()]
        assert ranked == [
            ("refused", "overloaded: # waits #", 2),
            ("failed", "connection_lost: Stream", 1),
        ]

    def test_a_late_statement_is_ranked_by_what_delayed_it(self):
        found = losses(
            line(events.READ_ROUTED, 1.5, "wait", home=""),
            done(1.6, "wait", 0.6),
            line(events.READ_ROUTED, 1.0, "run", home="h"),
            done(1.6, "run", 0.6),
            line(events.WRITE_RETRIED, 1.0, "retry", reason="BUSY"),
            done(1.6, "retry", 0.6),
            done(1.6, "commit", 0.6),
        )
        assert {loss.reason for loss in found.losses} == {
            "waited for a connection or the primary",
            "waited at the home or ran",
            "retried: BUSY",
            "inside its transaction",
        }

    def test_an_answer_in_time_is_no_loss(self):
        found = losses(done(1.0, "a", 0.1), "no log line\n")
        assert not found.losses
        assert found.by_interval(2.0) == {0.0: {"in time": 1}}


class TestCommand:
    def test_prints_reasons_and_a_timeline(self, tmp_path, capsys):
        log = tmp_path / "front.log"
        log.write_text(done(1.0, "a", 0.1) + refused(3.0, "b", code="over_rate"))
        assert main(["losses", str(log)]) == 0
        out = capsys.readouterr().out
        assert "2 statements, 1 late or not served" in out
        assert "over_rate" in out

    def test_a_missing_file_is_an_error(self, tmp_path, capsys):
        assert main(["losses", str(tmp_path / "none.log")]) == 1
        assert "none.log" in capsys.readouterr().err
