"""Conversion of effective models into values that can be encoded as JSON."""

from __future__ import annotations

import math
from typing import Any

import attrs

from ._structure import TAGS_BY_TYPE


def unstructure(value: Any) -> Any:
    """Convert a model into JSON values of schema version 2.

    Infinite numbers are omitted, as an author omits a field that has no limit.
    """
    if isinstance(value, (tuple, list)):
        return [unstructure(item) for item in value]
    if not attrs.has(type(value)):
        return value
    return _unstructure_model(value)


def _unstructure_model(model: Any) -> dict[str, Any]:
    tag = TAGS_BY_TYPE.get(type(model))
    values: dict[str, Any] = {} if tag is None else {"type": tag}
    for field in attrs.fields(type(model)):
        item = getattr(model, field.name)
        if isinstance(item, float) and math.isinf(item):
            continue
        values[field.name] = unstructure(item)
    return values
