"""The list of known failures names existing tests, and is read strictly."""

from __future__ import annotations

import pytest

from tests.support.known_red import KnownFailure, known_failures, parse
from tests.support.paths import ROOT

LINE = "tests/test_x.py::test_y | a cause | issue 1"


def test_a_line_names_test_cause_and_issue() -> None:
    assert parse(LINE) == [KnownFailure("tests/test_x.py::test_y", "a cause", "issue 1")]


@pytest.mark.parametrize("text", ["tests/test_x.py::test_y", LINE + "\n\n", "\n".join([LINE] * 4)])
def test_a_malformed_or_long_list_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        parse(text)


def test_each_known_failure_is_a_test_of_this_tree() -> None:
    for known in known_failures():
        path, _, function = known.test.partition("::")
        assert f"def {function}(" in (ROOT / path).read_text()
