"""Budgets that bound how much of something happens in a time."""

from __future__ import annotations

RETRY_FLOOR_PER_SECOND = 0.1
RETRY_BURST = 10.0


class TokenBucket:
    """Allows a rate with bursts.

    :param rate: tokens gained for each second.
    :param burst: tokens held at most, and at the start.
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

        :param now: any clock in seconds, the same in every call.
        """
        self._refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def wait_seconds(self, amount: float = 1.0, *, now: float) -> float:
        """Return the time until the tokens can be taken."""
        self._refill(now)
        missing = amount - self.tokens
        if missing <= 0.0:
            return 0.0
        return missing / self.rate if self.rate > 0.0 else float("inf")


class RetryBudget:
    """Allows retries as a share of first tries, and a small floor.

    The floor lets a quiet service retry at all. Unused allowance is kept up to
    ``RETRY_BURST`` retries, so a quiet hour can't pay for a storm.

    :param share: retries for each first try.
    """

    def __init__(self, *, share: float, now: float) -> None:
        self.share = share
        self._bucket = TokenBucket(
            rate=RETRY_FLOOR_PER_SECOND, burst=RETRY_BURST, now=now
        )
        self._bucket.tokens = 1.0

    def record_first_try(self) -> None:
        """Note that a request was sent for the first time."""
        bucket = self._bucket
        bucket.tokens = min(bucket.burst, bucket.tokens + self.share)

    def try_retry(self, *, now: float) -> bool:
        """Take the allowance for one retry if there is any."""
        return self._bucket.try_take(now=now)
