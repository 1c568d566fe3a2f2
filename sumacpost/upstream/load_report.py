"""Load reports: what backends tell of their load with an answer."""

from __future__ import annotations

import re
from collections.abc import Sequence

_FIGURE = re.compile(rb"[ \t]*([a-z_]{1,32})=(\d{1,9}(?:\.\d{1,9})?)[ \t]*")
_LONGEST = 256  # bytes of a report; a longer one is none


class ReportReader:
    """Reads reports into the order of fields that the settings name."""

    def __init__(self, fields: Sequence[str]) -> None:
        self._fields = [field.encode() for field in fields]

    def read(self, text: bytes | None) -> tuple[float, ...]:
        """The figures; nothing if there is no report, or any part of it makes no sense."""
        if not text or not self._fields or len(text) > _LONGEST:
            return ()
        figures: dict[bytes, float] = {}
        for part in text.split(b","):
            if (found := _FIGURE.fullmatch(part)) is None or found[1] in figures:
                return ()
            figures[found[1]] = float(found[2])
        if any(field not in figures for field in self._fields):
            return ()
        return tuple(figures[field] for field in self._fields)
