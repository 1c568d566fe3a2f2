"""The behaviours of a backend towards single attempts, and their probabilities."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random


class Behaviour(Enum):
    """The behaviour of a backend towards one attempt."""

    SERVE = "serve"
    SLOW = "slow"  # served after 0.5 to 1.5 s
    HANG = "hang"  # no response, and the connection stays open
    ERROR = "error"  # status 500
    NOT_STARTED = "not_started"  # status 503 with Not-Started: 1
    UNBOUNDED = "unbounded"  # served without a length; the response ends with the connection
    UNBOUNDED_IN_PIECES = "unbounded_in_pieces"  # like UNBOUNDED, but written in two pieces
    UNBOUNDED_RESET = "unbounded_reset"  # half of a body without a length, then a reset
    TRUNCATED = "truncated"  # a body shorter than the stated length, then a close
    RESET = "reset"  # a reset without a response
    LATE_RESET = "late_reset"  # a reset without a response after 0.5 to 1.5 s
    NOISE = "noise"  # bytes that are not HTTP
    IN_PIECES = "in_pieces"  # served in two pieces
    SERVE_AND_CLOSE = "serve_and_close"  # served with Connection: close, then closed


UNBOUNDED = frozenset({Behaviour.UNBOUNDED, Behaviour.UNBOUNDED_IN_PIECES})
LATE = frozenset({Behaviour.SLOW, Behaviour.LATE_RESET})

NORMAL_WEIGHTS = {
    Behaviour.SERVE: 0.86,
    Behaviour.SLOW: 0.02,
    Behaviour.IN_PIECES: 0.03,
    Behaviour.SERVE_AND_CLOSE: 0.03,
    Behaviour.UNBOUNDED: 0.02,
    Behaviour.NOT_STARTED: 0.02,
    Behaviour.ERROR: 0.01,
    Behaviour.RESET: 0.01,
}
FAILING_WEIGHTS = {
    Behaviour.SERVE: 0.3,
    Behaviour.ERROR: 0.2,
    Behaviour.RESET: 0.15,
    Behaviour.NOISE: 0.1,
    Behaviour.TRUNCATED: 0.1,
    Behaviour.NOT_STARTED: 0.15,
}
LATE_RESET_WEIGHTS = {
    Behaviour.SERVE: 0.3,
    Behaviour.LATE_RESET: 0.7,
}
UNBOUNDED_WEIGHTS = {
    Behaviour.UNBOUNDED: 0.4,
    Behaviour.UNBOUNDED_IN_PIECES: 0.4,
    Behaviour.UNBOUNDED_RESET: 0.2,
}

Chooser = Callable[[], Behaviour]


def always(behaviour: Behaviour) -> Chooser:
    """Return a chooser that always selects the same behaviour."""
    return lambda: behaviour


def weighted(random: Random, weights: dict[Behaviour, float]) -> Chooser:
    """Return a chooser that draws behaviours at random, with the given weights."""
    kinds = list(weights)
    return lambda: random.choices(kinds, list(weights.values()))[0]
