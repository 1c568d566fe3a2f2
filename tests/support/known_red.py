"""The list of known failures, KNOWN-RED.txt: tests that fail because of a fault not yet fixed.

Each line has four fields, separated by |: a test function, the command and seed that reproduce the
failure, what was seen, and the issue. What was seen contains quotes of the failure's report, in
backquotes. A listed test is run, and its failure does not fail the run if the report contains all
the quotes. Any other failure of the test does: a crash or a timeout is not the known failure. A
test that passes has to be removed from the list.
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
    """One line of the list.

    Attributes:
        test: the node id of the test, without parameters.
        command: the command that reproduces the failure, with its seed.
        seen: what was seen, with quotes of the report in backquotes.
        issue: the issue of the fault.
    """

    test: str
    command: str
    seen: str
    issue: str

    def matches(self, report: str) -> bool:
        """Return whether a failure's report contains all quotes of the known failure."""
        return all(quote in report for quote in _QUOTE.findall(self.seen))


def parse(text: str) -> list[KnownFailure]:
    """Return the entries.

    Raise ValueError if a line is malformed, or if there are more than MAX_ENTRIES.
    """
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
    """Return the entries of KNOWN-RED.txt, or an empty list if there is no such file."""
    return parse(LIST_PATH.read_text()) if LIST_PATH.exists() else []
