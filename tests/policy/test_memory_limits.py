"""The limits on the memory that peers make the ingress hold, and who gives it up."""

from __future__ import annotations

import pytest

from sumacpost.policy.memory_limits import (
    MB,
    MIN_CUSTOMERS,
    MIN_PEER_BYTES,
    MemoryLimits,
    ReleaseAction,
    holder_to_release,
    memory_limits,
    permits_request,
    release_action,
)

LIMITS = MemoryLimits(total=1000, requests=500)


@pytest.mark.parametrize("memory_mb", [24, 32, 38, 64, 192, 2048])
@pytest.mark.parametrize("sockets", [256, 1024])
def test_peers_may_use_a_part_of_the_memory_that_the_process_leaves(
    memory_mb: float, sockets: int
) -> None:
    limits = memory_limits(memory_mb, sockets)
    free_mb = memory_mb - 32 - 5 * sockets / 1024
    assert limits.total == max(MIN_PEER_BYTES, free_mb * MB / 2)
    assert limits.requests == limits.total / 2
    assert limits.customers == max(MIN_CUSTOMERS, free_mb * MB / 8 // 1024)


def test_a_request_is_accepted_up_to_the_limit_of_requests() -> None:
    assert permits_request(LIMITS, 400, 100)
    assert not permits_request(LIMITS, 401, 100)


def test_nobody_gives_up_memory_within_the_limit() -> None:
    assert holder_to_release(LIMITS, 1000, {"a": 1000}) is None


def test_the_largest_holder_gives_up_its_memory_first() -> None:
    assert holder_to_release(LIMITS, 1001, {"a": 300, "b": 400, "c": 301}) == "b"


def test_there_may_be_nobody_who_can_give_up_memory() -> None:
    empty: dict[str, int] = {}
    assert holder_to_release(LIMITS, 1001, empty) is None


@pytest.mark.parametrize(
    ("input_bytes", "waiting_bytes", "unread_bytes", "action"),
    [
        (5, 0, 0, ReleaseAction.REFUSE_INPUT),
        (5, 5, 5, ReleaseAction.REFUSE_INPUT),
        (4, 5, 5, ReleaseAction.DROP_RESPONSES),
        (4, 5, 6, ReleaseAction.ABORT),
    ],
)
def test_a_connection_is_aborted_only_if_its_client_leaves_responses_unread(
    input_bytes: int, waiting_bytes: int, unread_bytes: int, action: ReleaseAction
) -> None:
    # Guards against an abort of clients whose responses wait for a slow one before them.
    assert release_action(input_bytes, waiting_bytes, unread_bytes) is action
