import pytest

from .soak import soak_once

SECONDS = 5.0
# Add each seed that found a violation, with a comment on its cause. Odd seeds use a
# configuration with so few connections that customers have homes.
SEEDS = (2, 3)


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.timeout(120)
    async def test_keeps_every_promise(self, seed, tmp_path):
        violations, served_reads, *_ = await soak_once(seed, SECONDS, tmp_path)
        assert not violations
        assert served_reads
