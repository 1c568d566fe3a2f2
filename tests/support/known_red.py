"""The list of known failures, KNOWN-RED.txt: tests that fail for a fault that is not yet fixed.

Each line names a test function, the command and seed that show the failure, what was seen, and the
issue, with | between. What was seen quotes in backquotes what the report of the failure contains:
a listed test is run, and a failure whose report has all the quotes doesn't fail the run. Any other
failure of it does: a crash or a time-out is not the failure that is known. Where the test passes,
it has to be taken off the list.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from tests.support.paths import ROOT

LIST_PATH = ROOT / "KNOWN-RED.txt"
MAX_ENTRIES = 3
_QUOTE = re.compile(r"`([^`]+)`")


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list."""

    test: str  # a node id without parameters
    command: str  # that shows the failure, with its seed
    seen: str  # with quotes of the report in backquotes
    issue: str

    def matches(self, report: str) -> bool:
        """Return whether the report of a failure is that of the known one."""
        return all(quote in report for quote in _QUOTE.findall(self.seen))


def parse(text: str) -> list[KnownFailure]:
    """Return the entries; ValueError if a line is malformed, or there are too many."""
    entries = []
    for line in text.splitlines():
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields) or not _QUOTE.search(fields[2]):
            raise ValueError(
                f"KNOWN-RED.txt: not 'test | command and seed | seen, with a `quote` | issue': "
                f"{line!r}"
            )
        entries.append(KnownFailure(*fields))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"KNOWN-RED.txt: more than {MAX_ENTRIES} entries")
    return entries


def known_failures() -> list[KnownFailure]:
    """Return the list; empty where there is no file."""
    return parse(LIST_PATH.read_text()) if LIST_PATH.exists() else []
