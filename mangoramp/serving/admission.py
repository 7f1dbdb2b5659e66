"""Rejects statements at the door that cannot be served in time, and counts them."""

from __future__ import annotations

import copy
import math
import random
from collections import defaultdict
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter

from ..control.group import GroupState, Server
from ..errors import Code, Fault, FaultError, Step
from ..events import ADMISSION_REJECTED, emit
from ..policy.admission import (
    INITIAL_VACANCY_S,
    Backlog,
    OutageEstimate,
    ProbeCounter,
    retry_after_s,
)
from ..policy.revision import NO_REVISION
from .batches import BatchMessage, BatchNotSent, BatchRun, LoadHint, RunBatch
from .operation import Operation

if TYPE_CHECKING:
    from .servers import Servers

HINT_TTL_S = 0.02  # a home answers hundreds of batches per second
MIN_FAILURES = 2  # in a row; a single one is often only a lost connection
MIN_SILENCE_S = 0.25  # a server that resets its connections is back sooner


_NO_BACKLOG = Backlog()


class AdmissionControl:
    """Estimates which statements cannot be served before their deadline.

    Args:
        servers: The known servers and their pools.
        is_enabled: Whether statements are rejected and waits reported; otherwise the
            methods have no effect.
        rng: Source of the jitter of retry times.
        registry: The Prometheus registry for the counter of rejections, None for none.
    """

    def __init__(
        self,
        servers: Servers,
        *,
        is_enabled: bool = False,
        rng: random.Random | None = None,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self.is_enabled = is_enabled
        self._servers = servers
        self._rng = rng or random.Random()
        self._silences: defaultdict[str, OutageEstimate] = defaultdict(OutageEstimate)
        self._vacancies: defaultdict[str, OutageEstimate] = defaultdict(
            lambda: OutageEstimate(INITIAL_VACANCY_S)
        )
        self._reported_silences: dict[str, float] = {}
        self._backlogs: defaultdict[tuple[str, str], Backlog] = defaultdict(Backlog)
        self._hints: dict[str, tuple[float, LoadHint]] = {}
        self._probes = ProbeCounter()
        self._rejections = Counter(
            "mangoramp_admission_rejections",
            "Statements rejected since they could not be served in time",
            ("reason", "priority"),
            registry=registry,
        )

    def check_outage(self, op: Operation, group: GroupState) -> None:
        """Reject a statement if the outage of its primary outlasts its time.

        Args:
            op: The operation, which needs the primary.
            group: Its group, whose primary is not usable now.

        Raises:
            FaultError: The operation is rejected and has not run.
        """
        if not self.is_enabled:
            return
        now = self._servers.clock()
        remaining_s = self._observe(group, now).remaining_s(now)
        if remaining_s <= op.deadline - now:
            return
        retry_s = self._reject(op, "outage", group.name, remaining_s)
        raise FaultError(_outage_fault(group, remaining_s, retry_s))

    def predict_outage(self, op: Operation, group: GroupState) -> Fault | None:
        """Return the fault that :meth:`check_outage` would raise, without any effect.

        Its retry time has no jitter.
        """
        if not self.is_enabled:
            return None
        now = self._servers.clock()
        silence = copy.deepcopy(self._silences.get(group.name, OutageEstimate()))
        no_vacancy = OutageEstimate(INITIAL_VACANCY_S)
        vacancy = copy.deepcopy(self._vacancies.get(group.name, no_vacancy))
        self._record_state(group, group.find_primary(now), silence, vacancy, now)
        estimate = vacancy if silence.began_at is None else silence
        remaining_s = estimate.remaining_s(now)
        if remaining_s <= op.deadline - now:
            return None
        return _outage_fault(group, remaining_s, remaining_s)

    def check_backlog(self, op: Operation, server: Server, home: str) -> None:
        """Reject a statement if the backlog that its home reported outlasts its time.

        One in eight is admitted all the same, so that the backlog is reported again.

        Args:
            op: The operation.
            server: The server that is to run it.
            home: The home of its customer's connections.

        Raises:
            FaultError: The operation is rejected and has not run.
        """
        if not self.is_enabled:
            return
        group = self._servers.group(op.route.group)
        is_primary = server is group.primary(self._servers.clock())
        wait_s = self._late_backlog_s(op, server, home, group, is_primary)
        if wait_s is None or self._probes.is_probe():
            return
        retry_s = self._reject(op, "backlog", server.id, wait_s)
        raise FaultError(_backlog_fault(server, wait_s, retry_s))

    def predict_backlog(self, op: Operation, server: Server, home: str) -> Fault | None:
        """Return the fault that :meth:`check_backlog` would raise, without any effect.

        Its retry time has no jitter.
        """
        group = self._servers.groups.get(op.route.group)
        if not self.is_enabled or group is None:
            return None
        is_primary = server is group.find_primary(self._servers.clock())
        wait_s = self._late_backlog_s(op, server, home, group, is_primary)
        if wait_s is None or self._probes.is_next_probe:
            return None
        return _backlog_fault(server, wait_s, wait_s)

    def backlog_age_s(self, home: str, server: Server) -> float | None:
        """Return the age of a home's last report on a server in seconds, None if none.

        Args:
            home: The home.
            server: The server.
        """
        backlog = self._backlogs.get((home, server.id))
        if backlog is None:
            return None
        return self._servers.clock() - backlog.reported_at

    def _late_backlog_s(
        self,
        op: Operation,
        server: Server,
        home: str,
        group: GroupState,
        is_primary: bool,
    ) -> float | None:
        """Return the wait at a home in seconds, None if an operation has the time."""
        now = self._servers.clock()
        # A read that found a replica may also find another one or the primary.
        choices = (server,) if is_primary else tuple(group.servers.values())
        backlogs = (self._backlogs.get((home, s.id), _NO_BACKLOG) for s in choices)
        wait_s = min(b.wait_s(op.route.priority, now) for b in backlogs)
        left = op.deadline - now - server.latency_s
        return wait_s if wait_s > max(0.0, left) else None

    def record_late(
        self, op: Operation, server: Server, detail: str, wait_s: float
    ) -> float:
        """Record that a queue rejected an operation; return when to retry, in seconds.

        Args:
            op: The operation.
            server: The server that it waited for.
            detail: The reason that the queue gave, with the backlog.
            wait_s: Expected seconds until the server could have run it.
        """
        if not self.is_enabled:
            return wait_s
        return self._reject(op, "queue", server.id, wait_s, detail)

    def observe_groups(self) -> None:
        """Record the state of all primaries, also of groups without statements."""
        if not self.is_enabled:
            return
        now = self._servers.clock()
        for group in self._servers.groups.values():
            if group.servers:
                self._observe(group, now)
        known = {s for g in self._servers.groups.values() for s in g.servers}
        for key in [key for key in self._backlogs if key[1] not in known]:
            del self._backlogs[key]

    def hint(self, group: str) -> LoadHint | None:
        """Return this instance's load at a group's servers, None if not enabled."""
        if not self.is_enabled:
            return None
        now = self._servers.clock()
        made_at, hint = self._hints.get(group, (-math.inf, LoadHint()))
        if now - made_at >= HINT_TTL_S:
            hint = self._make_hint(group, now)
            self._hints[group] = (now, hint)
        return hint

    def _make_hint(self, group: str, now: float) -> LoadHint:
        self._observe(self._servers.group(group), now)
        began_at = self._silences[group].began_at
        waiting = (
            (pool.server.id, pool.waits_by_class())
            for pool in self._servers.pools()
            if pool.server.endpoint.group == group
        )
        return LoadHint(
            waits={server_id: waits for server_id, waits in waiting if waits},
            silent_s=None if began_at is None else now - began_at,
        )

    def record_hint(
        self, home: str, message: object, answer: BatchMessage, asked_at: float
    ) -> None:
        """Record the load that a home reported.

        Args:
            home: The home.
            message: The request.
            answer: The home's answer.
            asked_at: When the request was sent, in seconds. The report was made at most
                ``HINT_TTL_S`` earlier, so the waits have shrunk by no more than the
                time since then.
        """
        if not self.is_enabled or not isinstance(message, RunBatch):
            return
        if not isinstance(answer, BatchRun | BatchNotSent) or answer.load is None:
            return
        load = answer.load
        for server_id in self._servers.group(message.group).servers:
            waits = load.waits.get(server_id, ())
            self._backlogs[home, server_id].record(waits, asked_at - HINT_TTL_S)
        if load.silent_s is not None:
            self._reported_silences[message.group] = (
                asked_at - HINT_TTL_S - load.silent_s
            )

    def _observe(self, group: GroupState, now: float) -> OutageEstimate:
        silence, vacancy = self._silences[group.name], self._vacancies[group.name]
        primary = group.primary(now)
        self._record_state(group, primary, silence, vacancy, now)
        if primary is not None and primary.failing_since is None:
            self._reported_silences.pop(group.name, None)
        return vacancy if silence.began_at is None else silence

    def _record_state(
        self,
        group: GroupState,
        primary: Server | None,
        silence: OutageEstimate,
        vacancy: OutageEstimate,
        now: float,
    ) -> None:
        """Record the state of a group's primary in estimates."""
        if primary is None:
            # A primary that has just declined its role has a successor already.
            has_declined = any(
                s.primary_since != NO_REVISION for s in group.servers.values()
            )
            if silence.began_at is None and not has_declined:
                vacancy.record_down(now)
        elif primary.failing_since is None:
            silence.record_up(now)
            vacancy.record_up(now)
        elif (
            primary.failures >= MIN_FAILURES
            and now - primary.failing_since >= MIN_SILENCE_S
        ):
            # The home has noticed the silence before an instance without traffic.
            reported_at = self._reported_silences.get(group.name, now)
            silence.record_down(min(primary.failing_since, reported_at))

    def _reject(
        self, op: Operation, reason: str, peer: str, ahead_s: float, detail: str = ""
    ) -> float:
        retry_s = retry_after_s(ahead_s, self._rng)
        priority = op.route.priority
        self._rejections.labels(reason, priority).inc()
        emit(
            ADMISSION_REJECTED,
            id=op.request_id,
            customer=op.customer,
            priority=priority,
            reason=reason,
            peer=peer,
            detail=detail,
            wait_s=round(ahead_s, 3),
            left_s=round(op.deadline - self._servers.clock(), 3),
            retry_after_s=round(retry_s, 3),
        )
        return retry_s


def _outage_fault(group: GroupState, remaining_s: float, retry_s: float) -> Fault:
    message = f"the primary is expected back in {remaining_s:.1f} s"
    return Fault(
        Code.NO_SERVER, message, Step.ROUTE, peer=group.name, retry_after_s=retry_s
    )


def _backlog_fault(server: Server, wait_s: float, retry_s: float) -> Fault:
    message = f"statements that are ahead of it take {wait_s:.2f} s"
    return Fault(
        Code.OVERLOADED, message, Step.QUEUE, peer=server.id, retry_after_s=retry_s
    )
