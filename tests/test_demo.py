from mangoramp import demo


class TestDemo:
    async def test_shows_writes_reads_and_a_lost_primary(self, capsys, monkeypatch):
        monkeypatch.setattr(demo, "GIVE_UP_S", 1.0)
        await demo.demo()
        shown = capsys.readouterr().out
        before, _, after = shown.partition("The primary is cut off.")
        assert before.count("done at") == 1 + 2 * demo.SHEETS
        assert "[['A-003', 3]]" in after.splitlines()[1]
        assert "issue B-000" in after
