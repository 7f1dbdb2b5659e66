"""Data from outside the process that cannot be used must spoil nothing beside it."""

import contextlib
import json
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangoramp.catalog import KIND_KEY, KIND_SIGNING_KEY, Catalog
from mangoramp.control import news
from mangoramp.control.cluster_state import ClusterState, VersionedEndpoint
from mangoramp.control.endpoint import Endpoint, find_problem, is_address
from mangoramp.control.evacuations import Evacuations
from mangoramp.control.load_reports import LoadReports
from mangoramp.control.news import News
from mangoramp.control.news_fetcher import NewsFetcher
from mangoramp.control.peers import Peers
from mangoramp.control.reports import Report
from mangoramp.control.settings import Features
from mangoramp.decoding import decode_json, msgpack_decoder
from mangoramp.platform import client
from mangoramp.platform.configuration import decode_deployment
from mangoramp.platform.fragments import split_elements, split_members
from mangoramp.platform.registry import decode_endpoint
from mangoramp.platform.wire import decode_position, decode_status
from mangoramp.policy.cache import Delta, Item
from mangoramp.proxies.links import Links
from mangoramp.proxies.messages import PROXY_CODEC
from mangoramp.serving.servers import Servers

from .wire_world import GROUP, World, configuration, server_entry

PROPERTY = settings(derandomize=True, deadline=None, max_examples=200)
DEEP = 100_000
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
ENTRY = {
    "service": GROUP, "address": "127.0.0.1:1", "zone": "z", "version": "v1",
    "slots": 2, "state": "ready", "cold_remaining_ms": 0, "db_role": "replica",
    "sequence": 4, "born": 7,
}  # fmt: skip
ODD_VALUES = {
    "service": [None, 3, "", "two words", "line\r\nSTATUS", "g" * 100_000, "caf\u00e9"],
    "address": [
        None, 7, "", "x", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
        "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1:" + "9" * 5000,
        "no-such-host.invalid:80", "\u0000:80", "h" * 300 + ":80", "[::1]:80",
        "1.2.3:80", "127.0.0.1:\u0663",
    ],
    "zone": [None, 3],
    "slots": [None, "2", 2.5, -1, 2**31, 2**63, 2**64, 10**30, True],
    "state": [None, "resting", 1],
    "db_role": [None, "witness", 1],
    "cold_remaining_ms": [None, "0", 1e300, 10**30],
    "sequence": [None, "4", -1, 2**63, 2**64, 10**30],
    "born": [None, "7", 1.5, -1, 2**53, 2**64, 10**30],
}  # fmt: skip


def odd_entries():
    """Return entries that name no server to use, as JSON by name."""
    found = {}
    for name, values in ODD_VALUES.items():
        for number, value in enumerate(values):
            found[f"{name}-{number}"] = json.dumps(ENTRY | {name: value}).encode()
    for name in ("service", "address", "zone", "slots", "state", "db_role", "sequence"):
        left = {k: v for k, v in ENTRY.items() if k != name}
        found[f"without-{name}"] = json.dumps(left).encode()
    good = json.dumps(ENTRY).encode()
    found |= {
        "empty": b"{}", "null": b"null", "list": b"[]", "text": b'"x"',
        "number": b"7", "true": b"true",
        "too-large-float": good.replace(b'"slots": 2', b'"slots": 1e400'),
        "too-many-digits": good.replace(b'"slots": 2', b'"slots": ' + b"9" * 5000),
        "lone-surrogate": good.replace(b'"z"', b'"\\ud800"'),
        "not-utf8": good.replace(b'"z"', b'"\xff\xfe"'),
        "deep-array": b"[" * DEEP + b"]" * DEEP,
        "deep-object": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        "deep-field": good[:-1] + b', "x": ' + b"[" * DEEP + b"]" * DEEP + b"}",
        "deep-known-field": good.replace(b'"z"', b"[" * DEEP + b"]" * DEEP),
    }  # fmt: skip
    return found


ODD = odd_entries()


class TestFragments:
    @PROPERTY
    @given(st.dictionaries(st.text(st.characters(codec="ascii")), JSON))
    def test_members_are_those_of_the_object(self, value):
        raw = msgspec.json.encode(value)
        found = split_members(raw)
        expected = {json.dumps(k)[1:-1]: msgspec.json.decode(msgspec.json.encode(v))
                    for k, v in value.items()}  # fmt: skip
        decoded = {json.dumps(json.loads(f'"{k}"'))[1:-1]: msgspec.json.decode(v)
                   for k, v in found.items()}  # fmt: skip
        assert decoded == expected

    @PROPERTY
    @given(st.lists(JSON))
    def test_elements_are_those_of_the_array(self, value):
        raw = json.dumps(value, indent=1).encode()
        assert [json.loads(part) for part in split_elements(raw)] == value

    @PROPERTY
    @given(st.binary() | JSON.map(lambda v: msgspec.json.encode(v)[:-1]))
    def test_other_data_is_a_value_error(self, raw):
        for split in (split_members, split_elements):
            with contextlib.suppress(ValueError):
                split(raw)

    @pytest.mark.timeout(10)
    @pytest.mark.parametrize("end", [b"", b"\\"])
    def test_a_string_without_an_end_is_read_once(self, end):
        """Guards against bytes whose reading takes the square of their number."""
        odd = b'["' + b'\\"' * 500_000 + end
        for raw in (odd, b'{"a":[' + odd, b'{"a' + odd):
            with pytest.raises(ValueError, match=r"."):
                split_elements(raw)
            with pytest.raises(ValueError, match=r"."):
                split_members(raw)

    def test_depth_does_not_matter(self):
        deep = b"[" * DEEP + b"]" * DEEP
        assert split_elements(b"[1, " + deep + b',{"a":[2]}]') == [
            b"1", deep, b'{"a":[2]}'
        ]  # fmt: skip
        assert split_members(b'{"a": ' + deep + b', "b" :"]"}') == {
            "a": deep, "b": b'"]"'
        }  # fmt: skip


class TestRegistryEntry:
    @pytest.mark.parametrize("name", ODD)
    def test_that_names_no_server_to_use_is_an_error(self, name):
        """Guards against entries that end a task or stop the watch of the others."""
        with pytest.raises(ValueError, match=r".+"):
            decode_endpoint("s1", ODD[name])

    @pytest.mark.parametrize(
        "name", ["", "two words", "a\r\nSTATUS", "\u20ac", "x" * 999]
    )
    def test_needs_an_id_that_a_message_can_hold(self, name):
        """Guards against ids that add lines to a message to a server."""
        with pytest.raises(ValueError, match="its id"):
            decode_endpoint(name, json.dumps(ENTRY).encode())

    @PROPERTY
    @given(st.fixed_dictionaries({k: JSON | st.just(v) for k, v in ENTRY.items()}))
    def test_is_usable_and_can_be_passed_on_or_an_error(self, value):
        try:
            endpoint = decode_endpoint("s1", msgspec.json.encode(value))
        except ValueError:
            return
        assert not find_problem(endpoint)
        raw = msgspec.msgpack.encode(endpoint)
        assert msgspec.msgpack.decode(raw, type=Endpoint) == endpoint

    def test_at_the_edges_is_usable(self):
        edges = {
            "slots": 0, "sequence": 2**53 - 1, "born": 2**53 - 1,
            "address": "255.255.255.255:65535", "cold_remaining_ms": -1,
        }  # fmt: skip
        for name, value in edges.items():
            endpoint = decode_endpoint("s1", json.dumps(ENTRY | {name: value}).encode())
            assert not find_problem(endpoint)

    @pytest.mark.parametrize("host", ["localhost", "", "1.2.3.4.5", "::1", "01.2.3.4"])
    def test_names_no_host_that_is_looked_up(self, host):
        """Guards against a look-up that blocks the process."""
        assert not is_address((host, 80))


def wrap(name, spec):
    return b'{"meta":{"name":"%b","revision":5},"spec":%b}' % (name.encode(), spec)


class Response:
    def __init__(self, body):
        self.body = body


class TestStoreAnswer:
    GOOD = wrap("good", json.dumps(ENTRY).encode())

    @pytest.mark.parametrize("name", ODD)
    @pytest.mark.parametrize("place", ["status", "spec"])
    def test_one_object_leaves_the_others_of_a_list(self, name, place):
        """Guards against a list that one unreadable object makes unreadable."""
        odd = wrap("odd", ODD[name])
        if place == "status":
            odd = wrap("odd", b'{"x":1}')[:-1] + b',"status":' + ODD[name] + b"}"
        body = b'{"items":[%b,%b,%b],"has_more":true,"current_rev":9}' % (
            self.GOOD, odd, self.GOOD
        )  # fmt: skip
        page, found = client._decode_page(Response(body), msgspec.Raw, "", 1).unwrap()
        assert [o.name for o in found] == ["good", "odd", "good"]
        assert all(o.version == 5 for o in found)
        assert (page.current_rev, page.has_more) == (9, True)

    @pytest.mark.parametrize("name", ODD)
    def test_one_event_leaves_the_others_of_a_watch(self, name):
        """Guards against a watch that one unreadable object stops."""
        event = b'{"object":%b,"deleted":%b}'
        body = b'{"events":[%b],"current_rev":9}' % b",".join(
            [
                event % (wrap("odd", ODD[name]), b"false"),
                event % (self.GOOD, b"false"),
                event % (wrap("gone", ODD[name]), b"true"),
            ]
        )
        changes = client._decode_events(Response(body), msgspec.Raw, "", 1).unwrap()
        assert [(o.name, o.is_deleted) for o in changes.objects] == [
            ("odd", False), ("good", False), ("gone", True)
        ]  # fmt: skip
        assert changes.version == 9

    @pytest.mark.parametrize(
        "odd", [b"7", b"{}", b'{"meta":{}}', b'{"meta":{"name":3}}', b"null",
                b'{"meta":{"name":"x","revision":-1}}', b"[" * DEEP + b"]" * DEEP]
    )  # fmt: skip
    def test_an_object_without_a_name_is_left_out(self, odd):
        body = b'{"items":[%b,%b],"current_rev":9}' % (odd, self.GOOD)
        _, found = client._decode_page(Response(body), msgspec.Raw, "", 1).unwrap()
        assert [o.name for o in found] == ["good"]

    @PROPERTY
    @given(st.binary() | JSON.map(msgspec.json.encode))
    def test_any_other_answer_is_a_fault(self, body):
        for decode in (client._decode_page, client._decode_events):
            decode(Response(body), msgspec.Raw, "", 1)
        client._decode_object(Response(body), msgspec.Raw, "", 1)


class TestConfiguration:
    @pytest.mark.parametrize(
        "change",
        [{"version": 2**64}, {"version": -1}, {"version": 10**30},
         {"services": [{"name": "g", "max_connections": 2**64}]},
         {"services": [{"name": "g", "max_connections": -1}]}],
    )  # fmt: skip
    def test_with_a_number_that_no_message_holds_is_an_error(self, change):
        """Guards against a version that stops the reports to all peers."""
        with pytest.raises(ValueError, match=r".+"):
            decode_deployment(msgspec.json.encode(configuration() | change))

    @pytest.mark.parametrize("name", ["deep-array", "deep-object", "lone-surrogate"])
    def test_that_cannot_be_read_is_an_error(self, name):
        with pytest.raises(ValueError, match=r".+"):
            decode_deployment(ODD[name])


class TestServerAnswers:
    @pytest.mark.parametrize("text", ["9" * 5000 + ".1", "1." + "9" * 19, "\u0663.1"])
    def test_a_position_that_no_message_holds_is_none(self, text):
        assert decode_position(text) is None
        assert decode_status(f"replica {text.split('.')[0]} {text} 0 0 0 1") is None

    def test_a_term_with_too_many_digits_is_no_status(self):
        assert decode_status(f"replica {'9' * 5000} 1.1 0 0 0 1") is None


class TestMessages:
    DEEP_ARRAY = b"\x91" * DEEP + b"\xc0"

    @pytest.mark.parametrize("type_", [Report, News, list, dict])
    def test_that_are_nested_too_deeply_are_decode_errors(self, type_):
        """Guards against a datagram or message that ends a task."""
        with pytest.raises(msgspec.DecodeError):
            msgpack_decoder(type_)(self.DEEP_ARRAY)
        with pytest.raises(msgspec.DecodeError):
            decode_json(b"[" * DEEP, list)

    @pytest.mark.parametrize("kind", [Peers, LoadReports])
    def test_a_datagram_that_cannot_be_decoded_is_dropped(self, kind):
        if kind is Peers:
            receiver = Peers("a", None, dict, lambda: 0.0, SimpleNamespace(
                getrandbits=lambda n: 1, randrange=lambda a, b: a))  # fmt: skip
        else:
            rng = SimpleNamespace(getrandbits=lambda n: 1)
            receiver = LoadReports("a", lambda name: None, lambda: 0.0, rng)
        for data in (self.DEEP_ARRAY, b"", b"\xc1", b"\x93\xa1b\xc0\xc0", b"\x80"):
            receiver.datagram_received(data, ("127.0.0.1", 9))

    @PROPERTY
    @given(st.binary())
    def test_of_the_http_interface_are_decode_errors(self, raw):
        with contextlib.suppress(msgspec.DecodeError):
            PROXY_CODEC.decode(raw)

    async def test_a_peer_at_an_unusable_address_is_not_reached(self):
        """Guards against a record that makes each statement for a home fail."""
        links = Links(lambda peer: "tcp://\0:1", PROXY_CODEC)
        result = await links.call("a", None, timeout_s=0.1)
        assert "not known" in result.failure().message


class TestNewsOfAFormerBuild:
    """A former build passes on entries that this build does not use."""

    def entry(self, server_id, **changes):
        fields = {"address": ("127.0.0.1", 1), "slots": 2} | changes
        endpoint = Endpoint(
            server_id, "g", fields.pop("address"), "z", fields.pop("slots"),
            False, False, **fields,
        )  # fmt: skip
        return VersionedEndpoint(endpoint, 5)

    @pytest.mark.parametrize(
        "change",
        [{"address": ("no-such-host.invalid", 1)}, {"address": ("127.0.0.1", 70_000)},
         {"slots": 2**63}, {"slots": -1}, {"started_ms": -1}, {"sequence": 2**63},
         {"cold_left_s": float("nan")}, {"cold_left_s": float("inf")}],
    )  # fmt: skip
    def test_is_used_but_for_such_entries(self, change):
        servers = Servers(None, lambda: 0.0)
        state = ClusterState(servers)
        fetcher = NewsFetcher(
            state, None, None, None, Evacuations(servers, lambda: 0.0, is_enabled=False)
        )
        message = News(
            7, 7, None, (self.entry("odd", **change), self.entry("good")),
            frozenset({"odd", "good"}), True,
        )  # fmt: skip
        raw = msgspec.msgpack.encode(message)
        fetcher._apply(msgspec.msgpack.decode(raw, type=news.NewsMessage))
        assert state.server_ids == {"good"}
        assert set(servers.group("g").servers) == {"good"}


class TestCatalogObject:
    @pytest.mark.parametrize("kind", Catalog().kinds)
    @pytest.mark.parametrize("name", ["deep-array", "empty", "lone-surrogate", "true"])
    def test_that_cannot_be_read_leaves_the_others(self, kind, name):
        """Guards against a watch that one object of its kind ends for good."""
        catalog = Catalog()
        good = msgspec.json.encode(
            {"customer": "c", "salt": "00", "digest": "00", "created_s": 1.0}
        )
        catalog.apply(Delta(KIND_KEY, 0, 3, (Item("k", 3, good),)))
        kept = (Item("k", 3, good),) if kind == KIND_KEY else ()
        catalog.apply(Delta(kind, 0, 9, (Item("a", 7, ODD[name]), *kept)))
        assert set(catalog.keys) == {"k"}

    def test_with_a_key_that_is_no_hexadecimal_changes_nothing(self):
        catalog = Catalog()
        keys = [{"secret": "00", "created_s": 1.0}, {"secret": "xy", "created_s": 2.0}]
        items = (
            Item(f"k{n}", 3 + n, msgspec.json.encode(k)) for n, k in enumerate(keys)
        )
        catalog.apply(Delta(KIND_SIGNING_KEY, 0, 9, tuple(items)))
        assert set(catalog.signing_keys.secrets) == {"k0"}


class TestInstance:
    KINDS = ("servers", "mangoramp-instance", "config", "evacuations")

    def put_odd(self, world, kind, prefix):
        for name, raw in ODD.items():
            if kind != "evacuations" or raw != b"null":
                assert world.platform.put(kind, f"{prefix}-{name}", 0, raw)

    async def check(self, world, *, is_draining):
        """Check that the store's changes are followed and callers served."""
        state = "draining" if is_draining else "ready"
        world.list_server("s3", state=state)
        await world.wait_until(
            lambda: all(
                i.servers.group(GROUP).servers["s3"].endpoint.is_draining == is_draining
                for i in world.instances
            )
        )
        for number in range(len(world.instances)):
            caller = await world.caller(instance=number)
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")

    @pytest.mark.parametrize("kind", KINDS)
    async def test_follows_the_others_of_a_kind(self, kind, monkeypatch):
        """Guards against instances that end or stop following the store."""
        failed = []
        monkeypatch.setattr(
            "mangoramp.instance.emit",
            lambda event, **facts: (
                failed.append(facts) if event.number == 331 else None
            ),
        )
        features = Features(evacuation=kind == "evacuations")
        async with World(instances=2, features=features) as world:
            self.put_odd(world, kind, "odd")
            await self.check(world, is_draining=True)
            await world.start_instance("i9")  # lists what the others have watched
            await world.wait_until(lambda: all(i.is_ready for i in world.instances))
            await self.check(world, is_draining=False)
            known = {s for i in world.instances for s in i.cluster_state.server_ids}
            assert known == {"s1", "s2", "s3"}
        assert not failed

    async def test_replaces_a_primary_whose_claim_cannot_be_read(self):
        """Guards against a group that no instance promotes a server for."""
        async with World() as world:
            raw = ODD["deep-array"]
            assert world.platform.put("mangoramp-promotion", GROUP, 0, raw)
            caller = await world.caller()
            world.group.servers["s1"].crash()
            assert (await caller.ask("WRITE a 1"))[0].startswith("DONE")
            assert world.promotion_requests

    async def test_ignores_servers_of_groups_without_a_configuration(self):
        """Guards against an entry that counts as a primary nobody reaches."""
        async with World() as world:
            entry = server_entry(
                world.group, "s1", service="other", slots=1, zone="far"
            )
            world.put("servers", "x1", entry)
            servers = world.instances[0].servers
            await world.wait_until(lambda: "other" in servers.groups)
            assert "far" not in servers.failure_domains
            assert servers.min_slots == 2
            assert world.instances[0]._path_prober._primaries(0.0).keys() == {"s1"}

    async def test_registers_over_an_unreadable_record_of_its_own(self):
        async with World() as world:
            raw = ODD["deep-object"]
            assert world.platform.put("mangoramp-instance", "i5", 0, raw)
            instance = await world.start_instance("i5")
            found = world.platform.get("mangoramp-instance", "i5")
            await world.wait_until(
                lambda: (
                    b"host"
                    in bytes(world.platform.get("mangoramp-instance", "i5").value)
                )
            )
            assert found.value is not None
            assert instance.cfg.name == "i5"

    async def test_takes_an_evacuation_without_content_for_one(self):
        """Guards against an evacuation that is read as its own end."""
        changes = client._decode_events(
            Response(
                b'{"events":[{"object":{"meta":{"name":"z","revision":5}},'
                b'"deleted":false}],"current_rev":9}'
            ),
            msgspec.Raw,
            "",
            1,
        ).unwrap()
        assert not changes.objects[0].is_deleted
