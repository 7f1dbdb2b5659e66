import pytest

from mangoramp import demo
from mangoramp.standins.fleet import Fleet

from .test_metrics import scrape


class TestDemo:
    @pytest.fixture
    def failover_counts(self, monkeypatch):
        """Collect each proxy's count of failovers before it stops."""
        counts = []
        stop = Fleet.stop

        async def counting_stop(fleet):
            for proxy in fleet.proxies.values():
                name = 'mangoramp_failovers_total{group="register"}'
                counts.append((await scrape(proxy)).get(name, 0.0))
            await stop(fleet)

        monkeypatch.setattr(Fleet, "stop", counting_stop)
        return counts

    async def test_shows_a_write_after_the_primary_is_lost(
        self, capsys, failover_counts
    ):
        await demo.demo()
        shown = capsys.readouterr().out
        before, _, after = shown.partition("The primary is cut off.")
        assert before.count("done at") == 1 + 2 * demo.SHEET_COUNT
        assert "[['A-003', 3]]" in after.splitlines()[1]
        assert after.splitlines()[-1].endswith("[['B-000', 0]]")
        assert sum(failover_counts) >= 1
