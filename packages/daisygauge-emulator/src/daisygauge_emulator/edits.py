"""Edits of a copy of the sources that disable one mechanism of the product."""

from __future__ import annotations

from pathlib import Path

from attrs import frozen


class StaleEditError(ValueError):
    """The sources no longer contain the text that an edit replaces."""


@frozen(kw_only=True)
class Edit:
    """A replacement of source text, applied to all its occurrences in a file.

    :param file: path relative to ``packages``.
    :param old: text that must occur in the file.
    """

    file: str
    old: str
    new: str

    def apply(self, packages: Path) -> None:
        """Apply the edit to a copy of the packages.

        :raises StaleEditError: the file doesn't contain the old text.
        """
        path = packages / self.file
        original = path.read_text()
        if self.old not in original:
            raise StaleEditError(
                f"{self.file} no longer contains the text to replace, "
                f"update the edit: {self.old}"
            )
        path.write_text(original.replace(self.old, self.new))
