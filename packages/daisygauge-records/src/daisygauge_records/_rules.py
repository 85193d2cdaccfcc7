"""Validation of the values of record fields, beyond their types."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Any

from attrs import frozen

from ._errors import Problem
from ._models import (
    Endpoint,
    FifoQueue,
    Key,
    LoadHandOff,
    PublishedLoadPlacement,
    RendezvousPlacement,
    RequestClass,
    RoundRobinPlacement,
    Service,
    Upstream,
    WorthQueue,
)

SECRET_HEX_DIGITS = 64
MAX_PORT = 65_535
MAX_SERVICE_NUMBER = 65_535
MAX_KEY_NUMBER = 255
MAX_CANDIDATES = 8
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@frozen(kw_only=True)
class Rule:
    """A condition on one field of a model.

    :param is_valid: returns whether a value meets the condition.
    :param remedy: how the author can correct the field.
    :param secret: True when messages must not contain the value.
    """

    field: str
    is_valid: Callable[[Any], bool]
    remedy: str
    secret: bool = False

    def check(self, model: object) -> Problem | None:
        """Return the problem with the field of a model, or None."""
        value = getattr(model, self.field)
        if self.is_valid(value):
            return None
        shown = "the value" if self.secret else repr(value)
        return Problem(
            path=self.field, message=f"{shown} is not acceptable", remedy=self.remedy
        )


def _between(field: str, low: float, high: float) -> Rule:
    return Rule(
        field=field,
        is_valid=lambda value: value is None or low <= value <= high,
        remedy=f"write a number from {low} to {high}",
    )


def _at_least(field: str, low: float) -> Rule:
    return Rule(
        field=field,
        is_valid=lambda value: low <= value < float("inf"),
        remedy=f"write a number of at least {low}",
    )


def _above_zero(field: str) -> Rule:
    return Rule(
        field=field,
        is_valid=lambda value: 0 < value < float("inf"),
        remedy="write a number above 0",
    )


def _is_ipv4(value: str) -> bool:
    try:
        ipaddress.IPv4Address(value)
    except ValueError:
        return False
    return True


def is_id(value: str) -> bool:
    """Tell whether a string is a valid ID of a record or an instance."""
    return ID_PATTERN.fullmatch(value) is not None


def _is_secret(value: str) -> bool:
    return re.fullmatch(rf"[0-9a-fA-F]{{{SECRET_HEX_DIGITS}}}", value) is not None


def id_rule(field: str) -> Rule:
    """Create the rule for a field that holds an ID."""
    return Rule(
        field=field,
        is_valid=is_id,
        remedy="use 1 to 63 letters, digits, '.', '_' or '-', starting with a "
        "letter or digit",
    )


_IPV4_HOST = Rule(
    field="host", is_valid=_is_ipv4, remedy="write an IPv4 address such as 10.0.0.7"
)
_NON_EMPTY_NAME = Rule(field="name", is_valid=bool, remedy="give the class a name")
_PATH_PREFIX = Rule(
    field="path_prefix",
    is_valid=lambda value: value.startswith("/"),
    remedy="write a path that starts with '/'",
)
_METHOD = Rule(
    field="method",
    is_valid=lambda value: value == "*" or value.isupper(),
    remedy="write an upper-case HTTP method, or '*' for every method",
)
_SECRET = Rule(
    field="secret",
    is_valid=_is_secret,
    remedy="write exactly 32 random bytes as 64 hexadecimal digits",
    secret=True,
)
_UNIQUE_CLASS_NAMES = Rule(
    field="classes",
    is_valid=lambda value: len({entry.name for entry in value}) == len(value),
    remedy="give each request class a name of its own",
)

RULES: dict[type, tuple[Rule, ...]] = {
    Endpoint: (_IPV4_HOST, _between("port", 1, MAX_PORT)),
    RequestClass: (
        _NON_EMPTY_NAME,
        _METHOD,
        _PATH_PREFIX,
        _at_least("worth", 0),
        _above_zero("deadline_seconds"),
    ),
    RendezvousPlacement: (
        _between("candidates", 1, MAX_CANDIDATES),
        _between("pass_margin", 0, 100),
        _at_least("ramp_seconds", 0),
    ),
    RoundRobinPlacement: (_between("candidates", 1, MAX_CANDIDATES),),
    PublishedLoadPlacement: (_between("candidates", 1, MAX_CANDIDATES),),
    WorthQueue: (_at_least("capacity_per_slot", 0),),
    FifoQueue: (_at_least("capacity_per_slot", 0),),
    LoadHandOff: (_at_least("margin", 0),),
    Service: (
        id_rule("id"),
        _between("number", 1, MAX_SERVICE_NUMBER),
        _UNIQUE_CLASS_NAMES,
        _between("retry_share", 0, 1),
        _between("caller_share", 0, 1),
    ),
    Upstream: (
        id_rule("id"),
        id_rule("service"),
        _between("peer_port", 1, MAX_PORT),
        id_rule("failure_domain"),
        _at_least("slots", 1),
        _at_least("max_connections", 1),
    ),
    Key: (
        id_rule("id"),
        _between("number", 0, MAX_KEY_NUMBER),
        _SECRET,
        _at_least("not_before", 0),
    ),
}


def check_rules(model: object) -> tuple[Problem, ...]:
    """Return the problems with a model's own fields, without those of nested models."""
    rules = RULES.get(type(model), ())
    results = [rule.check(model) for rule in rules]
    problems = [problem for problem in results if problem is not None]
    if isinstance(model, Key) and model.not_before >= model.not_after:
        problems.append(
            Problem(
                path="not_after",
                message=f"{model.not_after!r} is not later than not_before",
                remedy="write a Unix time in seconds after not_before",
            )
        )
    return tuple(problems)
