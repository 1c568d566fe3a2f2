"""How a backend treats single attempts, and how often it does what."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random


class Behaviour(Enum):
    """How a backend treats one attempt."""

    SERVE = "serve"
    SLOW = "slow"  # served after half a second to a second and a half
    HANG = "hang"  # no response, the connection stays open
    ERROR = "error"  # 500
    NOT_STARTED = "not_started"  # 503 with Not-Started: 1
    UNBOUNDED = "unbounded"  # served with no length; the connection's end ends the response
    UNBOUNDED_IN_PIECES = "unbounded_in_pieces"
    UNBOUNDED_RESET = "unbounded_reset"  # no length, half of the body, then a reset
    TRUNCATED = "truncated"  # less than the stated length, then the connection ends
    RESET = "reset"  # a reset with no response
    LATE_RESET = "late_reset"  # the same after half a second to a second and a half
    NOISE = "noise"  # bytes that are no HTTP
    IN_PIECES = "in_pieces"
    SERVE_AND_CLOSE = "serve_and_close"  # Connection: close


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
    """Return a chooser of one behaviour."""
    return lambda: behaviour


def weighted(random: Random, weights: dict[Behaviour, float]) -> Chooser:
    """Return a chooser that draws behaviours by weight."""
    kinds = list(weights)
    return lambda: random.choices(kinds, list(weights.values()))[0]
