"""Errors that state the invalid field and how to correct it."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen


@frozen(kw_only=True)
class Problem:
    """One invalid field of a document.

    :param path: path of the field, for example ``spec.classes[0].worth``.
    :param message: why the field is invalid.
    :param remedy: how the author can correct it.
    """

    path: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.remedy}"


class DocumentError(ValueError):
    """A document is invalid.

    :param name: the record (``kind/id``) or file that is invalid.
    :param problems: all problems found, in the order of the document.
    """

    def __init__(self, *, name: str, problems: Sequence[Problem]) -> None:
        self.name = name
        self.problems = tuple(problems)
        super().__init__(
            f"{name}: " + " | ".join(str(problem) for problem in self.problems)
        )


class RecordError(DocumentError):
    """A published record is refused; the last valid one stays in force."""


class SettingsError(DocumentError):
    """A settings file is refused."""


class InvalidValueError(ValueError):
    """A value is invalid for its field.

    :param problems: the problems, with paths relative to the value.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__(" | ".join(str(problem) for problem in self.problems))

    @classmethod
    def of(cls, message: str, *, remedy: str, path: str = "") -> InvalidValueError:
        """Create an error with a single problem."""
        return cls([Problem(path=path, message=message, remedy=remedy)])
