import pytest

from mangoramp.policy.isolation import (
    Reachability,
    has_majority,
    is_cut_off,
    is_unreachable_here,
)


class TestMajority:
    @pytest.mark.parametrize(
        ("reachable", "instances", "expected"),
        [
            ("a", "a", True),
            ("ab", "abc", True),
            ("c", "abc", False),
            ("abc", "abcdef", True),
            ("def", "abcdef", False),
        ],
    )
    def test_at_most_one_part_of_a_partition_has_it(
        self, reachable, instances, expected
    ):
        assert has_majority(reachable, instances) is expected


class TestUnreachableHere:
    def test_a_primary_that_no_peer_reaches_is_not_unreachable_here_only(self):
        reach = Reachability(silent_s=2.0, failures=5, peer_heard_s=float("inf"))
        assert not is_unreachable_here(reach, majority=True)

    def test_a_primary_that_a_peer_reaches_is_unreachable_here_only(self):
        assert is_unreachable_here(
            Reachability(1.0, 2, peer_heard_s=0.2), majority=True
        )

    def test_an_answer_to_a_peer_before_the_silence_proves_nothing(self):
        assert not is_unreachable_here(
            Reachability(1.0, 5, peer_heard_s=0.8), majority=True
        )

    def test_in_a_minority_every_silent_primary_counts(self):
        assert is_unreachable_here(
            Reachability(1.0, 2, peer_heard_s=float("inf")), majority=False
        )

    @pytest.mark.parametrize(
        "reach", [Reachability(0.3, 9, 0.1), Reachability(2.0, 1, 0.1)]
    )
    def test_a_short_or_single_failure_proves_nothing(self, reach):
        assert not is_unreachable_here(reach, majority=False)


class TestCutOff:
    @pytest.mark.parametrize(
        ("lost", "expected"),
        [
            ([], False),
            ([False] * 3, False),
            ([True, False, False], False),
            ([True, True, False], True),
            ([True], True),
        ],
    )
    def test_by_half_of_the_groups(self, lost, expected):
        assert is_cut_off(lost) is expected
