"""Faults that the soak test injects; each gets the run and ends what it began."""

import asyncio
import signal

from mangoramp.serving.command import CommitFor, Refusal, RunFor

from .wire_world import SERVERS

ZONES = {server_id: f"zone-i{n}" for n, server_id in enumerate(SERVERS)}


async def kill(soak):
    process = soak.pick_process()
    process.kill()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
    process.start()


async def kill_all(soak):
    for process in soak.processes:
        process.kill()
    await asyncio.sleep(0.3)
    for process in soak.processes:
        if not process.is_running:
            process.start()


async def stop(soak):
    process = soak.pick_process()
    process.send_signal(signal.SIGTERM)
    await process.wait_ended()
    process.start()


async def send_sighup(soak):
    soak.pick_process().send_signal(signal.SIGHUP)


async def pause(soak):
    process = soak.pick_process()
    process.send_signal(signal.SIGSTOP)
    soak.paused.append(process)
    await asyncio.sleep(soak.rng.uniform(0.2, 3.0))
    process.send_signal(signal.SIGCONT)
    soak.paused.remove(process)


async def crash_server(soak):
    server = soak.pick_server()
    server.crash()
    await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
    server.restart()


async def stall_server(soak):
    server = soak.pick_server()
    server.faults.is_unresponsive = True
    await asyncio.sleep(soak.rng.uniform(0.2, 2.0))
    server.faults.is_unresponsive = False


async def drop_answers(soak):
    kinds = soak.rng.choices((RunFor, CommitFor), k=4)
    soak.group.servers[soak.group.primary].faults.drop_answers_to.extend(kinds)


async def refuse(soak):
    refusals = soak.rng.choices((Refusal.BUSY, Refusal.FAILED, Refusal.TIMEOUT), k=4)
    soak.pick_server().faults.refusals.extend(refusals)


async def pause_replication(soak):
    server = soak.pick_server()
    if server.is_primary:
        return
    server.is_replication_paused = True
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    server.is_replication_paused = False
    server.applied = len(soak.group.log)


async def slow_down_server(soak):
    server = soak.pick_server()
    server.faults.statement_s = 0.1
    await asyncio.sleep(1.5)
    server.faults.statement_s = 0.0


async def answer_badly(soak):
    """Fail a part of a server's statements, or reset the connection at each of them."""
    server = soak.pick_server()
    if soak.rng.random() < 0.5:
        server.faults.failed_part = soak.rng.uniform(0.2, 0.9)
    else:
        server.faults.resets_statements = True
    await asyncio.sleep(soak.rng.uniform(1.0, 4.0))
    server.faults.failed_part = 0.0
    server.faults.resets_statements = False


async def restart_cold(soak):
    await soak.restart_cold(soak.pick_server(), soak.rng.uniform(0.2, 1.5))


async def drain_primary(soak):
    leader = soak.group.primary
    soak.list_server(leader, state="draining")
    await asyncio.sleep(2.0)
    soak.list_server(leader)


async def reset_connections(soak):
    soak.pick_relay().reset_connections()


async def drop_data(soak):
    relay = soak.pick_relay()
    relay.dropped_directions = set(
        soak.rng.choice((("out",), ("back",), ("out", "back")))
    )
    await asyncio.sleep(soak.rng.uniform(0.3, 2.5))
    relay.dropped_directions = set()


async def delay(soak):
    relay = soak.pick_relay()
    relay.delay_s = soak.rng.uniform(0.01, 0.3)
    await asyncio.sleep(1.5)
    relay.delay_s = 0.0


async def stop_store(soak):
    soak.platform.faults.down = True
    soak.platform.notify_watches()
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    soak.platform.faults.down = False


async def expire_store_history(soak):
    soak.platform.faults.forget = 10**9
    soak.platform.notify_watches()
    await asyncio.sleep(0.5)
    soak.platform.faults.forget = 0


async def restore_store(soak):
    copy = soak.platform.take_copy()
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    soak.platform.faults.down = True
    soak.platform.notify_watches()
    await asyncio.sleep(soak.rng.uniform(0.0, 0.5))
    soak.platform.restore(copy)
    soak.platform.faults.down = False
    # The operators and the servers write again what they wrote before.
    await asyncio.sleep(soak.rng.uniform(0.0, 1.0))
    soak.configure()
    for server_id in SERVERS:
        soak.list_server(server_id)
    for zone in ZONES.values():
        soak.set_evacuated(zone, zone in soak.evacuated)


async def evacuate(soak):
    zone = ZONES[soak.rng.choice(SERVERS)]
    if zone in soak.evacuated:
        return
    soak.set_evacuated(zone, True)
    await asyncio.sleep(soak.rng.uniform(0.1, 4.0))
    soak.set_evacuated(zone, False)


async def drop_store_answers(soak):
    soak.platform.faults.lose_answers += 3


async def configure(soak):
    soak.configure()


FAULTS = (
    kill,
    kill_all,
    stop,
    send_sighup,
    pause,
    crash_server,
    stall_server,
    drop_answers,
    refuse,
    pause_replication,
    slow_down_server,
    answer_badly,
    restart_cold,
    drain_primary,
    reset_connections,
    drop_data,
    delay,
    stop_store,
    expire_store_history,
    restore_store,
    drop_store_answers,
    configure,
    evacuate,
)
