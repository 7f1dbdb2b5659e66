from collections import Counter
from pathlib import Path

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from mangoramp.pages import PAGES
from mangoramp.policy.sheet import parse_sheet
from mangoramp.settings import ProxySettings, load_settings
from mangoramp.settings_types import structure
from mangoramp.standins.seed import read_seed

ROOT = Path(__file__).parent.parent
VALID_SETTINGS = {
    "name": "p1",
    "failure_domain": "a",
    "platform": "http://127.0.0.1:7500",
    "listen_host": "127.0.0.1",
    "listen_port": 7601,
    "metrics_port": 7701,
    "peer_address": "tcp://127.0.0.1:7801",
}
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
VALUES = SCALARS | st.lists(SCALARS, max_size=2) | st.dictionaries(st.text(), SCALARS)
KEYS = st.sampled_from([*VALID_SETTINGS, "log", "listen_prt"]) | st.text(max_size=5)


def load(tmp_path, changes):
    path = tmp_path / "proxy.yaml"
    path.write_text(yaml.safe_dump(VALID_SETTINGS | changes))
    return load_settings(path)


class TestSettings:
    @pytest.mark.parametrize(
        ("changes", "message"),
        [
            ({"name": ""}, "name: found '', allowed: 1 to 63 letters"),
            ({"listen_port": 0}, "listen_port: found 0, allowed: 1 to 65535 (port)"),
            ({"listen_port": "80"}, "listen_port: found '80', allowed: 1 to 65535"),
            ({"listen_port": True}, "listen_port: found True, allowed: 1 to 65535"),
            ({"listen_host": "localhost"}, "listen_host: found 'localhost', allowed"),
            ({"metrics_port": 7601}, "metrics_port: found 7601, as listen_port"),
            ({"peer_address": "tcp://127.0.0.1:7601"}, "peer_address: found port 7601"),
            ({"log": 5}, "log: found 5, allowed: a mapping with level, json"),
            ({"log": {"level": "LOUD"}}, "log.level: found 'LOUD', allowed: one of DE"),
            ({"log": {"jsn": True}}, "log.jsn: unknown key, allowed: level, json"),
        ],
    )  # fmt: skip
    def test_names_path_found_and_allowed(self, tmp_path, changes, message):
        assert load(tmp_path, changes).failure()[0].startswith(message)

    def test_names_all_mistakes_at_once(self, tmp_path):
        bad = {"name": 5, "listen_prt": 1, "log": {"level": 1, "x": 2}}
        path = tmp_path / "proxy.yaml"
        path.write_text(yaml.safe_dump(bad))
        named = {line.split(":")[0] for line in load_settings(path).failure()}
        missing = VALID_SETTINGS.keys() - {"name"}
        assert named == missing | {"name", "listen_prt", "log.level", "log.x"}

    def test_rejects_duplicate_key(self, tmp_path):
        path = tmp_path / "proxy.yaml"
        path.write_text(yaml.safe_dump(VALID_SETTINGS) + "name: p2\n")
        assert "appears 2 times" in load_settings(path).failure()[0]

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.dictionaries(KEYS, VALUES, max_size=8) | VALUES)
    def test_returns_settings_or_errors_for_any_input(self, raw):
        found = structure(raw, ProxySettings)
        assert isinstance(found, Success) or all(found.failure())


class TestPages:
    @pytest.mark.parametrize("page", PAGES)
    def test_matches_generated_page(self, page):
        assert (ROOT / "docs" / f"{page.upper()}.md").read_text() == PAGES[page]()


class TestExamples:
    @pytest.mark.parametrize(
        ("name", "slots", "connections", "connect_s"),
        [("tala", 2, 16, 0.012), ("agencia", 3, 34, 0.027)],
    )
    def test_has_the_sizes_of_the_deployment(self, name, slots, connections, connect_s):
        folder = ROOT / "examples" / name
        seed = read_seed(folder / "seed.yaml")
        assert seed.connect_s == connect_s
        assert len(seed.groups) == 3
        domains = {s.failure_domain for group in seed.groups for s in group.servers}
        assert len(domains) == 3
        for group in seed.groups:
            assert {s.failure_domain for s in group.servers} == domains
            sizes = {(s.slots, s.connections) for s in group.servers}
            assert sizes == {(slots, connections)}
        groups = {group.name for group in seed.groups}
        rows = parse_sheet((folder / "table.csv").read_text(), groups).unwrap().rows
        assert len({row.customer for row in rows}) == 8
        assert len(rows) == 24
        files = sorted(folder.glob("proxy-*.yaml"))
        proxies = [load_settings(path).unwrap() for path in files]
        assert Counter(p.failure_domain for p in proxies) == dict.fromkeys(domains, 2)
