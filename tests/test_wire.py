import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangoramp.errors import Code, Fault, Outcome, Step
from mangoramp.platform import wire, wire_server
from mangoramp.policy.position import Position
from mangoramp.serving.command import (
    Answer,
    AssignValue,
    CommitFor,
    OpenTransaction,
    PrepareAs,
    Refusal,
    RollBack,
    RunFor,
)
from mangoramp.sessions.reply import Reply, SessionState
from mangoramp.sessions.statement import Execute, Malformed, Read, Request, Shape, Write

WORDS = st.text(
    st.characters(min_codepoint=33, max_codepoint=255), min_size=1, max_size=20
)
TEXTS = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=200)
POSITIONS = st.none() | st.builds(
    Position, st.integers(0, 10**6), st.integers(0, 10**9)
)
COMMANDS = st.one_of(
    st.builds(
        RunFor,
        WORDS,
        st.builds(lambda item: Read(f"READ {item}"), WORDS),
        after=POSITIONS,
    ),
    st.builds(
        RunFor,
        WORDS,
        st.builds(lambda item, data: Write(f"WRITE {item} {data}"), WORDS, WORDS),
    ),
    st.builds(AssignValue, WORDS, WORDS),
    st.builds(PrepareAs, WORDS, st.builds(Shape, st.booleans(), WORDS)),
    st.builds(OpenTransaction, st.booleans(), POSITIONS),
    st.builds(CommitFor, WORDS),
    st.just(RollBack()),
)


class TestCallers:
    @given(st.binary(max_size=300))
    def test_no_line_raises(self, raw):
        assert wire.decode_caller(raw + b"\r\n") is not None

    @given(TEXTS)
    def test_no_text_of_a_statement_raises(self, text):
        assert wire.decode_statement(text) is not None

    @given(WORDS, WORDS, TEXTS)
    def test_a_write_is_forwarded_unchanged(self, request_id, item, data):
        raw = f"QUERY {request_id} WRITE {item} {data}\r\n".encode("latin-1")
        found = wire.decode_caller(raw)
        if request_id == wire.INTERNAL_REQUEST_ID:
            assert isinstance(found, wire.InvalidMessage)
            return
        assert isinstance(found, Request)
        if isinstance(found.statement, Write):
            sent = wire.encode_command(RunFor(found.id, found.statement))
            assert sent == raw

    @pytest.mark.parametrize("smuggled", ["\r", "\n", "\0", "\nQUERY y WRITE a 1"])
    def test_nothing_is_smuggled_inside_a_message(self, smuggled):
        raw = f"QUERY x READ a{smuggled}\r\n".encode()
        assert isinstance(wire.decode_caller(raw), wire.InvalidMessage)

    @given(TEXTS)
    def test_callers_cannot_send_server_commands(self, rest):
        for word in ("AFTER", "RESET", "STATUS", "HOLD", "RESUME", "DEMOTE"):
            assert isinstance(wire.decode_statement(f"{word} {rest}"), Malformed)

    def test_an_unknown_outcome_gets_no_word_for_not_run(self):
        not_run_words = {
            "BUSY",
            "ABORTED",
            "BEHIND",
            "READONLY",
            "MISDIRECT",
            "TOOMANY",
        }
        for code in Code:
            fault = Fault(code, "m", Step.RUN, outcome=Outcome.UNKNOWN)
            assert wire.error_word(fault) not in not_run_words

    def test_a_refusal_states_the_retry_delay(self):
        fault = Fault(Code.OVERLOADED, "full\r\nx", Step.QUEUE, retry_after_s=0.25)
        raw = wire.encode_reply(Reply(SessionState.IDLE, fault=fault))
        assert raw == b"ERR BUSY full  x; retry after 250 ms\r\nREADY I -\r\n"

    @pytest.mark.parametrize("name", ["kad\u0131k\u00f6y", "\udc80"])
    def test_a_refusal_may_name_an_instance_in_any_script(self, name):
        """Guards against a promise that is never sent, as its text cannot be."""
        fault = Fault(Code.TRANSACTION_ABORTED, f"the home {name}", Step.TRANSACTION)
        replies = (
            wire.encode_reply(Reply(SessionState.FAILED, fault=fault)),
            wire.encode_error(fault),
        )
        assert all(raw.startswith(b"ERR ABORTED the home ") for raw in replies)


class TestServers:
    @given(COMMANDS)
    def test_commands_round_trip(self, command):
        request_id = getattr(command, "request_id", "")
        raw = wire.encode_command(command)
        assert raw.endswith(b"\r\n")
        assert raw.count(b"\r\n") == 1
        found = wire_server.decode_command(raw)
        assert type(found) is type(command)
        assert getattr(found, "after", None) == getattr(command, "after", None)
        assert getattr(found, "request_id", "") == request_id

    def test_a_prepared_statement_runs_under_the_connections_name(self):
        command = RunFor("q1", Execute("s1", "1a4 data x"), alias="p3")
        assert wire.encode_command(command) == b"QUERY q1 EXEC p3 1a4 data x\r\n"

    @given(st.sampled_from(list(Refusal)))
    def test_refusals_round_trip(self, refusal):
        answer = wire_server.refuse(Answer(SessionState.FAILED, None), refusal)
        first, second = wire_server.encode_answer(answer).splitlines(keepends=True)
        assert wire.decode_server(first).refusal is refusal
        assert wire.decode_server(second) == wire.ReadyLine(SessionState.FAILED, None)

    @given(st.binary(max_size=100))
    def test_a_line_of_a_server_decodes_or_is_refused(self, raw):
        try:
            decoded = wire.decode_server(raw + b"\r\n")
        except ValueError:
            return
        assert decoded is not None

    @pytest.mark.parametrize(
        "row",
        ["", "primary", "primary x 1.2", "replica 3 -", "primary \u00b2 1.2"]
        + ["primary 2 \u00b2.1", "primary 2 1.\u0663"],
    )
    def test_a_status_that_cannot_be_read_is_none(self, row):
        assert wire.decode_status(row) is None
