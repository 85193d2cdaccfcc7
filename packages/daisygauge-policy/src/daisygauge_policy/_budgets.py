"""Token buckets and the retry budget, which limit rates."""

from __future__ import annotations

MIN_RETRIES_PER_SECOND = 0.1
RETRY_BURST = 10.0


class TokenBucket:
    """Limits a rate but allows bursts.

    :param rate: tokens added per second.
    :param burst: capacity in tokens; the bucket is full at the start.
    :param now: any clock in seconds, the same in every call.
    """

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated = now

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self.updated) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated = now

    def try_take(self, amount: float = 1.0, *, now: float) -> bool:
        """Take tokens if there are enough.

        :return: True if the tokens were taken.
        """
        self._refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def wait_seconds(self, amount: float = 1.0, *, now: float) -> float:
        """Return the seconds until the tokens can be taken, infinite at rate zero."""
        self._refill(now)
        missing = amount - self.tokens
        if missing <= 0.0:
            return 0.0
        return missing / self.rate if self.rate > 0.0 else float("inf")


class RetryBudget:
    """Allows retries as a share of first tries, plus a small constant rate.

    The constant rate lets a service with little traffic retry at all. The unused
    budget is capped at ``RETRY_BURST`` retries, so that a quiet hour doesn't allow
    a retry storm.

    :param share: retries allowed per first try.
    :param now: any clock in seconds, the same in every call.
    """

    def __init__(self, *, share: float, now: float) -> None:
        self.share = share
        self._bucket = TokenBucket(
            rate=MIN_RETRIES_PER_SECOND, burst=RETRY_BURST, now=now
        )
        self._bucket.tokens = 1.0

    def record_first_try(self) -> None:
        """Add a share to the budget for a request sent for the first time."""
        bucket = self._bucket
        bucket.tokens = min(bucket.burst, bucket.tokens + self.share)

    def try_retry(self, *, now: float) -> bool:
        """Take one retry from the budget if there is one."""
        return self._bucket.try_take(now=now)
