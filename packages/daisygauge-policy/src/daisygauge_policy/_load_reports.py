"""The latest load report of each peer agent."""

from __future__ import annotations

from attrs import frozen

from daisygauge_wire import LoadReport

LOAD_REPORT_INTERVAL_SECONDS = 0.2
LONGEST_AGE_SECONDS = 1.0


@frozen(kw_only=True)
class PeerLoadReport:
    """A load report with the peer that sent it.

    :param peer: id of the peer agent.
    :param received_at: Unix time in seconds.
    """

    peer: str
    incarnation: int
    report: LoadReport
    received_at: float

    def age_seconds(self, *, now: float) -> float:
        """Return the time since the load report was received."""
        return now - self.received_at


class PeerLoadReports:
    """The newest load report of each peer, by agent id."""

    def __init__(self) -> None:
        self.reports: dict[str, PeerLoadReport] = {}

    def update(
        self, peer: str, *, incarnation: int, report: LoadReport, now: float
    ) -> bool:
        """Store a load report unless an equally new or newer one is stored.

        :return: True if the load report was stored.
        """
        held = self.reports.get(peer)
        if held is not None and (incarnation, report.sequence) <= (
            held.incarnation,
            held.report.sequence,
        ):
            return False
        self.reports[peer] = PeerLoadReport(
            peer=peer, incarnation=incarnation, report=report, received_at=now
        )
        return True

    def fresh(
        self, *, now: float, longest_age_seconds: float = LONGEST_AGE_SECONDS
    ) -> tuple[PeerLoadReport, ...]:
        """Return the load reports that are recent enough to use, ordered by peer.

        :param longest_age_seconds: reports older than this are left out.
        """
        return tuple(
            held
            for _, held in sorted(self.reports.items())
            if held.age_seconds(now=now) <= longest_age_seconds
        )

    def retain(self, peers: frozenset[str]) -> None:
        """Drop the load reports of all peers but the given ones."""
        self.reports = {
            peer: held for peer, held in self.reports.items() if peer in peers
        }
