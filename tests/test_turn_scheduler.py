"""The division of the event loop's iterations among connections with waiting input."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.turn_scheduler import TURNS_PER_ITERATION, TurnScheduler
from tests.support.event_loop import run, until


class Connection:
    """A connection that needs a number of turns, and notes each in a list shared by all."""

    def __init__(self, name: str, needed_turns: int, taken: list[str]) -> None:
        self.name = name
        self.needed_turns = needed_turns
        self.aborted = False
        self._taken = taken

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


async def taken_in_an_iteration(taken: list[str]) -> list[str]:
    """Run one iteration of the event loop and return the turns that were taken in it."""
    before = len(taken)
    await asyncio.sleep(0)
    return taken[before:]


def test_little_input_is_parsed_at_once() -> None:
    async def test() -> None:
        taken: list[str] = []
        TurnScheduler().request_turns(Connection("a", TURNS_PER_ITERATION, taken))
        assert taken == ["a"] * TURNS_PER_ITERATION

    run(test())


def test_many_connections_take_turns_in_the_order_of_their_requests() -> None:
    # Guards against input of one client that is handled whole before that of the others.
    async def test() -> None:
        taken: list[str] = []
        turns = TurnScheduler()
        turns.request_turns(Connection("a", 3 * TURNS_PER_ITERATION, taken))
        taken.clear()
        for name in "bc":
            turns.request_turns(Connection(name, 2, taken))
        assert taken == []
        await until(lambda: len(taken) == 2 * TURNS_PER_ITERATION + 4)
        assert taken[:7] == ["a", "b", "c", "a", "b", "c", "a"]

    run(test())


def test_an_iteration_is_limited_however_many_connections_are_read_in_it() -> None:
    # Guards against timers that wait for the input of hundreds of clients.
    async def test() -> None:
        taken: list[str] = []
        turns = TurnScheduler()
        for number in range(50):
            turns.request_turns(Connection(str(number), 1, taken))
        assert taken == [str(number) for number in range(TURNS_PER_ITERATION)]
        while len(taken) < 50:
            assert 0 < len(await taken_in_an_iteration(taken)) <= TURNS_PER_ITERATION
        assert taken == [str(number) for number in range(50)]

    run(test())


def test_a_connection_that_asks_twice_waits_once() -> None:
    async def test() -> None:
        taken: list[str] = []
        turns = TurnScheduler()
        turns.request_turns(Connection("a", TURNS_PER_ITERATION + 1, taken))
        waiting = Connection("b", 3, taken)
        for _ in range(3):
            turns.request_turns(waiting)
        await until(lambda: waiting.needed_turns == 0)
        await taken_in_an_iteration(taken)
        assert taken.count("b") == 3

    run(test())


def test_a_failure_ends_its_connection_only(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        taken: list[str] = []
        turns = TurnScheduler()
        turns.request_turns(Connection("a", 2 * TURNS_PER_ITERATION, taken))
        failing = FailingConnection("b", 1, taken)
        last = Connection("c", 1, taken)
        turns.request_turns(failing)
        turns.request_turns(last)
        await until(lambda: last.needed_turns == 0)
        assert failing.aborted
        assert "input not parsed" in caplog.text

    run(test())
