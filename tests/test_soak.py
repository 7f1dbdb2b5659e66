import pytest

from .soak import soak_once
from .soak_configuration import soak_configuration_once
from .soak_promotions import soak_promotions_once
from .soak_restarts import soak_restarts_once

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


class TestRestartsInSeries:
    """Guards against incident 44: statements in transactions of other callers."""

    @pytest.mark.parametrize(("seed", "build"), [(3, "new"), (5, "new"), (8, "mixed")])
    @pytest.mark.timeout(180)
    async def test_keep_transactions_apart(self, seed, build, tmp_path):
        violations, outcomes, _ = await soak_restarts_once(
            seed, 2 * SECONDS, tmp_path, build
        )
        assert not violations
        assert outcomes["DONE"]


class TestConfigurationOfManyInstances:
    """Guards against incident 47: confirmed routes that some instances refuse."""

    @pytest.mark.timeout(180)
    async def test_is_in_force_though_connections_fell_silent(self, tmp_path):
        soak = await soak_configuration_once(
            1, 2 * SECONDS, tmp_path, kinds=("silence_links",)
        )
        assert not soak.violations
        assert soak.delays

    @pytest.mark.timeout(180)
    @pytest.mark.parametrize("build", ["new", "mixed"])
    async def test_is_in_force_during_all_kinds_of_faults(self, build, tmp_path):
        soak = await soak_configuration_once(5, 2 * SECONDS, tmp_path, build=build)
        assert not soak.violations
        assert soak.delays


class TestReleasesInSeries:
    """Guards against review/7 and review/10: two holders of one duty, old tokens."""

    @pytest.mark.timeout(120)
    @pytest.mark.parametrize("seed", [1, 2])
    async def test_are_carried_out_by_one_holder(self, seed, tmp_path):
        soak = await soak_promotions_once(seed, 2 * SECONDS, tmp_path)
        assert not soak.violations
        assert soak.durations
