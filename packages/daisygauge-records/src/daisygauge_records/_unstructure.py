"""Conversion of effective models back into plain JSON values."""

from __future__ import annotations

import math
from typing import Any

import attrs

from ._structure import TAGS


def unstructure(value: Any) -> Any:
    """Convert a model into JSON values of schema version 2.

    Fields that are without limit (infinite) are left out, as they are when an
    author leaves them out.
    """
    if isinstance(value, (tuple, list)):
        return [unstructure(item) for item in value]
    if not attrs.has(type(value)):
        return value
    return _unstructure_model(value)


def _unstructure_model(model: Any) -> dict[str, Any]:
    tag = TAGS.get(type(model))
    made: dict[str, Any] = {} if tag is None else {"type": tag}
    for field in attrs.fields(type(model)):
        item = getattr(model, field.name)
        if isinstance(item, float) and math.isinf(item):
            continue
        made[field.name] = unstructure(item)
    return made
