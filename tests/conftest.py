"""Fixtures that tests of several packages share."""

from __future__ import annotations

import pytest

from tests.support.connection_gate import ConnectionGate


@pytest.fixture
def connection_gate(monkeypatch: pytest.MonkeyPatch) -> ConnectionGate:
    """Hold up connections to backends until the test opens the gate."""
    return ConnectionGate(monkeypatch)
