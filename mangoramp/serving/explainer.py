"""Explains where an instance would send a request, without sending it.

Each step asks the decisions of the path of a real request in the same order, through
their forms that change nothing (``predict_...``, ``would_...``, ``find_...``).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..control.deployment import ReadRule, Route
from ..control.group import CapacityState, GroupState, Limit, Server
from ..errors import Code, Fault, FaultError, Step
from ..policy.placement import Replica, expected_s, likely_shows
from ..sessions.session import Session
from .executor import Executor, out_of_reach_error
from .explanation import (
    Age,
    Explanation,
    HomeFacts,
    QueueFacts,
    Rejection,
    RequestClass,
    RouteFacts,
    ServerFacts,
    Verdict,
)
from .gateway import Gateway
from .homes import Homes
from .operation import Operation, Ticket, over_rate_error, refused_error
from .pool import ServerPool, Urgency
from .replica_choice import ReplicaPrediction

REQUEST_ID = "where"  # for the operation that is never sent


@dataclass(slots=True)
class _Path:
    """How far a request gets on its way.

    Attributes:
        order: The customer's home and runners-up, empty if there are none.
        choice: The choice of a replica.
        primary_reason: Why only the primary may get it, if so.
        server: The server that would get it.
        queue: Its place in the queue.
        verdict: What would happen.
        fault: The fault that ends it.
    """

    order: list[str]
    choice: ReplicaPrediction
    primary_reason: str = "only the primary can run this"
    server: Server | None = None
    queue: QueueFacts | None = None
    verdict: Verdict = Verdict.SENT
    fault: Fault | None = None


class Explainer:
    """Explains where this instance would send a request.

    Args:
        gateway: Finds routes, and holds the reader.
        executor: Finds the primary, and knows the servers.
        homes: Knows the homes of customers' connections.
        rate_wait_s: Returns the seconds for which a customer's limits would delay an
            operation, 0 if they allow it.
        is_ready: Returns whether this instance accepts new callers.
    """

    def __init__(
        self,
        gateway: Gateway,
        executor: Executor,
        homes: Homes,
        *,
        rate_wait_s: Callable[[str], float],
        is_ready: Callable[[], bool],
    ) -> None:
        self._gateway = gateway
        self._executor = executor
        self._servers = executor.servers
        self._homes = homes
        self._rate_wait_s = rate_wait_s
        self._is_ready = is_ready

    def explain_named(
        self, database: str, customer: str, class_name: str
    ) -> Result[Explanation, Fault]:
        """Explain where a request would go, given the name of its class."""
        try:
            request_class = RequestClass(class_name)
        except ValueError:
            message = f"the class is one of {', '.join(RequestClass)}"
            return Failure(Fault(Code.BAD_REQUEST, message, Step.PARSE))
        return self.explain(database, customer, request_class)

    def explain(
        self, database: str, customer: str, request_class: RequestClass
    ) -> Result[Explanation, Fault]:
        """Explain where a request would go; fails if its route or customer is unknown.

        Args:
            database: The name of the database.
            customer: The customer's name.
            request_class: The class of the request.
        """
        resolved = self._gateway.resolve_customer(database, customer)
        if not isinstance(resolved, Success):
            return Failure(resolved.failure())
        route = resolved.unwrap()
        now = self._executor.clock()
        session, ticket = Session(database, ""), Ticket(REQUEST_ID)
        op = Operation(REQUEST_ID, customer, route, now, now, session, ticket)
        path = self._follow(op, request_class)
        return Success(self._describe(op, path, request_class))

    def _follow(self, op: Operation, request_class: RequestClass) -> _Path:
        is_read = request_class is RequestClass.READ
        choice = self._gateway.reader.predict(op) if is_read else ReplicaPrediction()
        path = _Path(self._homes.predict_order(op.customer), choice)
        if is_read and op.route.rule is not ReadRule.PRIMARY:
            path.primary_reason = "no position of the primary proves the data's age"
        group = self._servers.groups.get(op.route.group)
        try:
            if self._homes.is_direct:
                self._check_rate(op)
            path.server = choice.chosen
            if path.server is None and group is not None:
                path.server = self._executor.predict_primary(op, group)
            if path.server is None:
                path.verdict = Verdict.WAITS
            else:
                self._acquire(op, path.server, path, request_class)
        except FaultError as exc:
            path.verdict, path.fault = Verdict.REJECTED, exc.fault
        return path

    def _check_rate(self, op: Operation) -> None:
        wait_s = self._rate_wait_s(op.customer)
        if wait_s > 0:
            raise over_rate_error(wait_s)

    def _acquire(
        self, op: Operation, server: Server, path: _Path, request_class: RequestClass
    ) -> None:
        """Follow the request to a connection, as :meth:`Executor.acquire` does."""
        if not self._homes.is_direct:
            if not path.order:
                raise out_of_reach_error(server)
            home = path.order[0]
            if home != self._homes.name:
                fault = self._executor.admission.predict_backlog(op, server, home)
                if fault is not None:
                    raise FaultError(fault)
                return
            self._check_rate(op)
        pool = self._servers.find_pool(server)
        if pool is None:
            path.queue = QueueFacts(0, 0.0)
            return
        self._queue(op, server, pool, path, request_class)

    def _queue(
        self,
        op: Operation,
        server: Server,
        pool: ServerPool,
        path: _Path,
        request_class: RequestClass,
    ) -> None:
        """Follow the request through the queue for a connection at this instance."""
        left_s = op.route.timeout_s - server.latency_s
        urgency = Urgency(op.route.priority, op.route.objective_s, left_s)
        # A read at the primary runs in a transaction, whose begin counts as well.
        is_read = request_class is RequestClass.READ
        requests = 2 if is_read and server is not path.choice.chosen else 1
        ahead, wait_s = pool.predict_wait(op.customer, urgency, requests)
        path.queue = QueueFacts(ahead, wait_s)
        # A read leaves a replica that is late for another server.
        if wait_s > left_s and server is not path.choice.chosen:
            raise refused_error(
                Code.OVERLOADED,
                f"{ahead} requests are ahead of it at the server, the wait is "
                f"{wait_s:.2f} s",
                Step.QUEUE,
                peer=server.id,
                retry_after_s=wait_s,
            )
        limit = pool.predict_capacity().limit
        is_held = limit is not Limit.NONE and (
            limit is not Limit.PINNED or request_class is RequestClass.TRANSACTION
        )
        if ahead or is_held:
            path.verdict = Verdict.WAITS

    def _describe(
        self, op: Operation, path: _Path, request_class: RequestClass
    ) -> Explanation:
        group = self._servers.groups.get(op.route.group)
        fault = path.fault
        return Explanation(
            instance=self._homes.name,
            accepts_callers=self._is_ready(),
            version=self._gateway.version,
            customer=op.customer,
            request_class=request_class.value,
            route=_route_facts(op.route),
            home=self._home_facts(path),
            verdict=path.verdict.value,
            server=path.server.id if path.server is not None else None,
            candidates=tuple(self._candidates(group, path)) if group else (),
            queue=path.queue,
            rejection=_rejection(fault) if fault is not None else None,
            ages=tuple(self._ages(group, path)),
        )

    def _home_facts(self, path: _Path) -> HomeFacts:
        if self._homes.is_direct:
            return HomeFacts(True, self._homes.name, ())
        home = path.order[0] if path.order else None
        return HomeFacts(False, home, tuple(path.order[1:]))

    def _candidates(self, group: GroupState, path: _Path) -> Iterator[ServerFacts]:
        now = self._executor.clock()
        primary = group.find_primary(now)
        compared = {r.id: r for r in path.choice.candidates}
        for server in group.servers.values():
            replica = compared.get(server.id)
            pool = self._servers.find_pool(server)
            state = self._limit_of(server, path)
            weight = group.outliers.weight(server.id) if group.outliers else 1.0
            yield ServerFacts(
                id=server.id,
                role="primary" if server is primary else "replica",
                failure_domain=server.endpoint.failure_domain,
                is_chosen=server is path.server,
                reasons=tuple(_reasons(server, replica, path, primary, now, weight)),
                lag_s=0.0 if server is primary else server.lag_s,
                latency_s=server.latency_s,
                expected_s=expected_s(replica)[0] if replica is not None else None,
                busy=server.busy,
                slots=server.endpoint.slots,
                weight=weight,
                is_evacuated=server.is_evacuated,
                limit=state.limit.value if state is not None else None,
                limit_reason=state.reason if state is not None else "",
                waiting=pool.waiting if pool is not None else 0,
                answer_age_s=_age(server.last_answer_at, now),
            )

    def _limit_of(self, server: Server, path: _Path) -> CapacityState | None:
        """Return the binding limit, None if only the customer's home knows it."""
        if self._homes.is_direct or path.order[:1] == [self._homes.name]:
            return server.predict_capacity()
        return server.own_state()

    def _ages(self, group: GroupState | None, path: _Path) -> Iterator[Age]:
        now = self._executor.clock()
        sample = group.samples.latest if group is not None else None
        asked_at = sample.asked_at if sample is not None else -math.inf
        yield Age("position of the primary", _age(asked_at, now))
        if path.choice.need is not None:
            yield Age("position that a replica must show", path.choice.need.age_s)
        if self._homes.is_direct or not path.order:
            return
        yield Age("choice of the homes", _age(self._homes.chosen_at, now))
        home = path.order[0]
        if home == self._homes.name:
            return
        yield Age(f"last message of {home}", _age(self._homes.heard_at(home), now))
        if path.server is not None:
            age_s = self._executor.admission.backlog_age_s(home, path.server)
            yield Age(f"backlog reported by {home}", age_s)


def _reasons(
    server: Server,
    replica: Replica | None,
    path: _Path,
    primary: Server | None,
    now: float,
    weight: float,
) -> Iterator[str]:
    """Return why a server is or is not chosen."""
    yield from _state_reasons(server, now, weight)
    need = path.choice.need
    if server is path.server:
        if server is not primary:
            yield "it is expected to answer first"
        elif need is None:
            yield path.primary_reason
        else:
            yield "no replica may get the read"
    elif server is primary:
        yield "a replica can run this" if path.choice.chosen else "not usable"
    elif replica is None or need is None:
        yield "not compared" if need else path.primary_reason
    elif not likely_shows(replica, need.position, need.age_s):
        yield f"it has probably not applied what is {need.age_s:.3f} s old"
    elif path.server is not None and not replica.is_suspect:
        yield f"expected to answer after {path.server.id}"


def _state_reasons(server: Server, now: float, weight: float) -> Iterator[str]:
    reasons = (
        (server.is_evacuated, "its failure domain is evacuated"),
        (server.endpoint.is_draining, "it is being drained"),
        (server.unlisted_at is not None, "it is not in the registry any more"),
        (now < server.retry_at, f"it failed {server.failures} times in a row"),
        (now < server.full_until, "its limits left no room"),
        (weight < 1.0, f"an outlier, it gets {weight:g} of its reads"),
    )
    yield from (text for applies, text in reasons if applies)


def _route_facts(route: Route) -> RouteFacts:
    return RouteFacts(
        route.database,
        route.group,
        route.rule.value,
        route.max_age_s if math.isfinite(route.max_age_s) else None,
        route.timeout_s,
        route.objective_s,
        route.priority,
    )


def _rejection(fault: Fault) -> Rejection:
    return Rejection(
        fault.code.value, fault.step.value, fault.message, fault.retry_after_s
    )


def _age(at: float, now: float) -> float | None:
    return now - at if math.isfinite(at) else None
