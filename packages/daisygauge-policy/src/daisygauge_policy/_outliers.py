"""Whether an upstream that fails requests takes new flows.

The load that this module addresses: for some seconds a few of a service's hosts answer
many of their requests with an error, or don't answer them, while their status check is
good. Clients may not repeat some requests, so each failure loses one, and the decision
must rest on a few responses. No host is ejected when many fail alike, as after a bad
release: the other hosts can't take the flows then.

A cumulative sum (CUSUM) of log-likelihood ratios compares the usual share of failed
responses with a much larger one. Every failure raises it and every good response
lowers it. Each agent decides alone, for its own upstream.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct

USUAL_SHARE = 0.01
"""Assumed share of failed responses of a healthy upstream."""
OUTLIER_DIFFERENCE = 0.35
"""Part of the usually good responses that an outlier fails. Hosts that fail less are
detected more slowly; a smaller value gives each failure less weight."""
EJECT_SCORE = 6.0
"""With the assumed usual share a failure scores 3.6 and a good response -0.43: two
failures with at most two good responses between them eject, one failure never does."""
FIRST_CEILING = 8.0
"""Score of an ejected upstream, and its largest score. About 19 good responses return
it to its full share."""
MAX_CEILING = 32.0
REPEAT_SECONDS = 10.0
"""An upstream that is ejected again within this time needs twice as many good
responses to return, so that it doesn't take full load in each of its good phases."""
RETURN_SCORE = 0.5
SCORE_SECONDS = 5.0
"""Time constant with which the score decays. Rare failures don't add up, and an ejected
upstream returns when no flow arrives that could prove it good."""
PROBE_SECONDS = 0.5
"""An ejected upstream that has neither taken a flow nor answered for this time takes
one flow."""
SHARE_WEIGHT = 0.1
"""Weight of a new response in the mean share of failed ones."""
LEARNT_FACTOR = 1.5
"""The usual share is assumed to be this multiple of the measured one when peers fail
alike: the mean of about ten responses is often below the true share."""
MIN_LEARNT_SHARE = 0.5
"""Lower limit of a learnt share: just after the first failures the measured share is
far below the true one."""
MAX_LEARNT_SHARE = 0.9
USUAL_SECONDS = 15.0
"""Time constant with which a learnt usual share returns to the assumed one. An
upstream that still fails after its peers have recovered is then found."""
MAX_EJECTED_SHARE = 1 / 3
"""Largest share of a service's hosts that may be ejected at once."""
FEW_UNWILLING = 0.12
MANY_UNWILLING = 0.5
"""Shares of unwilling peers between which ``UnwillingPeers`` tells. Its evidence grows
above a share of about 0.3, just below the largest ejected share."""
MANY_SCORE = 6.0
"""Evidence that many peers are unwilling. With half of the peers unwilling it takes
about five opening packets from balancers."""
PEER_SECONDS = 3.0
"""Time constant with which this evidence decays."""
BUSY_FACTOR = 2
"""An ejected upstream takes a flow like any other one when the least busy willing agent
has more than this number of requests for each slot. A smaller value sends more flows to
failing hosts; a larger one makes more requests late when all hosts fail alike."""
MAX_UNWILLING_IN_A_ROW = 2
"""An ejected upstream takes a flow like any other one after this many peers that are
all unwilling. That is rare while few hosts are ejected, and when all fail alike two of
the four asked agents still compare their loads."""
COUNTED_HOPS = 3
"""Later hops are left out: after them an agent takes a flow whatever its state."""


class OutlierEjected(Struct, kw_only=True, frozen=True):
    """The upstream is passed over for new flows.

    :param failed_share: mean share of failed responses.
    :param usual_share: share that counts as usual.
    :param is_repeated: True when it was ejected shortly before.
    """

    failed_share: float
    usual_share: float
    is_repeated: bool


class OutlierReturned(Struct, kw_only=True, frozen=True):
    """The upstream has its full share of new flows again.

    :param seconds: duration of the ejection.
    """

    seconds: float


class OutliersCommon(Struct, kw_only=True, frozen=True):
    """The upstream isn't ejected, or no longer, since too many peers are unwilling.

    :param failed_share: mean share of failed responses.
    :param usual_share: share that counts as usual from now on.
    :param peer_score: evidence that many peers are unwilling.
    """

    failed_share: float
    usual_share: float
    peer_score: float


OutlierChange = OutlierEjected | OutlierReturned | OutliersCommon


class UnwillingPeers:
    """Tells whether a large share of a service's hosts doesn't take new flows.

    Balancers spread opening packets evenly over the hosts, and an agent passes them
    on evenly. When a share f of the peers is unwilling, an agent receives f packets
    with one earlier hop for each packet from a balancer, f^2 with two, and so on. A
    packet of a willing but busy agent names the least busy agent, and isn't counted.
    A cumulative sum compares ``MANY_UNWILLING`` with ``FEW_UNWILLING``.

    :ivar score: evidence that many peers are unwilling.
    """

    def __init__(self) -> None:
        self.score = 0.0
        self._aged_at = -math.inf

    def record(self, *, hops: int, has_willing: bool, now: float) -> None:
        """Record an opening packet.

        :param hops: agents that have passed it on.
        :param has_willing: True when it names a willing agent among them.
        """
        elapsed = max(now - self._aged_at, 0.0)
        self._aged_at = max(now, self._aged_at)
        self.score *= math.exp(-elapsed / PEER_SECONDS)
        if hops == 0:
            few, many = _count_passed(FEW_UNWILLING), _count_passed(MANY_UNWILLING)
            self.score = max(self.score - (many - few), 0.0)
        elif hops <= COUNTED_HOPS and not has_willing:
            ratio = MANY_UNWILLING / FEW_UNWILLING
            self.score = min(self.score + hops * math.log(ratio), 2.0 * MANY_SCORE)

    @property
    def are_many(self) -> bool:
        """True when no further host of the service should become unwilling."""
        return self.score >= MANY_SCORE


class OutlierDetector:
    """Ejects an upstream whose share of failed responses is far above the usual.

    :param hosts: returns the number of hosts of the upstream's service.
    :ivar score: evidence that the upstream is an outlier.
    :ivar failed_share: mean share of failed responses.
    :ivar usual_share: share of failed responses that counts as usual.
    :ivar ejected_at: monotonic time of the ejection, or None.
    """

    def __init__(self, *, hosts: Callable[[], int]) -> None:
        self.hosts = hosts
        self.peers = UnwillingPeers()
        self.score = 0.0
        self.failed_share = 0.0
        self.usual_share = USUAL_SHARE
        self.ceiling = FIRST_CEILING
        self.ejected_at: float | None = None
        self._returned_at = -math.inf
        self._aged_at = -math.inf
        self._active_at = -math.inf
        self._credit = 0.0

    def record_response(self, *, failed: bool, now: float) -> OutlierChange | None:
        """Record a response, or that a request is lost.

        :param failed: True for a failure of the upstream.
        """
        self._age(now=now)
        self._active_at = now
        self.failed_share += SHARE_WEIGHT * (failed - self.failed_share)
        self.score = min(max(self.score + self._weigh(failed), 0.0), self.ceiling)
        if self.ejected_at is not None:
            return self._find_return(now=now)
        return self._eject(now=now) if self.score >= EJECT_SCORE else None

    def withdraw_failure(self, *, now: float) -> None:
        """Take back the failure of a request that was answered after all."""
        self._age(now=now)
        self.failed_share = max(self.failed_share - SHARE_WEIGHT, 0.0)
        self.score = max(self.score - self._weigh(True), 0.0)

    def record_opening(
        self, *, hops: int, has_willing: bool, now: float
    ) -> OutlierChange | None:
        """Record an opening packet that arrives; see ``UnwillingPeers``."""
        self.peers.record(hops=hops, has_willing=has_willing, now=now)
        self._age(now=now)
        if self.ejected_at is None:
            return None
        if hops and self.is_common():
            return self._accept_as_usual(now=now)
        return self._find_return(now=now)

    def is_ejected(self, *, now: float) -> bool:
        """Return True while the upstream is ejected."""
        self._age(now=now)
        return self.ejected_at is not None and self.score > RETURN_SCORE

    def is_common(self) -> bool:
        """Return True when no further host of the service may be ejected."""
        return int(self.hosts() * MAX_EJECTED_SHARE) < 1 or self.peers.are_many

    def admits(
        self, *, hops: int, best_load: int | None, slots: int, now: float
    ) -> bool:
        """Return True when the upstream may take a new flow like any other one.

        An ejected upstream admits a share of the offered flows, which grows as the
        score falls. It also admits flows that peers would run late or no better: the
        least busy willing one has a queue, or the asked ones are all unwilling. Call
        it once for each offered flow.

        :param hops: agents that have passed the flow on.
        :param best_load: load of the least busy willing one among them, or None.
        :param slots: requests that an upstream runs at a time.
        """
        if self.ejected_at is None:
            return True
        if best_load is not None and best_load > BUSY_FACTOR * slots:
            return True
        if best_load is None and hops >= MAX_UNWILLING_IN_A_ROW:
            return True
        self._age(now=now)
        share = (1.0 - min(self.score / self.ceiling, 1.0)) ** 2
        self._credit = min(self._credit + share, 1.0)
        return self._credit >= 1.0 or now - self._active_at >= PROBE_SECONDS

    def record_taken(self, *, now: float) -> None:
        """Record that the upstream takes a flow."""
        if self.ejected_at is not None:
            self._credit = 0.0
            self._active_at = now

    def _weigh(self, failed: bool) -> float:
        """Return the log-likelihood ratio of a response: outlier against usual host."""
        usual = self.usual_share
        outlier = usual + OUTLIER_DIFFERENCE * (1.0 - usual)
        if failed:
            return math.log(outlier / usual)
        return math.log((1.0 - outlier) / (1.0 - usual))

    def _age(self, *, now: float) -> None:
        elapsed = max(now - self._aged_at, 0.0)
        self._aged_at = max(now, self._aged_at)
        self.score *= math.exp(-elapsed / SCORE_SECONDS)
        excess = self.usual_share - USUAL_SHARE
        self.usual_share = USUAL_SHARE + excess * math.exp(-elapsed / USUAL_SECONDS)

    def _eject(self, *, now: float) -> OutlierChange:
        if self.is_common():
            return self._accept_as_usual(now=now)
        is_repeated = now - self._returned_at < REPEAT_SECONDS
        self.ceiling = (
            min(2.0 * self.ceiling, MAX_CEILING) if is_repeated else FIRST_CEILING
        )
        self.score = self.ceiling
        self.ejected_at = now
        self._credit = 0.0
        return OutlierEjected(
            failed_share=self.failed_share,
            usual_share=self.usual_share,
            is_repeated=is_repeated,
        )

    def _find_return(self, *, now: float) -> OutlierReturned | None:
        if self.score > RETURN_SCORE:
            return None
        seconds = now - self.ejected_at
        self.ejected_at = None
        self._returned_at = now
        self.score = 0.0
        return OutlierReturned(seconds=seconds)

    def _accept_as_usual(self, *, now: float) -> OutliersCommon:
        """Count the measured share as usual, since ejecting wouldn't help."""
        learnt = max(LEARNT_FACTOR * self.failed_share, MIN_LEARNT_SHARE)
        self.usual_share = min(learnt, MAX_LEARNT_SHARE)
        self.ejected_at = None
        self.score = 0.0
        return OutliersCommon(
            failed_share=self.failed_share,
            usual_share=self.usual_share,
            peer_score=self.peers.score,
        )


def _count_passed(share: float) -> float:
    """Return the packets of unwilling agents for each packet from a balancer.

    :param share: share of unwilling peers.
    """
    return sum(share**hop for hop in range(1, COUNTED_HOPS + 1))
