import pytest
from returns.result import Success

from mangoramp.control.deployment import ReadRule
from mangoramp.control.settings import DEFAULT_MEMORY_BYTES, Features
from mangoramp.platform.configuration import decode_deployment
from mangoramp.platform.registry import decode_endpoint
from mangoramp.platform.settings import load_instance_settings

SETTINGS = """
node_name = "n1"
ip = "127.0.0.1"
zone = "a"
internal_ports = [7560, 7575]
seeds = ["127.0.0.1:1", "127.0.0.2:1"]
something_new = { a = 1 }
[listen_addresses]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
"""


class TestSettings:
    def load(self, tmp_path, text):
        path = tmp_path / "local.toml"
        path.write_text(text)
        return load_instance_settings(path)

    def test_unknown_fields_are_ignored(self, tmp_path):
        cfg = self.load(tmp_path, SETTINGS).unwrap()
        assert cfg.peers == ("127.0.0.1", 7560)
        assert cfg.seeds == (("127.0.0.2", 7560),)
        assert cfg.bounds.grace_s == 6

    def test_parts_are_off_unless_the_file_switches_them_on(self, tmp_path):
        """Guards against other behaviour in a deployment that asks for nothing new."""
        cfg = self.load(tmp_path, SETTINGS + "[bounds]\nevacuate_ms = 0\n").unwrap()
        assert cfg.features == Features()
        assert cfg.bounds.evacuation_s == 0

    def test_the_file_switches_each_part_on(self, tmp_path):
        """Guards against a part that stays off although the deployment requires it."""
        extra = "[bounds]\nevacuate_ms = 5000\ncold_overage = 1.5\ncold_slack = 5\n"
        contracts = 'contracts = ["health", "unknown"]\n'
        cfg = self.load(tmp_path, contracts + SETTINGS + extra).unwrap()
        assert cfg.features == Features(evacuation=True, server_health=True)
        bounds = cfg.bounds
        assert (bounds.evacuation_s, bounds.cold_overage, bounds.cold_slack) == (
            5,
            1.5,
            5,
        )

    def test_the_memory_limit_is_known(self, tmp_path):
        """Guards against statements that take more memory than the process may."""
        limits = "[limits]\nmemory_mb = 300\n"
        assert self.load(tmp_path, SETTINGS + limits).unwrap().memory_bytes == 3e8
        for text in (SETTINGS, SETTINGS + "[limits]\nmemory_mb = 0\n"):
            assert self.load(tmp_path, text).unwrap().memory_bytes == (
                DEFAULT_MEMORY_BYTES
            )

    @pytest.mark.parametrize(
        ("change", "named"),
        [
            (('node_name = "n1"', ""), "node_name"),
            (("[7560, 7575]", '"x"'), "internal_ports"),
            (('front = "127.0.0.1:1"', 'front = "nowhere"'), "nowhere"),
            (("[platform]", "[other]"), "platform"),
            (("node_name", "= ="), "line"),
        ],
    )
    def test_names_file_and_field_of_a_mistake(self, tmp_path, change, named):
        loaded = self.load(tmp_path, SETTINGS.replace(*change))
        assert not isinstance(loaded, Success)
        assert "local.toml" in loaded.failure()
        assert named in loaded.failure()

    def test_a_missing_file_is_a_mistake_too(self, tmp_path):
        assert (
            "nothing.toml"
            in load_instance_settings(tmp_path / "nothing.toml").failure()
        )


class TestConfiguration:
    def test_fields_that_are_missing_have_safe_values(self):
        raw = b'{"version": 3, "routes": [{"database_name": "d", "service": "g"}]}'
        (route,) = decode_deployment(raw).routes.values()
        assert route.rule is ReadRule.PRIMARY
        assert not route.open_to_all

    def test_reads_what_a_cold_server_can_take(self):
        services = b'[{"name":"g","cold_start_s":8,"cold_per_s":20},{"name":"h"}]'
        found = decode_deployment(b'{"version": 3, "services": %s}' % services).groups
        assert (found["g"].cold_start_s, found["g"].cold_rate) == (8, 20)
        assert (found["h"].cold_start_s, found["h"].cold_rate) == (0, 0)

    @pytest.mark.parametrize("raw", [b"{}", b"[]", b'{"version": "x"}', b"\xff{"])
    def test_what_cannot_be_read_is_refused(self, raw):
        with pytest.raises(ValueError, match=r".+"):
            decode_deployment(raw)


class TestRegistry:
    ENTRY = (
        '{"service":"g","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,'
        '"state":"ready","cold_remaining_ms":0,"db_role":"replica","sequence":4}'
    )

    def test_reads_an_entry(self):
        entry = self.ENTRY.replace('"cold_remaining_ms":0', '"cold_remaining_ms":1500')
        endpoint = decode_endpoint("s1", entry.encode())
        assert endpoint.cold_left_s == 1.5
        assert endpoint.address == ("10.0.0.1", 80)
        assert not endpoint.is_primary

    @pytest.mark.parametrize(
        "change",
        [
            ('"ready"', '"resting"'),
            ('"replica"', '"witness"'),
            ('"slots":2', '"slots":"two"'),
            ('"service":"g",', ""),
            ("10.0.0.1:80", "10.0.0.1"),
            ("10.0.0.1:80", "10.0.0.1:65536"),
            ("10.0.0.1:80", "10.0.0.1:0"),
            ("10.0.0.1:80", "10.0.0.1:\u00b2"),
            ("}", ""),
        ],
    )
    def test_an_invalid_entry_is_rejected(self, change):
        with pytest.raises(ValueError, match=r".+"):
            decode_endpoint("s1", self.ENTRY.replace(*change).encode())
