"""The order and age of connections in a queue."""

from __future__ import annotations

from typing import cast

import pytest

from sumacpost.server.connection import ClientConnection
from sumacpost.server.connection_queue import ConnectionQueue
from tests.support.clock import Clock

# The queue calls no method of a connection, so plain objects are sufficient.
FIRST, SECOND, THIRD, FOURTH = (cast(ClientConnection, object()) for _ in range(4))


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


@pytest.fixture
def queue(clock: Clock) -> ConnectionQueue[ClientConnection]:
    """Return a queue of three connections added at 100 s, 101 s and 102 s."""
    queue: ConnectionQueue[ClientConnection] = ConnectionQueue()
    for connection in (FIRST, SECOND, THIRD):
        queue.add(connection)
        clock.now += 1
    return queue


def test_oldest_connection_is_the_one_added_first(queue: ConnectionQueue[ClientConnection]) -> None:
    assert queue.oldest() == FIRST


def test_oldest_connection_is_returned_only_if_added_before_the_limit(
    queue: ConnectionQueue[ClientConnection],
) -> None:
    assert queue.oldest(before=100.0) is None
    assert queue.oldest(before=100.5) == FIRST


def test_connection_added_again_moves_to_the_end(queue: ConnectionQueue[ClientConnection]) -> None:
    queue.add(FIRST)
    assert len(queue) == 3
    assert queue.oldest() == SECOND


def test_discarded_connection_is_no_longer_in_the_queue(
    queue: ConnectionQueue[ClientConnection],
) -> None:
    queue.discard(FIRST)
    assert FIRST not in queue
    assert queue.oldest() == SECOND


def test_discarding_an_absent_connection_does_nothing(
    queue: ConnectionQueue[ClientConnection],
) -> None:
    queue.discard(FOURTH)
    assert len(queue) == 3
