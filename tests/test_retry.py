import random

from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp.errors import Code, Fault, Outcome, Step
from mangoramp.policy.retry import RetryBudget, RetryRule, may_retry

faults = st.builds(
    Fault,
    st.sampled_from(Code),
    st.just(""),
    st.sampled_from(Step),
    st.just(""),
    st.sampled_from(Outcome),
    st.none(),
    st.sampled_from(["", "23505", "25006", "40001", "53300", "42P01"]),
)
RULE = RetryRule(retry_ratio=0.1, burst=5.0)
LOST = Fault(Code.CONNECTION_LOST, "", Step.RUN)


class TestRules:
    @given(fault=faults)
    @settings(derandomize=True, deadline=None)
    def test_a_request_that_may_have_run_is_never_retried_unless_repeatable(
        self, fault
    ):
        if fault.outcome is not Outcome.NOT_RUN:
            assert not may_retry(fault, repeatable=False)

    @given(fault=faults, repeatable=st.booleans())
    @settings(derandomize=True, deadline=None)
    def test_an_invalid_request_is_not_retried(self, fault, repeatable):
        is_invalid = fault.code is Code.STATEMENT_FAILED and fault.sqlstate[:2] in (
            "23",
            "42",
        )
        if is_invalid or fault.code in (
            Code.KEY_REUSED,
            Code.OVER_RATE,
            Code.BAD_REQUEST,
        ):
            assert not may_retry(fault, repeatable)


class TestBudget:
    @given(requests=st.integers(0, 300), attempts=st.integers(1, 5), seed=st.integers())
    @settings(derandomize=True, deadline=None, max_examples=50)
    def test_retries_are_a_share_of_the_requests(self, requests, attempts, seed):
        budget = RetryBudget(RULE, random.Random(seed))
        granted = 0
        for _ in range(requests):
            budget.record_request()
            for attempt in range(1, attempts + 1):
                wait_s = budget.try_acquire(LOST, attempt, repeatable=True, left_s=9.0)
                if wait_s is None:
                    break
                assert 0 <= wait_s <= RULE.max_wait_s
                granted += 1
        assert granted <= RULE.burst + RULE.retry_ratio * requests

    def test_waits_no_longer_than_the_request_lasts(self):
        budget = RetryBudget(RULE, random.Random(1))
        waits = [
            budget.try_acquire(LOST, 1, repeatable=True, left_s=0.0) for _ in range(9)
        ]
        assert waits == [None] * 9
