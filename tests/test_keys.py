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

from .operating import platform_standin


@pytest.fixture(autouse=True)
def _short_retry_delay(monkeypatch):
    monkeypatch.setattr(change_module, "RETRY_DELAY_S", 0.001)


class TestOperatorsKeys:
    @pytest.mark.parametrize("lost_answers", [0, 1, 2])
    async def test_gives_and_withdraws_also_when_answers_are_lost(self, lost_answers):
        async with platform_standin() as (standin, client):
            standin.faults.lose_answers = lost_answers
            new_key = (await give_key(client, "tala")).unwrap()
            listed = (await list_keys(client, "tala")).unwrap()
            assert [key.key_id for key in listed] == [new_key.key_id]
            standin.faults.lose_answers = lost_answers
            assert (await withdraw_key(client, new_key.key_id)).unwrap()
            assert (await list_keys(client)).unwrap() == ()

    async def test_keeps_no_key_on_the_platform(self):
        async with platform_standin() as (standin, client):
            new_key = (await give_key(client, "tala")).unwrap()
            stored = msgspec.json.encode(standin.fetch_changes("key", 0)).decode()
            assert new_key.key_id in stored
            assert new_key.key not in stored
            assert new_key.key.rsplit("_", 1)[1] not in stored

    async def test_keeps_the_newest_signing_keys(self):
        async with platform_standin() as (standin, client):
            for _ in range(3):
                await make_signing_key(client)
            before = [o.name for o in standin.fetch_changes("signing-key", 0).objects]
            withdrawn = (await rotate_signing_key(client, keep=3)).unwrap()
            after = [o.name for o in standin.fetch_changes("signing-key", 0).objects]
            assert withdrawn == (before[0],)
            assert after[:2] == before[1:]
            assert len(after) == 3
