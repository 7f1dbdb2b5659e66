"""What a batch of commands asks of a server's capacity."""

from __future__ import annotations

from dataclasses import dataclass

from .command import Command, CommitFor, OpenTransaction, RollBack, RunFor

_COUNTED = (OpenTransaction, RunFor, CommitFor)


@dataclass(frozen=True, slots=True)
class Workload:
    """What a batch asks of a server's capacity.

    Attributes:
        requests: Requests that count against the limit of a cold server.
        opens_transaction: Whether the connection stays in a transaction afterwards.
    """

    requests: int = 1
    opens_transaction: bool = False


ONE_REQUEST = Workload()


def workload_of(commands: tuple[Command, ...]) -> Workload:
    """Return what a batch asks of a server's capacity."""
    opens = any(isinstance(c, OpenTransaction) for c in commands)
    ends = any(isinstance(c, CommitFor | RollBack) for c in commands)
    return Workload(count_requests(commands), opens and not ends)


def count_requests(commands: tuple[Command, ...]) -> int:
    """Return how many commands count as requests: statements, begins and commits."""
    return sum(isinstance(command, _COUNTED) for command in commands)
