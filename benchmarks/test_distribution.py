"""Measures the propagation delay of changes and the cost of control traffic."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
import pytest

from mangoramp.operators.keys import give_key, withdraw_key
from mangoramp.operators.table import set_row
from mangoramp.policy.domain import DomainParticipant
from mangoramp.policy.lease import LeaseRecord
from mangoramp.policy.membership import beat_interval, grant_period, lease_ttl
from mangoramp.proxies import link
from mangoramp.standins.fleet import Fleet, FleetOptions

EDIT_TIMEOUT_S = 6.0
WITHDRAWAL_TIMEOUT_S = 5.0
MAX_CONTROL_BYTES_PER_S = 7000
TARGET_MEMBERS = 125
TARGET_DOMAINS = 16
TARGET_CHANGES_PER_DAY = 4200
MAX_PLATFORM_READS_PER_S = 2000
MAX_PLATFORM_WRITES_PER_S = 300
OBJECT_KINDS = 6
CHANGES = 10
IDLE_SAMPLE_S = 10.0
DAY_S = 86_400


@dataclass
class IdleCost:
    """Cost of an idle failure domain per second; byte sizes of its messages."""

    reads: float
    writes: float
    watching: int
    relay_bytes: float
    member_bytes: float
    beat_bytes: float


class LinkTraffic:
    """Counts the messages and bytes that proxies send to each other."""

    def __init__(self, monkeypatch):
        self.bytes, self.messages = Counter(), Counter()
        encode = link.encode

        def count(message):
            data = encode(message)
            kind = type(message).__name__
            self.bytes[kind] += len(data)
            self.messages[kind] += 1
            return data

        monkeypatch.setattr(link, "encode", count)

    def clear(self):
        self.bytes.clear()
        self.messages.clear()

    def mean(self, *kinds):
        return sum(self.bytes[k] / max(1, self.messages[k]) for k in kinds)


@asynccontextmanager
async def running_fleet(domains, proxies):
    fleet = Fleet(FleetOptions(domains=domains, proxies=proxies))
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


async def seconds_until(condition, limit):
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < limit
        await asyncio.sleep(0.005)
    return time.monotonic() - started


class TestDelay:
    @pytest.mark.timeout(120)
    async def test_of_edits_and_withdrawals(self):
        edits, withdrawals = [], []
        async with running_fleet(("d1", "d2", "d3"), 8) as fleet:
            catalogs = [p.catalog for p in fleet.proxies.values()]
            for number in range(CHANGES):
                rate = 100.0 + number
                await set_row(fleet.client, ("tala", "register"), {"rate": rate})
                is_applied = lambda want=rate: all(  # noqa: E731
                    c.row("tala", "register").rate == want for c in catalogs
                )
                edits.append(await seconds_until(is_applied, EDIT_TIMEOUT_S))
                key_id = (await give_key(fleet.client, "tala")).unwrap().key_id
                is_issued = lambda k=key_id: all(k in c.keys for c in catalogs)  # noqa: E731
                await seconds_until(is_issued, EDIT_TIMEOUT_S)
                await withdraw_key(fleet.client, key_id)
                is_withdrawn = lambda k=key_id: not any(k in c.keys for c in catalogs)  # noqa: E731
                withdrawals.append(
                    await seconds_until(is_withdrawn, WITHDRAWAL_TIMEOUT_S)
                )
        print(
            f"\n24 proxies, 3 domains, {CHANGES} changes each, seconds until in force"
        )
        print(f"  edit: median {median(edits):.3f} max {max(edits):.3f}")
        print(
            f"  withdrawal: median {median(withdrawals):.3f} max {max(withdrawals):.3f}"
        )


class TestControl:
    @pytest.mark.timeout(120)
    async def test_at_rest_at_an_edit_and_after_an_outage(self, monkeypatch):
        traffic = LinkTraffic(monkeypatch)
        small, _ = await measure_idle(traffic, 2)
        large, edit = await measure_idle(traffic, 20)
        print(f"\none domain at rest for {IDLE_SAMPLE_S:g} s: 2 members {small}")
        print(f"  20 members {large}")
        print(f"  edit with 20 members: {edit}")
        assert large.watching == small.watching == 2
        beats = TARGET_MEMBERS / beat_interval(TARGET_MEMBERS)
        lease_s = lease_ttl(TARGET_MEMBERS) / 4
        record = len(msgspec.json.encode(_lease_record(TARGET_MEMBERS)))
        relay_s = large.beat_bytes * beats + 2 * record / lease_s
        changes_s = TARGET_CHANGES_PER_DAY / DAY_S
        print(f"worked out for {TARGET_MEMBERS} members in a domain:")
        print(f"  beat and grant: {large.beat_bytes:.0f} B, {beats:.0f} a second")
        print(f"  lease record: {record} B, each {lease_s:.2f} s written and read")
        print(f"  relay: {relay_s:.0f} B/s, bound {MAX_CONTROL_BYTES_PER_S}")
        follow = traffic.mean("Follow")
        fan_out = edit["bytes_a_member"] * TARGET_MEMBERS * changes_s
        print(
            f"  relay for changes: {fan_out:.0f} B/s; Follow {follow:.0f} B each 20 s"
        )
        reads = TARGET_DOMAINS * (large.reads + 2 * OBJECT_KINDS / 20)
        writes = TARGET_DOMAINS / lease_s
        print(f"platform, {TARGET_DOMAINS} domains, a second:")
        print(f"  {reads:.0f} reads, {writes:.0f} writes")
        print(
            f"  waiting calls {TARGET_DOMAINS * 2 * OBJECT_KINDS};"
            f" own watches: {2000 * OBJECT_KINDS}"
        )
        assert relay_s + fan_out < MAX_CONTROL_BYTES_PER_S
        assert reads < MAX_PLATFORM_READS_PER_S
        assert writes < MAX_PLATFORM_WRITES_PER_S

    async def test_calls_when_all_return_from_an_outage(self):
        async with running_fleet(("d1",), 20) as fleet:
            await asyncio.sleep(2)
            fleet.platform.faults.down = True
            fleet.platform.notify_watches()
            await asyncio.sleep(6)
            fleet.platform.faults.down = False
            counts = []
            for _ in range(50):
                before = sum(fleet.platform.calls.values())
                await asyncio.sleep(0.1)
                counts.append(sum(fleet.platform.calls.values()) - before)
        busiest = max(sum(counts[n : n + 10]) for n in range(len(counts) - 10))
        print(f"\nbusiest second of 20 members after an outage: {busiest} calls")
        assert busiest * TARGET_DOMAINS < MAX_PLATFORM_READS_PER_S


class TestRelay:
    def test_processor_time_of_a_beat(self, benchmark):
        names = [f"d01-proxy-{n:03}" for n in range(TARGET_MEMBERS)]
        relay = DomainParticipant(names[0], "i", "tcp://x", now=0.0)
        asked = relay.next_lease_record(0.0, listed=())
        relay.observe(1, asked, 0.0)
        record = _lease_record(TARGET_MEMBERS, asked)
        relay.lease.record = record
        members = [DomainParticipant(name, "i", "tcp://x", now=0.0) for name in names]

        def beat_all():
            for part in members:
                grant = relay.handle_beat(part.beat(), 1.0)
                part.apply_grant(grant, asked_at=1.0, now=1.0, mine=False)

        benchmark.pedantic(beat_all, rounds=20, warmup_rounds=5)
        if benchmark.stats is None:
            return
        share = benchmark.stats["mean"] / beat_interval(TARGET_MEMBERS)
        print(f"\n{TARGET_MEMBERS} beats decided: {share:.2%} of a core")
        assert share < 0.018


async def measure_idle(traffic, members):
    async with running_fleet(("d1",), members) as fleet:
        proxies = fleet.proxies.values()
        await seconds_until(
            lambda: all(len(p.membership.view.members) == members for p in proxies), 20
        )
        await asyncio.sleep(1)
        traffic.clear()
        calls = Counter(fleet.platform.calls)
        await asyncio.sleep(IDLE_SAMPLE_S)
        sent = sum(traffic.bytes.values()) / IDLE_SAMPLE_S
        now = Counter(fleet.platform.calls)
        idle_cost = IdleCost(
            reads=(now["GET"] - calls["GET"]) / IDLE_SAMPLE_S,
            writes=(now["PUT"] - calls["PUT"]) / IDLE_SAMPLE_S,
            watching=sum(p.distribution.is_watching for p in proxies),
            relay_bytes=sent,
            member_bytes=sent / max(1, members - 1),
            beat_bytes=traffic.mean("Heartbeat", "Granted"),
        )
        traffic.clear()
        calls = Counter(fleet.platform.calls)
        await set_row(fleet.client, ("tala", "register"), {"rate": 7.0})
        await asyncio.sleep(0.5)
        calls = Counter(fleet.platform.calls) - calls
        size = traffic.mean("Changed", "Follow")
        return idle_cost, {
            "calls_in_half_a_second": dict(calls),
            "bytes_a_member": size,
        }


def _lease_record(size, like=None):
    names = tuple(f"d01-proxy-{n:03}" for n in range(size))
    holder, incarnation = names[0], like.incarnation if like else "01234567"
    ttl_s, grant_s = lease_ttl(size), grant_period(size)
    address = "tcp://10.0.0.1:7000"
    return LeaseRecord(holder, incarnation, 1, 1, ttl_s, grant_s, address, names)


def median(values):
    return sorted(values)[len(values) // 2]
