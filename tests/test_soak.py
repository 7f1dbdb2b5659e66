import pytest

from .soak import soak_once

SECONDS = 5.0
# Each seed that ever broke a promise stays here, with a line on its cause. An odd seed
# plays with homes of connections.
SEEDS = (2, 3)


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.timeout(120)
    async def test_keeps_every_promise(self, seed, tmp_path):
        broken, served, _ = await soak_once(seed, SECONDS, tmp_path)
        assert not broken
        assert served
