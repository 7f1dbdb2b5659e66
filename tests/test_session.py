from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp.policy.position import Position
from mangoramp.policy.session import (
    MAX_GROUPS,
    MAX_TOKEN_CHARS,
    Session,
    SigningKeys,
    decode_session,
    encode_session,
)
from mangoramp.policy.table import MAX_NAME_CHARS

KEYS = SigningKeys({"old": b"1" * 32, "new": b"2" * 32}, "new")
POSITIONS = st.builds(Position, st.integers(0, 2**40), st.integers(0, 2**62))
SEEN = st.dictionaries(st.text(max_size=MAX_NAME_CHARS), POSITIONS, max_size=5)
PROPERTY = settings(derandomize=True, deadline=None, max_examples=150)


class TestSession:
    @PROPERTY
    @given(st.text(max_size=30), SEEN, st.sampled_from(["old", "new"]))
    def test_decodes_what_was_encoded(self, customer, seen, current):
        session = Session(customer, seen)
        token = encode_session(session, SigningKeys(KEYS.secrets, current))
        assert decode_session(token, customer, KEYS).unwrap() == session

    @PROPERTY
    @given(SEEN, st.lists(POSITIONS, min_size=1))
    def test_never_forgets_a_position(self, seen, positions):
        session = Session("tala", seen)
        for position in positions:
            session = session.with_position("register", position)
            assert session.at("register") >= position
        others = {g: p for g, p in session.seen.items() if g != "register"}
        assert others == {g: p for g, p in seen.items() if g != "register"}

    def test_is_short_enough_to_be_decoded(self):
        names = [f"{number:0{MAX_NAME_CHARS}}" for number in range(MAX_GROUPS)]
        seen = {name: Position(2**40, 2**62) for name in names}
        token = encode_session(Session("c" * MAX_NAME_CHARS, seen), KEYS)
        assert len(token) <= MAX_TOKEN_CHARS

    def test_is_refused_once_its_signing_key_is_removed(self):
        token = encode_session(Session("tala"), KEYS)
        remaining = SigningKeys({"old": b"1" * 32}, "old")
        assert (
            "not in force" in decode_session(token, "tala", remaining).failure().message
        )
