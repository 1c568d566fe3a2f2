"""The division of the event loop's iterations among connections with waiting input."""

from __future__ import annotations

import asyncio
from math import ceil

import pytest

from sumacpost.turn_scheduler import (
    CALLBACK_BUDGET_S,
    IMMEDIATE_BUDGET_S,
    TurnScheduler,
)
from tests.support.event_loop import run, until

TURN_S = 0.0006  # how long each turn takes; not a divisor of the budgets
TURNS_PER_CALLBACK = ceil(CALLBACK_BUDGET_S / TURN_S)
IMMEDIATE_TURNS = ceil(IMMEDIATE_BUDGET_S / TURN_S)


class Turns:
    """A scheduler whose clock advances with each turn, and the names of those that took one."""

    def __init__(self) -> None:
        self.scheduler = TurnScheduler(lambda: len(self.taken) * TURN_S)
        self.taken: list[str] = []

    def request(self, connection: Connection) -> None:
        self.scheduler.request_turns(connection)

    async def taken_in_an_iteration(self) -> list[str]:
        """Run one iteration of the event loop and return the turns that were taken in it."""
        before = len(self.taken)
        await asyncio.sleep(0)
        return self.taken[before:]


class Connection:
    """A connection that needs a number of turns."""

    def __init__(self, name: str, needed_turns: int, turns: Turns) -> None:
        self.name = name
        self.needed_turns = needed_turns
        self.aborted = False
        self._taken = turns.taken

    def take_turn(self) -> bool:
        if not self.needed_turns:
            return False
        self.needed_turns -= 1
        self._taken.append(self.name)
        return self.needed_turns > 0

    def abort(self) -> None:
        self.aborted = True


class FailingConnection(Connection):
    """A connection whose turns fail."""

    def take_turn(self) -> bool:
        raise RuntimeError("planned failure")


def test_little_input_is_parsed_at_once() -> None:
    async def test() -> None:
        turns = Turns()
        turns.request(Connection("a", TURNS_PER_CALLBACK, turns))
        assert turns.taken == ["a"] * TURNS_PER_CALLBACK

    run(test())


def test_many_connections_take_turns_in_the_order_of_their_requests() -> None:
    # Guards against input of one client that is handled whole before that of the others.
    async def test() -> None:
        turns = Turns()
        turns.request(Connection("a", 3 * TURNS_PER_CALLBACK, turns))
        assert turns.taken == ["a"] * TURNS_PER_CALLBACK
        for name in "bc":
            turns.request(Connection(name, 2, turns))
        await until(lambda: len(turns.taken) == 3 * TURNS_PER_CALLBACK + 4)
        waited = turns.taken[TURNS_PER_CALLBACK:]
        assert waited[:7] == ["a", "b", "c", "a", "b", "c", "a"]

    run(test())


def test_an_iteration_is_limited_however_many_connections_are_read_in_it() -> None:
    # Guards against timers that wait for the input of hundreds of clients.
    async def test() -> None:
        turns = Turns()
        names = [str(number) for number in range(50)]
        for name in names:
            turns.request(Connection(name, 1, turns))
        assert turns.taken == names[:IMMEDIATE_TURNS]
        while len(turns.taken) < len(names):
            assert 0 < len(await turns.taken_in_an_iteration()) <= TURNS_PER_CALLBACK
        assert turns.taken == names

    run(test())


def test_a_connection_that_asks_twice_waits_once() -> None:
    async def test() -> None:
        turns = Turns()
        turns.request(Connection("a", TURNS_PER_CALLBACK + 1, turns))
        waiting = Connection("b", 3, turns)
        for _ in range(3):
            turns.request(waiting)
        await until(lambda: waiting.needed_turns == 0)
        await turns.taken_in_an_iteration()
        assert turns.taken.count("b") == 3

    run(test())


def test_a_failure_ends_its_connection_only(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        turns = Turns()
        turns.request(Connection("a", 2 * TURNS_PER_CALLBACK, turns))
        failing = FailingConnection("b", 1, turns)
        last = Connection("c", 1, turns)
        turns.request(failing)
        turns.request(last)
        await until(lambda: last.needed_turns == 0)
        assert failing.aborted
        assert "input not parsed" in caplog.text

    run(test())
