from returns.result import Failure, Success

from mangoramp.serving.memory import Memory
from mangoramp.serving.session_state import SMALL_STATE_BYTES, StateMemory
from mangoramp.sessions.session import Session
from mangoramp.sessions.statement import Assign, Forget, Prepare, Shape

LIMIT = 100_000
SIZE = 40_000


class Kept:
    """A session and the memory that its state takes."""

    def __init__(self, memory):
        self.session = Session("d", "k")
        self.state = StateMemory(memory, self.session)

    def execute(self, statement):
        reserved = self.state.reserve(statement)
        if isinstance(reserved, Success):
            match statement:
                case Assign(name, value):
                    self.session.values[name] = value
                case Prepare(name, shape):
                    self.session.shapes[name] = shape
                case Forget(name):
                    self.session.shapes.pop(name, None)
        return reserved


def memory():
    return Memory(LIMIT, lambda: 0.0)


class TestStateMemory:
    def test_all_sessions_keep_no_more_than_the_limit(self):
        """Guards against variables that pile up in sessions that stay open."""
        found = memory()
        sessions = [Kept(found) for _ in range(10)]
        results = [k.execute(Assign("a", "x" * SIZE)) for k in sessions]
        refused = [r.failure() for r in results if isinstance(r, Failure)]
        assert len(refused) == 8
        assert all(fault.retry_after_s > 0 for fault in refused)
        assert found.budget.held <= LIMIT

    def test_many_small_ones_of_a_session_count_together(self):
        """Guards against a session that sets one small variable after another."""
        kept = Kept(memory())
        results = [kept.execute(Assign(f"a{n}", "x" * 500)) for n in range(1000)]
        assert any(isinstance(r, Failure) for r in results)
        assert sum(map(len, kept.session.values.values())) <= LIMIT

    def test_what_is_replaced_forgotten_or_ended_is_given_back(self):
        found = memory()
        kept = Kept(found)
        for _ in range(10):
            assert isinstance(kept.execute(Assign("a", "x" * SIZE)), Success)
            prepare = Prepare("p", Shape(True, "y" * SIZE))
            assert isinstance(kept.execute(prepare), Success)
            assert isinstance(kept.execute(Forget("p")), Success)
        assert SIZE <= found.budget.held <= SIZE + SMALL_STATE_BYTES
        kept.state.release()
        assert found.budget.held == 0

    def test_a_usual_session_claims_nothing(self):
        found = memory()
        kept = Kept(found)
        kept.execute(Assign("tz", "utc"))
        kept.execute(Prepare("p", Shape(False, "q2c")))
        assert found.budget.held == 0

    def test_a_session_that_has_ended_claims_nothing(self):
        """Guards against memory that is claimed after its release."""
        found = memory()
        kept = Kept(found)
        kept.session.is_disconnected = True
        kept.execute(Assign("a", "x" * SIZE))
        assert found.budget.held == 0
