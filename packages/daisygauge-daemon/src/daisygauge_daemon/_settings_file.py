"""Reading a settings file into its model."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import cattrs
import json5
from cattrs.v import format_exception, transform_error

from ._settings import AgentSettings, BalancerSettings, Settings

_MODELS = {"balancer": BalancerSettings, "agent": AgentSettings}


class SettingsError(ValueError):
    """A settings file that can't be used; the message names the remedy."""


def _refuse_coercion(value: Any, expected: type) -> Any:
    if type(value) is not expected:
        raise TypeError(f"expected {expected.__name__}, not {value!r}")
    return value


def _structure_list(value: Any, _: type) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise TypeError(f"expected a list, not {value!r}")
    return tuple(_refuse_coercion(item, str) for item in value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for expected in (str, int, bool):
        converter.register_structure_hook(expected, _refuse_coercion)
    converter.register_structure_hook_func(
        lambda expected: expected == tuple[str, ...], _structure_list
    )
    return converter


def _format_cause(error: BaseException, expected: type | None) -> str:
    if type(error) in (TypeError, ValueError):
        return str(error)
    return format_exception(error, expected)


def load_settings(path: str) -> Settings:
    """Read a settings file.

    :raises SettingsError: unreadable, not JSON with comments, an unknown, missing
        or ill-typed field; the message holds its path and the remedy.
    """
    try:
        raw = json5.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}; give a readable JSON file") from error
    role = raw.get("role") if isinstance(raw, dict) else None
    model = _MODELS.get(role) if isinstance(role, str) else None
    if model is None:
        raise SettingsError(f'{path}: set "role" to one of {sorted(_MODELS)}')
    try:
        return _make_converter().structure(raw, model)
    except Exception as error:
        causes = "; ".join(transform_error(error, "$", _format_cause))
        raise SettingsError(f"{path}: {causes}; correct these fields") from error
