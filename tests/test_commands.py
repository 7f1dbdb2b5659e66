import json

import pytest

from mangoramp.cli import main

from .processes import Processes

TABLE_HEADER = "customer,group,weight,rate,burst,read_age_s\n"
TALA_ROW = "tala,register,1,300,300,1\n"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Run a platform with one group that has no servers."""
    processes = Processes(tmp_path_factory.mktemp("commands"), domains=0)
    try:
        processes.start()
        yield processes
    finally:
        processes.stop()


@pytest.fixture
def run(fleet, tmp_path, capsys):
    def run(*args, text=None):
        if text is not None:
            (tmp_path / "table.csv").write_text(text)
            args += ("--file", str(tmp_path / "table.csv"))
        capsys.readouterr()
        code = main([*args, "--platform", fleet.platform])
        out, err = capsys.readouterr()
        return code, out, err

    return run


class TestTableCommands:
    def test_two_operators_edit_the_same_version(self, run):
        code, _, _ = run("table", "import", text=TABLE_HEADER + TALA_ROW)
        assert code == 0
        code, exported, _ = run("table", "export")
        assert exported.splitlines()[2] == TALA_ROW.strip()
        first = exported.replace("1,300,300,1", "1,400,300,1")
        assert run("table", "import", text=first)[0] == 0
        second = exported.replace("1,300,300,1", "1,300,500,1")
        code, _, message = run("table", "import", text=second)
        assert code == 3
        assert "yours:    weight=1 rate=300 burst=500" in message
        assert "in force: weight=1 rate=400 burst=300" in message
        code, message, _ = run(
            "table", "set", "tala", "register", "rate=300", "burst=9"
        )
        assert (code, message) == (0, "weight=1 rate=300 burst=9 read_age_s=1\n")

    @pytest.mark.parametrize(
        ("args", "text", "message"),
        [
            (
                ("table", "import"),
                TABLE_HEADER + "a,nowhere,1,1,1,1",
                "found 'nowhere', allo",
            ),
            (("table", "check"), TABLE_HEADER + ",register,x,1,1,1", "2 mistakes"),
            (("table", "set", "tala", "register", "rate=-1"), None, "rate: found '-1'"),
            (("table", "set", "tala", "register", "speed=1"), None, "found 'speed=1'"),
            (("table", "set", "x", "register", "rate=1"), None, "no row for x and reg"),
            (("keys", "withdraw", "--key-id", "0" * 16), None, "no key 00000000000"),
        ],
    )
    def test_refuses_mistakes_and_changes_nothing(self, run, args, text, message):
        before = run("table", "export")
        code, _, error = run(*args, text=text)
        assert code == 2
        assert message in error
        assert run("table", "export") == before


class TestKeyCommands:
    def test_shows_a_key_once(self, run):
        issued = json.loads(run("keys", "give", "--customer", "tala")[1])
        listed = run("keys", "list", "--json")[1]
        assert issued["key_id"] in listed
        assert issued["key"] not in listed
        assert run("keys", "withdraw", "--key-id", issued["key_id"])[0] == 0
        assert issued["key_id"] not in run("keys", "list")[1]
        assert run("keys", "rotate-signing")[0] == 0
