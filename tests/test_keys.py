import msgspec
import pytest

from mangoramp.operators import change as change_module
from mangoramp.operators.keys import (
    give_key,
    list_keys,
    make_signing_key,
    rotate_signing_key,
    withdraw_key,
)

from .operating import platform


@pytest.fixture(autouse=True)
def _short_retry(monkeypatch):
    monkeypatch.setattr(change_module, "RETRY_S", 0.001)


class TestOperatorsKeys:
    @pytest.mark.parametrize("lost", [0, 1, 2])
    async def test_gives_and_withdraws_also_when_answers_are_lost(self, lost):
        async with platform() as (standin, client):
            standin.faults.lose_answers = lost
            given = (await give_key(client, "tala")).unwrap()
            listed = (await list_keys(client, "tala")).unwrap()
            assert [key.key_id for key in listed] == [given.key_id]
            standin.faults.lose_answers = lost
            assert (await withdraw_key(client, given.key_id)).unwrap()
            assert (await list_keys(client)).unwrap() == ()

    async def test_keeps_no_key_on_the_platform(self):
        async with platform() as (standin, client):
            given = (await give_key(client, "tala")).unwrap()
            held = msgspec.json.encode(standin.fetch_changes("key", 0)).decode()
            assert given.key_id in held
            assert given.key not in held
            assert given.key.rsplit("_", 1)[1] not in held

    async def test_keeps_the_newest_signing_keys(self):
        async with platform() as (standin, client):
            for _ in range(3):
                await make_signing_key(client)
            before = [o.name for o in standin.fetch_changes("signing-key", 0).objects]
            gone = (await rotate_signing_key(client, keep=3)).unwrap()
            after = [o.name for o in standin.fetch_changes("signing-key", 0).objects]
            assert gone == (before[0],)
            assert after[:2] == before[1:]
            assert len(after) == 3
