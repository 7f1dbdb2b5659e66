"""Homes of customers' connections: selects a home and serves requests as a home."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from returns.result import Result, Success

from ..control.settings import DEFAULT_MEMORY_BYTES
from ..errors import Fault
from ..events import HOME_SUSPECTED, HOMES_CHANGED, emit
from ..policy.cold_limit import Holders
from ..policy.detours import Detours, choose_detour
from ..policy.homes import (
    Candidate,
    CustomerHomes,
    choose_homes,
    connections_of_home,
    connections_per_holder,
    is_direct,
    max_homes,
)
from ..policy.position import Position
from ..proxies.links import Links
from .admission import AdmissionControl
from .batches import (
    BatchMessage,
    BatchNotSent,
    BatchRun,
    DropPinned,
    RunBatch,
)
from .home_batches import HomeBatches
from .memory import Memory
from .servers import Servers

MIN_SUSPECT_S = 0.5  # long enough to reconnect a link
MAX_SUSPECT_S = 10.0  # an instance silent for longer counts as out of touch anyway
MAX_UNANSWERED_CALLS = 2  # in a row, before the link is reconnected
HOMES_REFRESH_S = 0.1  # a leaving home announces it or becomes suspect in the meantime
MAX_SAMPLE_AGE_S = 2.0  # older samples rarely serve reads of data seconds old
COLD_RETRY_S = 0.25  # a cold server has room for a few requests in each second


class Homes:
    """Selects the homes of customers' connections and calls them.

    Args:
        name: The name of this instance.
        servers: The known servers and their pools.
        instances: Returns the instances that are in touch and not leaving by name,
            always including this one.
        admit: Charges an operation, given its customer and the id of its first
            statement, to the customer's limits; returns the seconds to wait if the
            operation exceeds them, else 0.
        links: The links to other instances.
        heard_at: Returns when a message from an instance was last received, in seconds.
        has_majority: Returns whether most of the instances are in touch.
        admission: Rejects what cannot be served in time, None for no such control.
        memory: The memory for large statements of other instances, None for the
            default.
        may_hedge: Returns whether a customer's limits allow a hedged read.
        primary_heard_s: Returns the seconds since a server, given its group and id,
            answered other instances as primary, by instance.

    Attributes:
        batches: Runs the batches of other instances while this one is a home.
    """

    def __init__(
        self,
        name: str,
        servers: Servers,
        *,
        instances: Callable[[], dict[str, Candidate]],
        admit: Callable[[str, str], float],
        links: Links,
        heard_at: Callable[[str], float],
        has_majority: Callable[[], bool] = lambda: True,
        admission: AdmissionControl | None = None,
        memory: Memory | None = None,
        may_hedge: Callable[[str], bool] = lambda customer: True,
        primary_heard_s: Callable[[str, str], Mapping[str, float]] = (
            lambda group, server_id: {}
        ),
    ) -> None:
        self._name = name
        self._servers = servers
        self._clock = servers.clock
        self._instances = instances
        self._links = links
        self._heard_at = heard_at
        self._has_majority = has_majority
        self._admission = admission or AdmissionControl(servers)
        self._primary_heard_s = primary_heard_s
        self._detours = Detours()
        self._suspected_at: dict[str, float] = {}
        self._unanswered_calls: dict[str, int] = {}
        self._chosen: dict[str, int] = {}
        self._rates: Mapping[str, float | None] = {}
        self._customer_homes = CustomerHomes({}, {})
        self._live_homes: CustomerHomes | None = None
        self._home_by_customer: dict[str, str | None] = {}
        self._chosen_at = float("-inf")
        self.batches = HomeBatches(
            servers,
            admit=admit,
            admission=self._admission,
            may_hedge=may_hedge,
            memory=memory or Memory(DEFAULT_MEMORY_BYTES, servers.clock),
            find_detour=self.find_detour,
        )

    @property
    def is_direct(self) -> bool:
        """Whether every instance holds its own connections, without homes."""
        servers = self._servers
        if not servers.instances:
            return True
        return is_direct(servers.min_connections, servers.instances, servers.customers)

    @property
    def names(self) -> list[str]:
        """The names of the instances that are homes."""
        return list(self.strengths)

    @property
    def strengths(self) -> dict[str, int]:
        """The strengths of the homes by name."""
        now = self._clock()
        if now - self._chosen_at >= HOMES_REFRESH_S:
            self._chosen_at = now
            self._update(self._choose())
            self._live_homes = None
            self._evict_unsuspected()
        return self._chosen

    def predict_order(self, customer: str) -> list[str]:
        """Return a customer's home and runners-up, without applying a change of homes.

        Returns:
            The names in order; empty if no home is in reach or there are no homes.
        """
        if self.is_direct:
            return []
        if self._clock() - self._chosen_at < HOMES_REFRESH_S:
            return self._customer_homes.order_of(customer)
        homes = CustomerHomes(self._choose(), self._servers.rates)
        return homes.order_of(customer)

    @property
    def name(self) -> str:
        """The name of this instance."""
        return self._name

    @property
    def chosen_at(self) -> float:
        """When the homes were last chosen, in seconds."""
        return self._chosen_at

    def heard_at(self, name: str) -> float:
        """Return when a message from an instance was last received, in seconds."""
        return self._heard_at(name)

    def _choose(self) -> dict[str, int]:
        return self._choose_among(self._candidates())

    def _choose_among(self, candidates: Mapping[str, Candidate]) -> dict[str, int]:
        return choose_homes(
            candidates,
            self._servers.min_connections,
            self._servers.min_slots,
            self._servers.failure_domains,
            has_majority=self._has_majority(),
        )

    @property
    def customers(self) -> frozenset[str]:
        """The customers whose connections this instance holds for all others."""
        return self._servers.handover.customers

    def _update(self, chosen: dict[str, int]) -> None:
        rates = self._servers.rates
        if chosen == self._chosen and rates is self._rates:
            return
        if chosen != self._chosen:
            emit(HOMES_CHANGED, homes=chosen, before=list(self._chosen))
        was_home = self._name in self._chosen
        self._chosen, self._rates = chosen, rates
        self._customer_homes = CustomerHomes(chosen, rates)
        self._home_by_customer.clear()
        if was_home or self._name in chosen:
            is_own = {c: self._assign(c) == self._name for c in rates}
            self._servers.handover.apply(is_own, self._clock())

    def _assign(self, customer: str) -> str | None:
        if customer not in self._home_by_customer:
            home = self._customer_homes.home_of(customer)
            self._home_by_customer[customer] = home
        return self._home_by_customer[customer]

    @property
    def is_home(self) -> bool:
        """Whether this instance holds connections for others."""
        return not self.is_direct and self._name in self.strengths

    @property
    def is_out_of_reach(self) -> bool:
        """Whether no home can be reached, so that no statement can be run."""
        return not self.is_direct and not self.strengths

    def home_of(self, customer: str, admitted_for: str = "") -> str | None:
        """Return the home of a customer's connections, None for this instance.

        Args:
            customer: The customer.
            admitted_for: The id of the server that is to run the operation, if the
                customer's home has charged it already, so that another home may run it;
                else empty.
        """
        if self.is_direct:
            return None
        if not self.strengths:
            return None
        home = None
        if admitted_for:
            home = self._detours.find(customer, admitted_for, self._clock())
        if home not in self._chosen:
            home = self._assign(customer)
        return None if home == self._name else home

    def live_home_of(self, customer: str) -> str:
        """Return a customer's home among all live instances, suspected or not.

        Returns:
            The home's name; empty if there are no homes.
        """
        if self.is_direct or not self.strengths:
            return ""
        if not self._suspected_at:
            return self._assign(customer) or ""
        if self._live_homes is None:
            chosen = self._choose_among(self._instances())
            self._live_homes = CustomerHomes(chosen, self._rates)
        return self._live_homes.home_of(customer) or ""

    def has_detour(self, customer: str, server_id: str) -> bool:
        """Return whether another home reaches a server for a customer."""
        return self._detours.find(customer, server_id, self._clock()) is not None

    def find_detour(self, customer: str, group: str, server_id: str) -> str:
        """Find a home that reaches a primary which this one does not.

        Returns:
            The home, which is used from now on; empty if none is known.
        """
        if self.is_direct:
            return ""
        others = [home for home in self.strengths if home != self._name]
        heard_s = self._primary_heard_s(group, server_id)
        silent_s = self._unreachable_s(group, server_id)
        home = choose_detour(customer, others, heard_s, silent_s) or ""
        self._set_detour(customer, server_id, home)
        return home

    def _unreachable_s(self, group: str, server_id: str) -> float:
        server = self._servers.group(group).servers.get(server_id)
        pool = self._servers.find_pool(server) if server is not None else None
        return pool.unreachable_s if pool is not None else 0.0

    def _set_detour(self, customer: str, server_id: str, home: str) -> None:
        if home:
            self._detours.record(customer, server_id, home, self._clock())
        else:
            self._detours.drop(customer, server_id)

    def connection_limit(self, group: str) -> int | None:
        """Return how many connections this instance may hold to each server of a group.

        Returns:
            The number of connections, None while the number of instances is unknown.
        """
        servers = self._servers
        if not servers.instances:
            return None
        most = servers.max_connections(group)
        if self.is_direct:
            self._chosen = {}
            servers.handover.apply({}, self._clock())
            return connections_per_holder(most, servers.instances)
        homes = self.strengths
        if self._name not in homes:
            return 0
        # Instances out of touch may have chosen homes of their own.
        in_touch = len(self._instances()) / servers.instances
        part = connections_of_home(self._name, homes, most)
        return max(1, int(part * min(1.0, in_touch)))

    @property
    def holders(self) -> Holders:
        """The instances that hold connections, as known here."""
        servers = self._servers
        live = self._instances()
        in_touch = len(live) / servers.instances if servers.instances else 0.0
        if self.is_direct:
            known = max(1, servers.instances)
            return Holders(tuple(live), known, in_touch, are_chosen=False)
        most = max_homes(servers.min_connections, servers.min_slots)
        return Holders(tuple(self.names), most, in_touch)

    async def call(
        self, home: str, message: RunBatch | DropPinned, *, timeout_s: float
    ) -> Result[BatchMessage, Fault]:
        """Send a request to a home and wait for the answer.

        Args:
            home: The name of the home.
            message: The request.
            timeout_s: Timeout in seconds.
        """
        asked_at = self._clock()
        result = await self._links.call(home, message, timeout_s=timeout_s)
        if isinstance(result, Success):
            self._unanswered_calls.pop(home, None)
            self._record_samples(result.unwrap(), asked_at)
            self._record_full(result.unwrap(), message)
            self._record_detour(result.unwrap(), message)
            self._admission.record_hint(home, message, result.unwrap(), asked_at)
            return result
        if isinstance(message, DropPinned):
            return result  # repeated anyway; others may wait for answers on the link
        self._unanswered_calls[home] = self._unanswered_calls.get(home, 0) + 1
        if self._unanswered_calls[home] >= MAX_UNANSWERED_CALLS:
            # The link may be dead although the home is alive.
            self._links.reset(home)
            self._unanswered_calls.pop(home, None)
        return result

    def connection_id(self, home: str) -> int:
        """Return the id of the link's connection to a home, 0 if it has none."""
        return self._links.connection_id(home)

    def _record_samples(self, answer: BatchMessage, asked_at: float) -> None:
        if not isinstance(answer, BatchRun):
            return
        for sample in answer.samples:
            # The home computed the age after this request was sent, so this is the
            # earliest time that the sample can have, independent of the home's clock.
            position = Position(sample.term, sample.offset)
            self._servers.group(sample.group).record_position(
                asked_at - sample.age_s, position
            )

    def _record_full(
        self, answer: BatchMessage, message: RunBatch | DropPinned
    ) -> None:
        if not isinstance(answer, BatchNotSent) or not isinstance(message, RunBatch):
            return
        server = self._servers.group(message.group).servers.get(message.server)
        now = self._clock()
        if server is not None and now < server.cold_until:
            server.full_until = now + COLD_RETRY_S

    def _record_detour(
        self, answer: BatchMessage, message: RunBatch | DropPinned
    ) -> None:
        if not isinstance(answer, BatchNotSent) or not isinstance(message, RunBatch):
            return
        if not answer.is_reachable:
            self._set_detour(message.customer, message.server, answer.reachable_from)

    def suspect(self, home: str) -> None:
        """Exclude a home for a minimum time and until a message from it arrives.

        The exclusion ends after ``MAX_SUSPECT_S`` at the latest.
        """
        self._suspected_at[home] = self._clock()
        self._chosen_at = float("-inf")
        emit(HOME_SUSPECTED, home=home)

    def _candidates(self) -> dict[str, Candidate]:
        return {
            name: candidate
            for name, candidate in self._instances().items()
            if name == self._name or not self._is_suspect(name)
        }

    def _is_suspect(self, name: str) -> bool:
        since = self._suspected_at.get(name)
        if since is None:
            return False
        passed_s = self._clock() - since
        is_heard = self._heard_at(name) > since
        return passed_s < MIN_SUSPECT_S or (not is_heard and passed_s < MAX_SUSPECT_S)

    def _evict_unsuspected(self) -> None:
        for name in [n for n in self._suspected_at if not self._is_suspect(n)]:
            del self._suspected_at[name]
