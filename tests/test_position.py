from mangoramp.policy.position import START, Lineage, Origin, Position


class TestLineage:
    one_term = Lineage((Origin(1, 0, 0),))
    skipped = Lineage(
        (Origin(1, 0, 0), Origin(2, 0, 0), Origin(3, 1, 1), Origin(4, 2, 5))
    )

    def test_one_term_compares_offsets(self):
        assert self.one_term.covers(Position(1, 3), Position(1, 3))
        assert not self.one_term.covers(Position(1, 2), Position(1, 3))
        assert self.one_term.covers(START, START)

    def test_a_skipped_term_is_not_part_of_the_history(self):
        assert not self.skipped.contains(Position(3, 2))
        assert not self.skipped.contains(Position(1, 1))
        assert self.skipped.contains(Position(2, 5))
        assert not self.skipped.contains(Position(2, 6))

    def test_the_surviving_part_of_a_skipped_term_is_covered(self):
        assert self.skipped.covers(Position(4, 6), Position(3, 2))

    def test_an_unknown_term_is_not_covered(self):
        assert not self.skipped.covers(Position(4, 9), Position(5, 1))
        assert not self.skipped.contains(Position(5, 1))
