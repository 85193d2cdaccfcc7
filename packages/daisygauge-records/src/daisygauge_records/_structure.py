"""Conversion of decoded JSON into attrs models, with strict type checks."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from types import UnionType
from typing import Any, TypeVar, Union, get_args, get_origin

import attrs
import cattrs
from cattrs.errors import (
    AttributeValidationNote,
    BaseValidationError,
    ForbiddenExtraKeysError,
)
from cattrs.gen import make_dict_structure_fn

from ._errors import InvalidValueError, Problem
from ._models import (
    FifoQueue,
    HandOff,
    LoadHandOff,
    NoHandOff,
    Placement,
    PublishedLoadPlacement,
    Queue,
    RendezvousPlacement,
    RoundRobinPlacement,
    WorthQueue,
)
from ._rules import check_rules

T = TypeVar("T")

TAGGED_UNIONS: dict[Any, dict[str, type]] = {
    Placement: {
        "rendezvous": RendezvousPlacement,
        "round-robin": RoundRobinPlacement,
        "published-load": PublishedLoadPlacement,
    },
    Queue: {"worth": WorthQueue, "fifo": FifoQueue},
    HandOff: {"load": LoadHandOff, "none": NoHandOff},
}
TAGS_BY_TYPE: dict[type, str] = {
    variant: tag
    for variants in TAGGED_UNIONS.values()
    for tag, variant in variants.items()
}

_SCALARS: dict[type, tuple[tuple[type, ...], str]] = {
    str: ((str,), "a text in quotes"),
    bool: ((bool,), "true or false"),
    int: ((int,), "a whole number without quotes"),
    float: ((int, float), "a number without quotes"),
}


def _create_type_error(value: object, *, expected: str) -> InvalidValueError:
    shown = type(value).__name__ if isinstance(value, (dict, list)) else repr(value)
    return InvalidValueError.of(f"{shown} has the wrong type", remedy=f"use {expected}")


def _structure_scalar(value: Any, kind: type) -> Any:
    accepted, expected = _SCALARS[kind]
    if isinstance(value, bool) and kind is not bool:
        raise _create_type_error(value, expected=expected)
    if not isinstance(value, accepted):
        raise _create_type_error(value, expected=expected)
    return kind(value)


def _structure_none(value: Any, _: Any) -> None:
    if value is not None:
        raise _create_type_error(value, expected="null")


def _structure_tagged(value: Any, union: Any) -> Any:
    variants = TAGGED_UNIONS[union]
    if not isinstance(value, dict):
        raise _create_type_error(value, expected='an object with a "type"')
    tag = value.get("type")
    if not isinstance(tag, str) or tag not in variants:
        raise InvalidValueError.of(
            f"{tag!r} is unknown", remedy=f"use one of {sorted(variants)}", path="type"
        )
    fields = {name: item for name, item in value.items() if name != "type"}
    return _CONVERTER.structure(fields, variants[tag])


def _make_model_hook(model: type) -> Callable[[Any, Any], Any]:
    structure_fields = make_dict_structure_fn(
        model,
        _CONVERTER,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
    )

    def structure_model(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise _create_type_error(value, expected="an object in braces")
        instance = structure_fields(value, model)
        problems = check_rules(instance)
        if problems:
            raise InvalidValueError(problems)
        return instance

    return structure_model


def _make_sequence_hook(kind: Any) -> Callable[[Any, Any], Any]:
    item_kind = get_args(kind)[0]
    sequence_type = get_origin(kind)

    def structure_sequence(value: Any, _: Any) -> Any:
        if not isinstance(value, list):
            raise _create_type_error(value, expected="a list in brackets")
        return sequence_type(_structure_items(value, item_kind))

    return structure_sequence


def _structure_items(values: list[Any], kind: Any) -> list[Any]:
    items = []
    problems: list[Problem] = []
    for index, value in enumerate(values):
        try:
            items.append(structure(value, kind, path=f"[{index}]"))
        except InvalidValueError as error:
            problems.extend(error.problems)
    if problems:
        raise InvalidValueError(problems)
    return items


def _is_sequence(kind: Any) -> bool:
    return get_origin(kind) in (tuple, list)


def _is_tagged_union(kind: Any) -> bool:
    return get_origin(kind) in (Union, UnionType) and kind in TAGGED_UNIONS


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in _SCALARS:
        converter.register_structure_hook(kind, _structure_scalar)
    converter.register_structure_hook(type(None), _structure_none)
    converter.register_structure_hook_factory(attrs.has, _make_model_hook)
    converter.register_structure_hook_factory(_is_sequence, _make_sequence_hook)
    converter.register_structure_hook_func(_is_tagged_union, _structure_tagged)
    return converter


_CONVERTER = _make_converter()


def structure(value: object, model: type[T], *, path: str = "") -> T:
    """Convert decoded JSON into a model.

    Strings aren't converted into numbers, unknown fields are refused, and all
    problems are reported, not only the first.

    :param path: path of the value in its document.
    :raises InvalidValueError: with path and remedy of every problem.
    """
    try:
        return _CONVERTER.structure(value, model)
    except (ValueError, BaseValidationError) as error:
        raise InvalidValueError(tuple(_collect_problems(error, path))) from None


def _collect_problems(error: BaseException, path: str) -> Iterator[Problem]:
    match error:
        case InvalidValueError():
            for problem in error.problems:
                yield attrs.evolve(problem, path=_join_path(path, problem.path))
        case ForbiddenExtraKeysError():
            for name in sorted(map(str, error.extra_fields)):
                yield _describe_unknown_field(_join_path(path, name), error.cl)
        case BaseExceptionGroup():
            for inner in error.exceptions:
                yield from _collect_problems(
                    inner, _join_path(path, _field_name(inner))
                )
        case KeyError():
            yield Problem(path=path, message="the field is missing", remedy="add it")
        case ValueError():
            yield Problem(path=path, message=str(error), remedy="correct the value")
        case _:
            raise error


def _describe_unknown_field(path: str, model: type) -> Problem:
    known = ", ".join(field.name for field in attrs.fields(model))
    return Problem(
        path=path,
        message="the field is unknown",
        remedy=f"remove it or use one of: {known}",
    )


def _field_name(error: BaseException) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return note.name
    return ""


def _join_path(path: str, name: str) -> str:
    if not path or not name:
        return path or name
    return f"{path}{name}" if name.startswith("[") else f"{path}.{name}"
