"""What a backend reports in the headers of its response: its load, and the units it billed."""

from __future__ import annotations

import re
from collections.abc import Sequence

MAX_REPORT_BYTES = 256  # a longer report is ignored

_FIELD_PATTERN = re.compile(rb"[ \t]*([a-z_]{1,32})=(\d{1,9}(?:\.\d{1,9})?)[ \t]*")
_UNITS_PATTERN = re.compile(rb"\d{1,6}(\.\d{1,9})?")


class LoadReportReader:
    """Reads load reports into the order of fields that the settings name."""

    def __init__(self, fields: Sequence[str]) -> None:
        self._fields = [field.encode() for field in fields]

    def read(self, report: bytes | None) -> tuple[float, ...]:
        """Return the values of the fields; empty without a report, or if any part is invalid."""
        if not report or not self._fields or len(report) > MAX_REPORT_BYTES:
            return ()
        values: dict[bytes, float] = {}
        for part in report.split(b","):
            match = _FIELD_PATTERN.fullmatch(part)
            if match is None or match[1] in values:
                return ()
            values[match[1]] = float(match[2])
        if any(field not in values for field in self._fields):
            return ()
        return tuple(values[field] for field in self._fields)


def read_billed_units(header: bytes, max_units: float) -> float:
    """Return the units of a Billed-Units header; 0.0 if it is missing or no request can have them.

    The gateway takes 0.0 for not known.
    """
    if _UNITS_PATTERN.fullmatch(header) is None:
        return 0.0
    units = float(header)
    return units if units <= max_units else 0.0
