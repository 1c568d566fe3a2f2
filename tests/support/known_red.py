"""The list of known failures, KNOWN-RED.txt: tests that fail for a fault that is not yet fixed.

Each line names a test function, the cause and the issue, with | between. A listed test is run, and
its failure is reported without failing the run. Where it passes, it has to be taken off the list.
"""

from __future__ import annotations

from dataclasses import dataclass

from tests.support.paths import ROOT

LIST_PATH = ROOT / "KNOWN-RED.txt"
MAX_ENTRIES = 3


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list."""

    test: str  # a node id without parameters
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """Return the entries; ValueError if a line is malformed, or there are too many."""
    entries = []
    for line in text.splitlines():
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: not 'test | cause | issue': {line!r}")
        entries.append(KnownFailure(*fields))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"KNOWN-RED.txt: more than {MAX_ENTRIES} entries")
    return entries


def known_failures() -> list[KnownFailure]:
    """Return the list; empty where there is no file."""
    return parse(LIST_PATH.read_text()) if LIST_PATH.exists() else []
