"""Placement of first flights on the hosts of a service."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from daisygauge_control import ConfigurationView
from daisygauge_policy import PlacementTable, make_flow_key
from daisygauge_records import Endpoint, Placement, Service
from daisygauge_wire import Datagram, Kind, PlacementStatus

from .._events import EventLog
from . import _events as events
from ._hosts import EligibleHosts, HostTracker
from ._metrics import BalancerCounts
from ._pending import PendingFlight, PendingFlights

SERVICE_NUMBER_BYTES = 2
FINAL_STATUSES = frozenset(
    {PlacementStatus.ACCEPTED, PlacementStatus.PASSED_ON, PlacementStatus.IGNORED}
)
MISADDRESSED_STATUSES = frozenset(
    {PlacementStatus.WRONG_SERVICE, PlacementStatus.WRONG_INCARNATION}
)


@frozen(kw_only=True)
class ServiceTable:
    """The placement table of a service and the hosts it was built from."""

    eligible: EligibleHosts
    placement: Placement
    table: PlacementTable


def find_changed_services(
    old: ConfigurationView, new: ConfigurationView
) -> tuple[str, ...]:
    """Return the services whose record, hosts or leaving hosts differ."""
    names = old.services.keys() | new.services.keys()
    leaving = find_leaving(old) ^ find_leaving(new)
    return tuple(
        name
        for name in sorted(names)
        if old.services.get(name) != new.services.get(name)
        or old.upstreams.get(name) != new.upstreams.get(name)
        or any(host.id in leaving for host in new.upstreams.get(name, ()))
    )


def find_leaving(view: ConfigurationView) -> frozenset[str]:
    """Return the ids of the instances that are leaving."""
    return frozenset(
        instance.id for instance in view.instances.values() if instance.leaving
    )


def make_flight_key(*, service: int, destination_id: bytes) -> bytes:
    """Return the key of a pending first flight.

    :param service: service number.
    :param destination_id: the connection ID that the caller chose.
    """
    return service.to_bytes(SERVICE_NUMBER_BYTES) + destination_id


class Placer:
    """Offers first flights to their candidates in turn until one accepts.

    :param send: sends an inner datagram to an agent.
    :param sender: inner address of this balancer.
    """

    def __init__(
        self,
        *,
        send: Callable[[Datagram, Endpoint], None],
        sender: Endpoint,
        counts: BalancerCounts,
        log: EventLog,
    ) -> None:
        self.send = send
        self.sender = sender
        self.counts = counts
        self.log = log
        self.hosts = HostTracker()
        self.pending = PendingFlights()
        self.view = ConfigurationView()
        self.tables: dict[str, ServiceTable] = {}
        self.ejected: dict[str, frozenset[str]] = {}
        self.service_by_host: dict[str, str] = {}
        self.time_dependent_services: frozenset[str] = frozenset()

    def apply_view(self, view: ConfigurationView, *, now: float) -> None:
        """Put a new configuration in force.

        Only the services that it changes are refreshed, because the datapath
        pauses meanwhile and the pause must not grow with the size of the fleet.
        """
        changed = find_changed_services(self.view, view)
        self.view = view
        self.service_by_host = {
            upstream.id: service
            for service, upstreams in view.upstreams.items()
            for upstream in upstreams
        }
        self.hosts.apply_view(view, now=now)
        for service in changed:
            self.refresh_service(service, now=now)
        self.refresh_tables(now=now)

    def refresh_tables(self, *, now: float) -> None:
        """Rebuild the tables that elapsed time or reports of hosts have changed.

        :param now: Unix time in seconds.
        """
        time_dependent = frozenset(
            self.service_by_host[host]
            for host in self.hosts.find_time_dependent_hosts(now=now)
            if host in self.service_by_host
        )
        for service in sorted(time_dependent | self.time_dependent_services):
            self.refresh_service(service, now=now)
        self.time_dependent_services = time_dependent
        self.counts.suspects = sum(map(len, self.ejected.values()))

    def refresh_service(self, name: str, *, now: float) -> None:
        """Rebuild the table of a service if its eligible hosts have changed."""
        service = self.view.services.get(name)
        if service is None:
            self.tables.pop(name, None)
            self.ejected.pop(name, None)
            return
        self.log_suspects(name, now=now)
        eligible = self.hosts.select(service, self.view, now=now)
        current = self.tables.get(name)
        if (
            current is not None
            and current.eligible == eligible
            and current.placement == service.placement
        ):
            return
        self.tables[name] = ServiceTable(
            eligible=eligible,
            placement=service.placement,
            table=self.hosts.create_table(service, eligible),
        )
        self.log.write(
            events.ELIGIBLE_CHANGED,
            service=name,
            hosts=[host.id for host in eligible.hosts],
            ramping=sorted(eligible.shares),
        )

    def log_suspects(self, service: str, *, now: float) -> None:
        """Log the hosts of a service that became suspect or ceased to be."""
        upstreams = self.view.upstreams.get(service, ())
        ejected = self.hosts.suspects.ejected(
            (upstream.id for upstream in upstreams), now=now
        )
        before = self.ejected.get(service, frozenset())
        for host in sorted(ejected - before):
            self.log.write(events.HOST_SUSPECTED, service=service, host=host)
        for host in sorted(before - ejected):
            self.log.write(events.HOST_CLEARED, service=service, host=host)
        self.ejected[service] = ejected

    def place(
        self,
        packet: bytes,
        *,
        service: Service,
        destination_id: bytes,
        caller: tuple[str, int],
        now: float,
    ) -> None:
        """Send a packet of a first flight to the flow's candidate.

        :param now: monotonic time in seconds.
        """
        key = make_flight_key(service=service.number, destination_id=destination_id)
        flight = self.pending.find(key)
        if flight is None:
            flight = self.start_flight(key, service=service, caller=caller, now=now)
        if flight is None:
            return
        flight.caller = caller
        self.pending.keep_packet(flight, packet)
        self.offer(flight, packet)

    def start_flight(
        self, key: bytes, *, service: Service, caller: tuple[str, int], now: float
    ) -> PendingFlight | None:
        """Choose the candidates of a new flow.

        :return: None when the service has no eligible host.
        """
        current = self.tables.get(service.id)
        caller_endpoint = Endpoint(host=caller[0], port=caller[1])
        destination_id = key[SERVICE_NUMBER_BYTES:]
        candidates = ()
        if current is not None:
            candidates = current.table.choose(
                make_flow_key(caller=caller_endpoint, destination_id=destination_id),
                count=service.placement.candidates,
            )
        if not candidates:
            self.counts.drops["no-candidates"] += 1
            self.log.write(
                events.NO_CANDIDATES, service=service.id, caller=str(caller_endpoint)
            )
            return None
        flight = PendingFlight(
            key=key,
            service=service,
            caller=caller,
            candidates=candidates,
            offered_at=now,
        )
        if not self.pending.add(flight):
            self.counts.placements["not-kept"] += 1
        self.counts.placements["placed"] += 1
        self.log.write(
            events.FLOW_PLACED,
            service=service.id,
            caller=str(caller_endpoint),
            flow=destination_id.hex(),
            candidates=[host.id for host in candidates],
        )
        return flight

    def offer(self, flight: PendingFlight, packet: bytes) -> None:
        """Send one packet of a first flight to its current candidate."""
        host, port = flight.caller
        datagram = Datagram(
            kind=Kind.FORWARD,
            service=flight.service.number,
            caller=Endpoint(host=host, port=port),
            address=flight.service.address,
            sender=self.sender,
            candidates=tuple(other.agent for other in flight.candidates[1:]),
            payload=packet,
        )
        self.send(datagram, flight.host.agent)
        self.counts.for_service(flight.service.id).placed += 1

    def handle_answer(
        self, answer: Datagram, *, agent: Endpoint, now: float, time_now: float
    ) -> None:
        """Handle an agent's answer to a first flight.

        :param agent: inner address that the answer came from.
        :param now: monotonic time in seconds.
        :param time_now: Unix time in seconds.
        """
        key = make_flight_key(service=answer.service, destination_id=answer.payload)
        flight = self.pending.find(key)
        if flight is None:
            return
        candidate = flight.host
        if answer.status in FINAL_STATUSES:
            self.pending.remove(key)
            self.counts.placements[answer.status.name.lower()] += 1
            if candidate.agent == agent:
                self.hosts.suspects.report_answer(candidate.id)
            return
        if candidate.agent != agent:
            return
        if answer.status in MISADDRESSED_STATUSES:
            self.hosts.suspects.report_silence(candidate.id, now=time_now)
        else:
            self.hosts.suspects.report_answer(candidate.id)
        self.offer_to_next(flight, reason=answer.status.name.lower(), now=now)

    def offer_to_next(self, flight: PendingFlight, *, reason: str, now: float) -> None:
        """Offer a first flight to its next candidate, or drop it when none is left.

        :param now: monotonic time in seconds.
        """
        refused_by = flight.host.id
        caller = f"{flight.caller[0]}:{flight.caller[1]}"
        flow = flight.key[SERVICE_NUMBER_BYTES:].hex()
        if not self.pending.advance(flight, now=now):
            self.counts.placements["unplaced"] += 1
            self.log.write(
                events.FLOW_UNPLACED,
                service=flight.service.id,
                caller=caller,
                flow=flow,
                reason=reason,
            )
            return
        self.counts.placements["moved"] += 1
        self.log.write(
            events.FLOW_MOVED,
            service=flight.service.id,
            caller=caller,
            flow=flow,
            reason=reason,
            refused_by=refused_by,
            candidate=flight.host.id,
        )
        for packet in flight.packets:
            self.offer(flight, packet)

    def expire(self, *, now: float, time_now: float) -> None:
        """Offer unanswered flights to their next candidates; report the silent hosts.

        :param now: monotonic time in seconds.
        :param time_now: Unix time in seconds.
        """
        for flight in self.pending.unanswered(now=now):
            self.hosts.suspects.report_silence(flight.host.id, now=time_now)
            self.offer_to_next(flight, reason="silent", now=now)
        self.counts.pending = len(self.pending)

    def drop_pending(self, *, late_seconds: float) -> None:
        """Drop the pending flights after this process did not run for a while.

        Answers may wait unread in the socket buffer, so a missing answer does not
        make a host suspect.

        :param late_seconds: time by which a tick came late.
        """
        dropped = self.pending.clear()
        self.log.write(
            events.WOKE_LATE, late_seconds=round(late_seconds, 3), dropped=dropped
        )
