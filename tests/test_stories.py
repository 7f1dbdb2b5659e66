"""Faults that operators of similar systems have reported."""

import asyncio
import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.iostream import StreamClosedError

from mangoramp.control.peers import Peers
from mangoramp.control.reports import Report
from mangoramp.instance import LINK_CODEC
from mangoramp.platform.configuration import decode_deployment
from mangoramp.platform.registry import decode_endpoint
from mangoramp.platform.settings import load_instance_settings
from mangoramp.policy.hubs import HubFields, Member, Roster
from mangoramp.serving.command import RunFor

from .wire_world import World

FUZZ = settings(derandomize=True, deadline=None, max_examples=300)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63 - 1)
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=12,
)


class TestSilentInstance:
    async def test_a_transaction_at_a_suspected_home_goes_on(self):
        """A home that is only silent keeps its transactions."""
        async with World(instances=3) as world:
            services = [{"name": "register", "max_connections": 6}]
            config = msgspec.json.decode(world.platform.get("config", "main").value)
            world.put("config", "main", config | {"version": 2, "services": services})
            instances = world.instances
            await world.wait_until(
                lambda: all(not i.homes.is_direct for i in instances)
            )
            home = instances[0].homes.home_of("alpha") or "i0"
            index = next(n for n, i in enumerate(instances) if i.cfg.name != home)
            caller = await world.caller(instance=index)
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1", "w1")
            instances[index].homes.suspect(home)
            assert (await caller.ask("WRITE b 2", "w2"))[0] == "DONE sig.w2"
            assert (await caller.ask("COMMIT", "c1"))[0] == "DONE sig.c1"
            assert len(world.find_runs("w1")) == len(world.find_runs("w2")) == 1


class TestPlannedStop:
    @pytest.mark.parametrize("yields", range(12))
    async def test_a_request_that_was_read_is_answered(self, yields):
        """Idle connections are closed while a request is just being read."""
        async with World() as world:
            (instance,) = world.instances
            for number in range(8):
                caller = await world.caller()
                request_id = f"w{number}"
                caller.stream.write(f"QUERY {request_id} WRITE a 1\r\n".encode())
                for _ in range(yields):
                    await asyncio.sleep(0)
                instance._listener.close_idle_connections()
                try:
                    answer = await caller.read_reply()
                except StreamClosedError:
                    answer = None
                await asyncio.sleep(0.01)
                assert answer is not None or not world.find_runs(request_id)


class TestLostAnswer:
    async def test_of_a_write_at_its_home_is_unknown_and_not_repeated(self):
        async with World() as world:
            caller = await world.caller()
            await caller.ask("WRITE a 0")
            primary = world.group.servers["s1"]
            primary.faults.drop_answers_to.append(RunFor)
            answer = await caller.ask("WRITE a 1", "w1")
            assert answer[0].startswith("ERR UNSURE ")
            await asyncio.sleep(0.3)
            assert len(world.find_runs("w1")) == 1


def receiver():
    clock = itertools.count(0.0, 0.2)
    peers = Peers(
        "a", lambda i, n: Report("a", i, n), dict, lambda: next(clock), random.Random(1)
    )
    peers.is_direct = lambda: False
    return peers


MEMBER = Member("b", 1, "127.0.0.1", 7560)
REPORT = Report(
    "b",
    1,
    1,
    hub=HubFields(is_hub=True, rosters=(Roster("d", 1, (MEMBER,)),)),
)


class TestMalformedInput:
    @FUZZ
    @given(st.binary(max_size=200) | JSON.map(msgspec.msgpack.encode))
    def test_no_datagram_raises(self, data):
        receiver().datagram_received(data, ("127.0.0.1", 7560))

    @FUZZ
    @given(st.integers(0, 200), st.binary(max_size=4))
    def test_no_changed_report_raises(self, at, noise):
        data = msgspec.msgpack.encode(REPORT)
        at %= len(data)
        peers = receiver()
        peers.datagram_received(data[:at] + noise + data[at + 1 :], ("127.0.0.1", 1))
        peers.send(force=True)

    @pytest.mark.parametrize(
        ("host", "port"), [("nowhere", 1), ("10.0.0.1", 70_000), ("", 1), ("::1", -1)]
    )
    def test_an_address_that_cannot_be_used_does_not_stop_the_reports(self, host, port):
        class Transport:
            sent = 0

            def sendto(self, data, address):
                if address[0] != "127.0.0.1" or not 0 < address[1] < 65_536:
                    raise OverflowError(address)
                self.sent += 1

        peers = receiver()
        peers._transport = Transport()
        bad = Member("c", 1, host, port)
        roster = Roster("", 1, (MEMBER, bad))
        report = msgspec.structs.replace(
            REPORT, hub=HubFields(is_hub=True, rosters=(roster,))
        )
        for number in range(1, 4):
            data = msgspec.msgpack.encode(
                msgspec.structs.replace(report, number=number)
            )
            peers.datagram_received(data, ("127.0.0.1", 7560))
            peers.send(force=True)
        assert peers._transport.sent

    @FUZZ
    @given(st.binary(max_size=200) | JSON.map(msgspec.msgpack.encode))
    def test_a_link_decodes_or_refuses(self, data):
        try:
            LINK_CODEC.decode(data)
        except msgspec.DecodeError:
            return

    @FUZZ
    @given(st.binary(max_size=100) | JSON.map(msgspec.json.encode))
    def test_the_store_s_values_decode_or_are_refused(self, raw):
        for decode in (decode_deployment, lambda r: decode_endpoint("s1", r)):
            try:
                decode(raw)
            except ValueError:
                continue

    @FUZZ
    @given(text=st.text(max_size=200))
    def test_settings_load_or_name_the_mistake(self, tmp_path_factory, text):
        path = tmp_path_factory.mktemp("settings") / "local.toml"
        path.write_text(text, encoding="utf-8", errors="replace")
        assert "local.toml" in str(load_instance_settings(path).failure())


class TestRestart:
    async def test_a_server_that_left_is_not_used_by_a_fresh_process(self):
        """A stale registry lists a server that the peers saw leaving."""
        async with World() as world:
            (first,) = world.instances
            copy = world.platform.take_copy()
            world.list_server("s3", sequence=5)
            await world.wait_until(lambda: "s3" in first.cluster_state.server_ids)
            world.put("servers", "s3", None)
            await world.wait_until(lambda: "s3" not in first.cluster_state.server_ids)
            world.platform.restore(copy)
            fresh = await world.start_instance("fresh", is_first_start=False)
            await world.wait_until(lambda: fresh.is_ready)
            assert "s3" not in fresh.cluster_state.server_ids
