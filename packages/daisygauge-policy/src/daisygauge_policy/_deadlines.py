"""Deadlines of requests."""

from __future__ import annotations

from attrs import frozen

from daisygauge_records import RequestClass

LONGEST_DEADLINE_SECONDS = 3_600.0
MAX_HEADER_DIGITS = 12
"""A longer number of milliseconds is no deadline but a mistake of the caller."""


@frozen(kw_only=True, order=True)
class Deadline:
    """The time at which an answer is no longer of use to the caller.

    :param at: Unix time in seconds.
    """

    at: float

    def remaining_seconds(self, *, now: float) -> float:
        """Return the time left, zero once the deadline has passed."""
        return max(0.0, self.at - now)

    def has_passed(self, *, now: float) -> bool:
        """Tell whether an answer would be late now."""
        return now >= self.at

    def format_header(self, *, now: float) -> str:
        """Return the ``x-deadline-ms`` value for the next process."""
        return str(int(self.remaining_seconds(now=now) * 1_000))


def read_deadline(
    header: str | None, *, request_class: RequestClass, now: float
) -> Deadline:
    """Return the deadline from a request's header, or else from its class.

    :param header: value of ``x-deadline-ms``: milliseconds left at the caller.
    """
    seconds = _read_milliseconds(header)
    if seconds is None:
        seconds = request_class.deadline_seconds
    return Deadline(at=now + min(seconds, LONGEST_DEADLINE_SECONDS))


def _read_milliseconds(header: str | None) -> float | None:
    if header is None or not (header.isascii() and header.isdigit()):
        return None
    digits = header.lstrip("0") or "0"
    if len(digits) > MAX_HEADER_DIGITS:
        return None
    return int(digits) / 1_000
