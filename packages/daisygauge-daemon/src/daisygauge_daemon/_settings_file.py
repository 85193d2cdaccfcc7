"""Loader of a settings file into the model of its role."""

from __future__ import annotations

from pathlib import Path

import json5

from daisygauge_records import Problem, SettingsError, parse_settings

from ._settings import AgentSettings, BalancerSettings, Settings

_MODELS: dict[str, type[Settings]] = {
    "balancer": BalancerSettings,
    "agent": AgentSettings,
}


def load_settings(path: str) -> Settings:
    """Read a settings file.

    :raises SettingsError: the file can't be read or has invalid fields; the message
        names the file, each field and its remedy.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        value = json5.loads(text)
    except (OSError, ValueError) as error:
        raise _make_error(
            path, "$", message=str(error), remedy="name a file of JSON with comments"
        ) from None
    role = value.get("role") if isinstance(value, dict) else None
    if not isinstance(role, str) or role not in _MODELS:
        raise _make_error(
            path,
            "role",
            message=f"{role!r} is unknown",
            remedy=f"use one of {sorted(_MODELS)}",
        )
    return parse_settings(text, _MODELS[role], name=path)


def _make_error(name: str, path: str, *, message: str, remedy: str) -> SettingsError:
    problem = Problem(path=path, message=message, remedy=remedy)
    return SettingsError(name=name, problems=[problem])
