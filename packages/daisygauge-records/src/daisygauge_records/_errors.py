"""Errors that name the field at fault and the remedy."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen


@frozen(kw_only=True)
class Problem:
    """One fault of a document.

    :param path: where the fault is, for example ``spec.classes[0].worth``.
    :param message: what is wrong there.
    :param remedy: what the author has to change.
    """

    path: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.remedy}"


class DocumentError(ValueError):
    """A document that cannot be used.

    :param name: the record (``kind/id``) or file at fault.
    :param problems: every fault found, in the order of the document.
    """

    def __init__(self, *, name: str, problems: Sequence[Problem]) -> None:
        self.name = name
        self.problems = tuple(problems)
        super().__init__(
            f"{name}: " + " | ".join(str(problem) for problem in self.problems)
        )


class RecordError(DocumentError):
    """A published record that is refused; the last good one stays in force."""


class SettingsError(DocumentError):
    """A settings file that is refused."""


class InvalidValueError(ValueError):
    """A value that its field does not take.

    :param problems: the faults, with paths relative to the refused value.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__(" | ".join(str(problem) for problem in self.problems))

    @classmethod
    def of(cls, message: str, *, remedy: str, path: str = "") -> InvalidValueError:
        """Refuse a value for one reason."""
        return cls([Problem(path=path, message=message, remedy=remedy)])
