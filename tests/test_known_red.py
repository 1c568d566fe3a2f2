"""The list of known failures refers to existing tests, is validated, and hides no others."""

from __future__ import annotations

import pytest

from tests.support.known_red import KnownFailure, known_failures, parse
from tests.support.paths import ROOT

LINE = "tests/test_x.py::test_y | pytest tests/test_x.py, seed 7 | `rule='x'`, once | issue 1"


def test_a_line_names_test_command_failure_and_issue() -> None:
    assert parse(LINE) == [
        KnownFailure(
            "tests/test_x.py::test_y",
            "pytest tests/test_x.py, seed 7",
            "`rule='x'`, once",
            "issue 1",
        )
    ]


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_x.py::test_y",
        LINE.replace("`", ""),  # does not identify a failure
        LINE + "\n\n",
        "\n".join([LINE] * 4),
    ],
)
def test_a_malformed_or_long_list_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        parse(text)


@pytest.mark.parametrize(
    ("report", "known"),
    [
        ("E  AssertionError: Violation(rule='x', ...)", True),
        ("E  AssertionError: Violation(rule='y', ...)", False),
        ("E  TimeoutError", False),
    ],
)
def test_an_entry_describes_its_own_failure_and_no_other(report: str, known: bool) -> None:
    assert parse(LINE)[0].matches(report) is known


def test_each_known_failure_is_a_test_of_this_tree() -> None:
    for known in known_failures():
        path, _, function = known.test.partition("::")
        assert f"def {function}(" in (ROOT / path).read_text()
