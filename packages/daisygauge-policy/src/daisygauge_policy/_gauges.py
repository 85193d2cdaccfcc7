"""The load of peer agents, as lately heard."""

from __future__ import annotations

from attrs import frozen

from daisygauge_wire import Gauge

GAUGE_SECONDS = 0.2
LONGEST_AGE_SECONDS = 1.0


@frozen(kw_only=True)
class PeerGauge:
    """One peer's gauge with its origin.

    :param heard: Unix time in seconds at which it arrived.
    """

    peer: str
    incarnation: int
    gauge: Gauge
    heard: float

    def age_seconds(self, *, now: float) -> float:
        """Return the time since the gauge arrived."""
        return now - self.heard


class PeerGauges:
    """The newest gauge of each peer, by agent id."""

    def __init__(self) -> None:
        self.gauges: dict[str, PeerGauge] = {}

    def update(self, peer: str, *, incarnation: int, gauge: Gauge, now: float) -> bool:
        """Take in a gauge unless a newer one is held.

        :return: False for a gauge of an older incarnation or sequence.
        """
        held = self.gauges.get(peer)
        if held is not None and (incarnation, gauge.sequence) <= (
            held.incarnation,
            held.gauge.sequence,
        ):
            return False
        self.gauges[peer] = PeerGauge(
            peer=peer, incarnation=incarnation, gauge=gauge, heard=now
        )
        return True

    def fresh(
        self, *, now: float, longest_age_seconds: float = LONGEST_AGE_SECONDS
    ) -> tuple[PeerGauge, ...]:
        """Return the gauges young enough to decide by, ordered by peer."""
        return tuple(
            held
            for _, held in sorted(self.gauges.items())
            if held.age_seconds(now=now) <= longest_age_seconds
        )

    def retain(self, peers: frozenset[str]) -> None:
        """Forget every peer but the published ones."""
        self.gauges = {
            peer: held for peer, held in self.gauges.items() if peer in peers
        }
