"""What an instance tells of where it would send a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RequestClass(StrEnum):
    """The class of a request."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class Verdict(StrEnum):
    """What would happen to a request now."""

    SENT = "sent"
    WAITS = "waits"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class RouteFacts:
    """The route of the request's database.

    Attributes:
        database: The name of the database.
        group: The group that serves it.
        rule: The consistency guarantee for reads.
        max_age_s: Maximum age of the data of a read in seconds, None for no limit.
        timeout_s: Time limit of a statement in seconds.
        objective_s: Target latency in seconds.
        priority: The priority class, 0 for the most urgent.
    """

    database: str
    group: str
    rule: str
    max_age_s: float | None
    timeout_s: float
    objective_s: float
    priority: int


@dataclass(frozen=True, slots=True)
class HomeFacts:
    """Who holds the customer's connections.

    Attributes:
        is_direct: Whether each instance holds connections of its own, without homes.
        home: The instance that holds the connections, None if none is in reach.
        runners_up: The other homes in the order in which they would follow. If a home
            leaves, an instance that becomes a home may come before them.
    """

    is_direct: bool
    home: str | None
    runners_up: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """One server of the group as a candidate for the request.

    Attributes:
        id: The server's id.
        role: ``primary`` or ``replica``.
        failure_domain: The failure domain it runs in.
        is_chosen: Whether it would get the request.
        reasons: What speaks against it, or for it if it is chosen.
        lag_s: Estimated replication lag in seconds.
        latency_s: Usual latency of a statement in seconds.
        expected_s: Expected time to an answer in seconds, None if it was not compared.
        busy: Statements of this instance in flight.
        slots: Statements that it runs concurrently.
        weight: Its share of the reads, below 1 for an outlier.
        is_evacuated: Whether its failure domain is evacuated.
        limit: The binding limit on requests to it, None if only the customer's home
            knows it.
        limit_reason: The figures of the limit, empty for none.
        waiting: Requests that wait for a connection here.
        answer_age_s: Seconds since its last answer, None if there was none.
    """

    id: str
    role: str
    failure_domain: str
    is_chosen: bool
    reasons: tuple[str, ...]
    lag_s: float
    latency_s: float
    expected_s: float | None
    busy: int
    slots: int
    weight: float
    is_evacuated: bool
    limit: str | None
    limit_reason: str
    waiting: int
    answer_age_s: float | None


@dataclass(frozen=True, slots=True)
class QueueFacts:
    """The place in the queue for a connection; kept by the home.

    Attributes:
        ahead: Requests that would be served before.
        wait_s: Expected wait in seconds.
    """

    ahead: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why the request would be rejected.

    Attributes:
        code: The code that its caller would get.
        step: The step that rejects it.
        reason: The reason in words.
        retry_after_s: Seconds after which to retry, without jitter; None for never.
    """

    code: str
    step: str
    reason: str
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class Age:
    """The age of one piece of information.

    Attributes:
        name: What the information is.
        age_s: Its age in seconds, None if there is none.
    """

    name: str
    age_s: float | None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now, and why.

    Attributes:
        instance: The instance that answers.
        accepts_callers: Whether it accepts new callers.
        version: The version of its configuration.
        customer: The customer.
        request_class: The class of the request.
        route: The route.
        home: Who holds the customer's connections.
        verdict: What would happen to the request.
        server: The id of the server that would get it, None if there is none.
        candidates: The servers of the group.
        queue: The place in the queue, None if another instance keeps the queue.
        rejection: Why it would be rejected, None if it would not.
        ages: The ages of the information used.
    """

    instance: str
    accepts_callers: bool
    version: int
    customer: str
    request_class: str
    route: RouteFacts
    home: HomeFacts
    verdict: str
    server: str | None
    candidates: tuple[ServerFacts, ...]
    queue: QueueFacts | None
    rejection: Rejection | None
    ages: tuple[Age, ...]
