"""The oracle for drains while discovery is slow."""

from __future__ import annotations

import pytest

from fleetlab.soak.attempt_oracles import CHANGE_KNOWN_S, check_drains_heard_of
from fleetlab.soak.records import ListChange
from fleetlab.soak.schedule import FaultKind
from tests.soak.builders import SITE, attempt, evidence, served_request

DRAIN_AT_S = 10.0
ALLOWED_S = CHANGE_KNOWN_S + SITE.drain_grace_s + 0.2  # with the slack and the permitted pause
SLOW = {FaultKind.LIST_SLOW.value: 1}
DRAIN = ListChange("", "s-1", "leaving", DRAIN_AT_S)
RETURN = ListChange("", "s-1", "active", DRAIN_AT_S + ALLOWED_S)


@pytest.mark.parametrize(
    ("after_s", "changes", "faults", "violations"),
    [
        (ALLOWED_S - 0.01, [DRAIN], SLOW, 0),
        (ALLOWED_S + 0.01, [DRAIN], SLOW, 1),
        # Whether the ingress was notified does not matter.
        (ALLOWED_S + 0.01, [DRAIN, ListChange("n0", "s-1", "leaving", 18.0)], SLOW, 1),
        (ALLOWED_S + 0.01, [DRAIN, RETURN], SLOW, 0),
        (ALLOWED_S + 0.01, [], SLOW, 0),
        # A silent agent can't be reached.
        (ALLOWED_S + 0.01, [DRAIN], {FaultKind.LIST_SILENT.value: 1}, 0),
    ],
)
def test_a_drain_has_to_be_heard_of_in_time(
    after_s: float, changes: list[ListChange], faults: dict[str, int], violations: int
) -> None:
    found = evidence(
        served_request(),
        attempts=[attempt(DRAIN_AT_S + after_s)],
        list_changes=changes,
        faults=faults,
    )
    assert len(list(check_drains_heard_of(found))) == violations
