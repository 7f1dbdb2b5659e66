"""Faults of the stand-in for a database server."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..serving.command import Refusal


@dataclass(slots=True)
class ServerFaults:
    """Fault injection settings of a server.

    Attributes:
        drop_answers_to: Command types of the next answers to drop, one per answer.
        refusals: Refusals sent for the next statements instead of running them.
        is_unresponsive: Whether the server reads requests but does not answer them.
        statement_s: Duration of each statement, in seconds.
        resets_statements: Whether the server closes the connection when it gets a
            statement, although it accepts connections.
        failed_part: The part of the statements that fail instead of running, from 0 to
            1.
        max_connections: Maximum number of open connections.
    """

    drop_answers_to: list[type] = field(default_factory=list)
    refusals: list[Refusal] = field(default_factory=list)
    is_unresponsive: bool = False
    statement_s: float = 0.0
    resets_statements: bool = False
    failed_part: float = 0.0
    max_connections: int = 100
