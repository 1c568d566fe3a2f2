"""Parsing of the load and the billed units that a backend reports in response headers."""

from __future__ import annotations

import re
from collections.abc import Sequence

MAX_REPORT_BYTES = 256  # longer reports are ignored

_FIELD_PATTERN = re.compile(rb"[ \t]*([a-z_]{1,32})=(\d{1,9}(?:\.\d{1,9})?)[ \t]*")
_UNITS_PATTERN = re.compile(rb"\d{1,6}(\.\d{1,9})?")


class LoadReportReader:
    """Reads load reports, with the values in the order of the fields in the settings."""

    def __init__(self, fields: Sequence[str]) -> None:
        self._fields = [field.encode() for field in fields]

    def read(self, report: bytes | None) -> tuple[float, ...]:
        """Return the values of the fields, or () if there is no report or any part is invalid."""
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
    """Return the units of a Billed-Units header.

    Return 0.0, which means unknown to the gateway, for a header that is missing or malformed or
    exceeds max_units, the most that a request can cost.
    """
    if _UNITS_PATTERN.fullmatch(header) is None:
        return 0.0
    units = float(header)
    return units if units <= max_units else 0.0
