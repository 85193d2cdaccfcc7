"""Placement of first flights over the hosts of a service."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from daisygauge_control import ConfigurationView
from daisygauge_policy import PlacementTable, make_flow_key
from daisygauge_records import Endpoint, Placement, Service
from daisygauge_wire import Datagram, Kind, PlacementStatus

from .._events import EventLog
from . import _events as events
from ._hosts import EligibleHosts, HostBook
from ._metrics import BalancerCounts
from ._pending import PendingFlight, PendingFlights

SERVICE_NUMBER_BYTES = 2
SETTLED = frozenset(
    {PlacementStatus.ACCEPTED, PlacementStatus.PASSED_ON, PlacementStatus.IGNORED}
)
MISADDRESSED = frozenset(
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
    """Name a first flight among those that wait.

    :param service: service number.
    :param destination_id: the connection ID that the caller chose.
    """
    return service.to_bytes(SERVICE_NUMBER_BYTES) + destination_id


class Placer:
    """Offers first flights to candidates until one takes them.

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
        self.hosts = HostBook()
        self.pending = PendingFlights()
        self.view = ConfigurationView()
        self.tables: dict[str, ServiceTable] = {}
        self.ejected: dict[str, frozenset[str]] = {}
        self.service_of: dict[str, str] = {}
        self.unsettled: frozenset[str] = frozenset()

    def take_view(self, view: ConfigurationView, *, now: float) -> None:
        """Put a new configuration in force.

        Only services that it changes are looked at: a pause of the datapath
        must not grow with the size of the fleet.
        """
        changed = find_changed_services(self.view, view)
        self.view = view
        self.service_of = {
            upstream.id: service
            for service, upstreams in view.upstreams.items()
            for upstream in upstreams
        }
        self.hosts.take_view(view, now=now)
        for service in changed:
            self.refresh_service(service, now=now)
        self.refresh_tables(now=now)

    def refresh_tables(self, *, now: float) -> None:
        """Rebuild the tables that time or the hosts themselves have changed.

        :param now: Unix time in seconds.
        """
        unsettled = frozenset(
            self.service_of[host]
            for host in self.hosts.unsettled(now=now)
            if host in self.service_of
        )
        for service in sorted(unsettled | self.unsettled):
            self.refresh_service(service, now=now)
        self.unsettled = unsettled
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
        held = self.tables.get(name)
        if (
            held is not None
            and held.eligible == eligible
            and held.placement == service.placement
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
        """Log which hosts of a service became suspect or are no longer."""
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
        held = self.tables.get(service.id)
        origin = Endpoint(host=caller[0], port=caller[1])
        destination_id = key[SERVICE_NUMBER_BYTES:]
        candidates = ()
        if held is not None:
            candidates = held.table.choose(
                make_flow_key(caller=origin, destination_id=destination_id),
                count=service.placement.candidates,
            )
        if not candidates:
            self.counts.drops["no-candidates"] += 1
            self.log.write(events.NO_CANDIDATES, service=service.id, caller=str(origin))
            return None
        flight = PendingFlight(
            key=key, service=service, caller=caller, candidates=candidates, sent=now
        )
        if not self.pending.add(flight):
            self.counts.placements["not-kept"] += 1
        self.counts.placements["placed"] += 1
        self.log.write(
            events.FLOW_PLACED,
            service=service.id,
            caller=str(origin),
            flow=destination_id.hex(),
            candidates=[host.id for host in candidates],
        )
        return flight

    def offer(self, flight: PendingFlight, packet: bytes) -> None:
        """Send one packet of a first flight to its present candidate."""
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
        self.counts.of_service(flight.service.id).placed += 1

    def take_answer(
        self, answer: Datagram, *, agent: Endpoint, now: float, time_now: float
    ) -> None:
        """Act on what an agent did with a first flight.

        :param agent: where the answer comes from.
        :param now: monotonic time in seconds.
        :param time_now: Unix time in seconds.
        """
        key = make_flight_key(service=answer.service, destination_id=answer.payload)
        flight = self.pending.find(key)
        if flight is None:
            return
        asked = flight.host
        if answer.status in SETTLED:
            self.pending.remove(key)
            self.counts.placements[answer.status.name.lower()] += 1
            if asked.agent == agent:
                self.hosts.suspects.report_answer(asked.id)
            return
        if asked.agent != agent:
            return
        if answer.status in MISADDRESSED:
            self.hosts.suspects.report_silence(asked.id, now=time_now)
        else:
            self.hosts.suspects.report_answer(asked.id)
        self.move_on(flight, reason=answer.status.name.lower(), now=now)

    def move_on(self, flight: PendingFlight, *, reason: str, now: float) -> None:
        """Offer a first flight to its next candidate, or give up.

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
        """Move flights on whose candidates have been silent too long.

        :param now: monotonic time in seconds.
        :param time_now: Unix time in seconds.
        """
        for flight in self.pending.unanswered(now=now):
            self.hosts.suspects.report_silence(flight.host.id, now=time_now)
            self.move_on(flight, reason="silent", now=now)
        self.counts.pending = len(self.pending)

    def forget_held(self, *, late_seconds: float) -> None:
        """Drop what was held while this process was stopped.

        Answers may wait unread in the socket, so silence proves nothing.
        """
        dropped = self.pending.clear()
        self.log.write(
            events.WOKE_LATE, late_seconds=round(late_seconds, 3), dropped=dropped
        )
