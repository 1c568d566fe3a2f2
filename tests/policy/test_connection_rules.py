"""Whether a client connection may be closed, and which response is its last."""

from __future__ import annotations

import pytest

from sumacpost.policy.connection_rules import (
    CloseDenialReason,
    ConnectionSnapshot,
    close_denial_reason,
    is_last_response,
)


@pytest.mark.parametrize(
    ("snapshot", "reason"),
    [
        (ConnectionSnapshot(0, 0, False, False), None),
        (ConnectionSnapshot(1, 5, True, True), CloseDenialReason.RESPONSE_OWED),
        (ConnectionSnapshot(0, 5, True, True), CloseDenialReason.REQUEST_READ),
        (ConnectionSnapshot(0, 0, True, True), CloseDenialReason.REQUEST_INCOMPLETE),
        (ConnectionSnapshot(0, 0, False, True), CloseDenialReason.REQUEST_UNREAD),
    ],
)
def test_a_connection_is_closed_only_without_received_or_unanswered_requests(
    snapshot: ConnectionSnapshot, reason: CloseDenialReason | None
) -> None:
    assert close_denial_reason(snapshot) is reason


@pytest.mark.parametrize(
    ("keep_alive", "draining", "has_pending_requests", "last"),
    [
        (True, False, False, False),
        (False, False, False, True),
        (True, True, False, True),
        (True, True, True, False),
    ],
)
def test_the_last_response_is_one_without_keep_alive_or_the_last_of_a_drain(
    keep_alive: bool, draining: bool, has_pending_requests: bool, last: bool
) -> None:
    assert is_last_response(keep_alive, draining, has_pending_requests) is last
