"""What callers get after replicas that received nothing have caught up again."""

import pytest

from .health_world import OBJECTIVE_S, Faults, HealthWorld, quiet_events

START_S = 4.0
CUT_END_S = 10.0
LAG_END_S = 14.0  # a log stream that was cut is sent again after seconds
WELL_S = 2.0  # after the last disturbance, callers get what they got before
SEEDS = (1, 2, 3)


class TestGroupWhosePrimaryWasCutFromItsReplicas:
    """Guards against reads that stay at the primary once the replicas have caught up.

    The replicas refuse reads as behind for seconds. If nothing is sent to them any
    more, nobody notices that they have caught up; the primary alone cannot run all.
    """

    @pytest.fixture(params=SEEDS)
    def world(self, request, monkeypatch):
        quiet_events(monkeypatch)
        lag = Faults(receives_nothing=True, start_s=START_S, end_s=LAG_END_S)
        cut = Faults(is_cut=True, start_s=START_S, end_s=CUT_END_S)
        world = HealthWorld(
            {"s0": cut, "s1": lag, "s2": lag},
            parts=(),
            replicas=2,
            reads_per_s=300.0,
            seconds=19.0,
            customers=40,
            seed=request.param,
            instances=6,
        )
        world.run()
        return world

    def test_callers_are_served_in_time_again(self, world):
        after = [o for o in world.outcomes if o[0] >= LAG_END_S + WELL_S]
        in_time = [o for o in after if o[1] and o[2] <= OBJECTIVE_S]
        assert len(in_time) >= 0.99 * len(after)
        runs = {
            name: sum(at >= LAG_END_S + WELL_S for at in server.run_times)
            for name, server in world.played.items()
        }
        assert runs["s0"] <= 0.05 * sum(runs.values())
