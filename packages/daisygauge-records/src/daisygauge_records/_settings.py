"""Parsing of settings files, which are JSON with comments, into attrs models."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import json5

from ._errors import InvalidValueError, Problem, SettingsError
from ._structure import structure

Model = TypeVar("Model")


def load_settings(path: str | Path, model: type[Model]) -> Model:
    """Read a settings file into an attrs model.

    :param path: a file of JSON with comments.
    :param model: attrs class; values are validated against its field types.
    :raises SettingsError: the file can't be read or is invalid; names every invalid
        field and its remedy.
    """
    name = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _create_error(name, str(error), "name a readable file in UTF-8") from None
    return parse_settings(text, model, name=name)


def parse_settings(text: str, model: type[Model], *, name: str) -> Model:
    """Parse the text of a settings file into an attrs model.

    :param name: name of the file in messages.
    :raises SettingsError: the text is invalid; names every invalid field and its
        remedy.
    """
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise _create_error(name, str(error), "write JSON with comments") from None
    try:
        return structure(value, model)
    except InvalidValueError as error:
        raise SettingsError(name=name, problems=error.problems) from None


def _create_error(name: str, message: str, remedy: str) -> SettingsError:
    problem = Problem(path="$", message=message, remedy=remedy)
    return SettingsError(name=name, problems=[problem])
