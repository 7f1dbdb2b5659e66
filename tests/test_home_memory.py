import asyncio

from mangoramp.serving.batches import BatchNotSent, BatchOverRate, BatchRun, RunBatch
from mangoramp.serving.command import RunFor
from mangoramp.serving.home_batches import COPIES, HomeBatches
from mangoramp.serving.memory import Memory
from mangoramp.sessions.statement import Execute, Write

SIZE = 1_000_000
BATCHES = 60
ROOM = 5  # batches that the memory holds at once


class Home(HomeBatches):
    """A home whose servers take their time, and that counts what it holds."""

    def __init__(self, *, wait_s=0.0):
        self.running = 0
        self.most = 0
        self.charged = []
        loop = asyncio.get_running_loop()
        self.memory = Memory(ROOM * COPIES * SIZE, loop.time)

        def admit(customer, request_id):
            self.charged.append(request_id)
            return wait_s

        servers = type("NoServers", (), {"clock": staticmethod(loop.time)})
        super().__init__(
            servers,
            admit=admit,
            admission=None,
            memory=self.memory,
            may_hedge=None,
            find_detour=None,
        )

    async def _run(self, message):
        self.running += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(0.05)
        self.running -= 1
        return BatchRun(answers=())


def batch(number, statement):
    return RunBatch(
        server="s",
        group="g",
        customer="c",
        values=None,
        shapes={},
        commands=(RunFor(f"q{number}", statement),),
        timeout_s=1.0,
        wait_s=1.0,
        due_s=1.0,
        ticket=f"q{number}",
    )


def large(number):
    return batch(number, Write("x" * SIZE))


class TestLargeStatements:
    async def test_from_many_instances_stay_within_the_memory(self):
        """Guards against a home that is killed since many instances send it 1 MB."""
        home = Home()
        answers = await asyncio.gather(*(home.answer(large(n)) for n in range(BATCHES)))
        refused = [a for a in answers if isinstance(a, BatchNotSent)]
        assert home.most == ROOM
        assert len(refused) == BATCHES - ROOM
        assert all(a.wait_s > 0 for a in refused)
        assert home.memory.budget.held == 0

    async def test_are_charged_before_they_are_refused(self):
        """Guards against a statement sent again that no limit has counted."""
        home = Home()
        await asyncio.gather(*(home.answer(large(n)) for n in range(BATCHES)))
        assert len(home.charged) == BATCHES
        over = Home(wait_s=1.0)
        assert isinstance(await over.answer(large(1)), BatchOverRate)
        assert over.memory.budget.held == 0

    async def test_do_not_hold_up_small_ones(self):
        home = Home()
        running = asyncio.gather(*(home.answer(large(n)) for n in range(BATCHES)))
        small = await home.answer(batch(1, Execute("p", "a")))
        assert isinstance(small, BatchRun)
        await running
