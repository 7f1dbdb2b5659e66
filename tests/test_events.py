import json
import logging

import pytest

from mangoramp import events
from mangoramp.policy.position import Position


@pytest.fixture
def written(capfd):
    """Returns a function that reads the log; restores the log settings afterwards."""

    def read():
        out, err = capfd.readouterr()
        return out or err

    yield read
    events.configure(level="ERROR", json=False)


class TestConfigure:
    def test_writes_one_json_object_a_line(self, written):
        events.configure(level="INFO", json=True)
        events.emit(events.REQUEST_ROUTED, group="register", seen=Position(1, 2))
        text = written()
        line = json.loads(text)
        assert text.count("\n") == 1
        assert (line["event"], line["level"], line["group"]) == (
            200,
            "INFO",
            "register",
        )
        assert line["seen"] == {"term": 1, "offset": 2}
        assert line["time"]

    def test_writes_plain_text_for_people(self, written):
        events.configure(level="INFO", json=False)
        events.emit(events.REQUEST_ROUTED, group="register")
        events.emit(events.WRITE_CONFIRMED, server="a")
        (line,) = written().splitlines()
        assert " 200 request routed to a server " in line

    def test_a_dropped_line_is_not_formatted(self, written):
        events.configure(level="INFO", json=True)
        formatted = []
        events.logger.configure(patcher=formatted.append)
        for _ in range(2000):
            events.emit(events.STATEMENT_DONE, id="done")
        events.logger.configure(patcher=lambda record: None)
        events.emit(events.STATEMENT_REFUSED, id="failed")
        lines = [json.loads(text) for text in written().splitlines()]
        assert len(formatted) < 1000
        assert any(line.get("id") == "failed" for line in lines)

    def test_logs_library_messages_without_keys(self, written):
        events.configure(level="INFO", json=True)
        key = "mr_" + "a" * 16 + "_" + "b" * 48
        logging.getLogger("tornado.general").warning("Malformed: Bearer %s", key)
        text = written()
        line = json.loads(text)
        assert (line["event"], line["library"]) == (103, "tornado.general")
        assert "Malformed" in line["said"]
        assert "bbb" not in text


class TestPlace:
    def test_names_the_functions_without_values(self):
        def fail(key):
            return {}[key]

        with pytest.raises(KeyError) as caught:
            fail("mr_secret")
        inner, outer = events.place_of(caught.value).split(" < ")
        assert inner.rpartition(":")[0].endswith("fail")
        assert "test_names_the_functions" in outer
        assert "secret" not in inner + outer
