"""Which connections the registry proposes to close, and how many it examines for that."""

from __future__ import annotations

import pytest

from sumacpost.policy.connection_rules import CloseCause
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection_registry import (
    MAX_BUSY_S,
    MAX_ENDED_PER_CALL,
    MAX_EXAMINED,
    REQUEST_TIMEOUT_S,
    WAITING_DIVISOR,
    ConnectionRegistry,
)
from tests.support.clock import Clock
from tests.support.registered_connection import FakeConnection, open_connections

MANY = 10_000


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


def times_asked(connections: list[FakeConnection]) -> int:
    return sum(len(connection.asked) for connection in connections)


def test_no_connection_is_closed_against_the_policy() -> None:
    # Guards against a close of the oldest connection after all that were examined had to stay.
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(MAX_EXAMINED)
    waiting = open_connections(registry, MAX_EXAMINED // 2, may_close=False)
    idle = open_connections(registry, MAX_EXAMINED // 2, may_close=False)
    for connection in idle:
        registry.mark_idle(connection)
    assert not registry.make_room()
    assert len(registry.open) == MAX_EXAMINED
    assert not any(connection.aborted for connection in waiting + idle)


def test_a_connection_that_may_be_closed_is_found_behind_others_that_may_not() -> None:
    # Guards against new clients that are kept out by the same connections again and again.
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(5 * MAX_EXAMINED)
    open_connections(registry, 4 * MAX_EXAMINED, may_close=False)
    (silent,) = open_connections(registry, 1)
    rounds = next(count for count in range(1, 10) if registry.make_room())
    assert rounds <= 5
    assert silent not in registry.open


@pytest.mark.parametrize("may_close", [True, False])
def test_making_room_examines_few_of_many_connections(may_close: bool) -> None:
    # Guards against a cost of each new connection that grows with the number of connections.
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(MANY)
    connections = open_connections(registry, MANY, may_close)
    for _ in range(10):
        registry.make_room()
    assert times_asked(connections) <= 10 * (1 if may_close else 4 * MAX_EXAMINED)


@pytest.mark.parametrize("may_close", [True, False])
def test_time_limits_end_few_of_many_connections_in_a_call(clock: Clock, may_close: bool) -> None:
    # Guards against a callback that ends all connections whose time limits pass together.
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(MANY)
    connections = open_connections(registry, MANY, may_close)
    clock.now += 1.5 * REQUEST_TIMEOUT_S
    assert registry.enforce_timeouts()
    assert times_asked(connections) <= MAX_ENDED_PER_CALL
    while registry.enforce_timeouts():
        pass
    assert times_asked(connections) == MANY
    assert len(registry.waiting) == (0 if may_close else MANY)


def test_the_idle_limit_does_not_close_a_connection_that_may_not_be_closed() -> None:
    # Guards against an idle connection that is closed although its next request has arrived.
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(8)
    longest_idle, next_one, latest = open_connections(registry, 3)
    longest_idle.may_close = False
    for connection in (longest_idle, next_one, latest):
        registry.mark_idle(connection)
    assert longest_idle.asked == next_one.asked == [CloseCause.IDLE_LIMIT]
    assert latest.asked == []


def test_a_connection_whose_input_waits_for_its_turn_is_not_examined() -> None:
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(2 * WAITING_DIVISOR)
    connection, other, *_ = open_connections(registry, 2 * WAITING_DIVISOR, may_close=False)
    registry.mark_input(connection, waits_for_turn=True)
    registry.make_room()
    registry.mark_input(connection, waits_for_turn=False)
    registry.make_room()
    assert (len(connection.asked), len(other.asked)) == (1, 2)


def test_connections_that_have_sent_nothing_are_closed_before_incomplete_and_idle_ones() -> None:
    # Guards against clients that write slowly and lose their place to silent ones.
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(2 * WAITING_DIVISOR)
    idle, incomplete, *silent = open_connections(registry, 2 * WAITING_DIVISOR)
    registry.mark_idle(idle)
    registry.mark_input(incomplete, waits_for_turn=False)
    closed = []
    for _ in range(len(silent) - 1):
        assert registry.make_room()
        closed += [c for c in (idle, incomplete, *silent) if c.asked and c not in closed]
    assert closed == silent[:-1]


def test_the_connection_that_is_busy_longest_ends_if_no_other_makes_room(clock: Clock) -> None:
    # Guards against clients that send without a break and keep all others out.
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(3)
    flooding, usual, parsed = open_connections(registry, 3)
    registry.mark_input(flooding, waits_for_turn=True)
    flooding.may_close = False
    registry.mark_input(parsed, waits_for_turn=True)
    clock.now += 1.1 * MAX_BUSY_S
    registry.mark_busy(usual)
    registry.mark_busy(parsed)
    registry.mark_waiting(flooding)  # after a response
    registry.mark_input(flooding, waits_for_turn=True)
    assert not registry.make_room()
    assert (flooding.finished, usual.finished, parsed.finished) == (True, False, False)
    assert not registry.make_room()
    assert (usual.finished, parsed.finished) == (False, True)
    assert not flooding.aborted


def test_an_evicted_connection_stays_out_of_the_queues() -> None:
    # Guards against connections that are kept for ever because they are marked after their end.
    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(1)
    (connection,) = open_connections(registry, 1)
    registry.connection_closed(connection)
    registry.mark_waiting(connection)
    registry.mark_input(connection, waits_for_turn=True)
    registry.mark_busy(connection)
    registry.mark_idle(connection)
    registry.mark_closing(connection)
    queues = (
        registry.waiting,
        registry.incomplete,
        registry.busy,
        registry.idle,
        registry.closing,
    )
    assert [len(queue) for queue in queues] == [0] * 5
    assert registry.is_empty


def test_all_connections_are_told_to_end_though_one_fails() -> None:
    class FailingConnection(FakeConnection):
        def finish(self, reason: CloseReason) -> None:
            raise ValueError

    registry: ConnectionRegistry[FakeConnection] = ConnectionRegistry(2)
    failing, usual = FailingConnection(), FakeConnection()
    registry.finish([failing, usual], CloseReason.DRAIN_DEADLINE)
    assert failing.aborted
    assert usual.finished
