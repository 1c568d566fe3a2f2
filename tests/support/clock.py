"""A monotonic clock that a test sets."""

from __future__ import annotations

import pytest


class Clock:
    """A monotonic clock for the program, set by the test.

    Attributes:
        now: the time, in seconds.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr("time.monotonic", lambda: self.now)
