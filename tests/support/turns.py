"""A clock with which turns use up their time after a fixed number of them."""

from __future__ import annotations

import itertools

from sumacpost.turn_scheduler import CALLBACK_BUDGET_S, TurnScheduler


def limit_turns(turns: TurnScheduler, per_callback: int = 4) -> None:
    """Let the scheduler give this number of turns in a callback, however fast the machine is."""
    turns._clock = itertools.count(0.0, CALLBACK_BUDGET_S / per_callback).__next__
