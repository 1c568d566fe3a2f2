"""When an attempt is overdue, in a fleet whose backends are not equally fast."""

from __future__ import annotations

from sumacpost.model import Send, SetTimer
from tests.support.builders import (
    IDEMPOTENT_CLASS,
    START_MS,
    actions_of_type,
    attempt_ended,
    gateway,
    request_arrived,
)

FAST_MS, SLOW_MS = 50.0, 600.0
SLOW = 3
BATCH = 16  # requests that arrive at once, so many that slow backends get some


def overdue_times_ms(service_ms: dict[int, float], batches: int) -> list[tuple[int, float]]:
    """Return the backend of each attempt that was the only one there, and when it was overdue.

    Each batch is answered before the next one arrives.
    """
    g = gateway(*service_ms, hedging=True, classes=(IDEMPOTENT_CLASS,))
    attempts = []
    for batch in range(batches):
        now = START_MS + batch * 2 * max(service_ms.values())
        sent: list[Send] = []
        for number in range(batch * BATCH, (batch + 1) * BATCH):
            actions = g.handle(now, request_arrived(number))
            sends = actions_of_type(actions, Send)
            timers = actions_of_type(actions, SetTimer)
            alone = [s.backend not in [other.backend for other in sent] for s in sends]
            sent += sends
            attempts += [
                (s.backend, timer.after_ms)
                for s, timer, is_alone in zip(sends, timers, alone, strict=False)
                if is_alone
            ]
        for send in sorted(sent, key=lambda send: service_ms[send.backend]):
            elapsed_ms = service_ms[send.backend]
            ended = attempt_ended(send.request, send.backend, elapsed_ms=elapsed_ms)
            g.handle(now + elapsed_ms, ended)
    return attempts


def test_a_slow_backend_is_not_overdue_while_it_is_as_fast_as_usual() -> None:
    """Guard against one mean service time, after which each attempt at a slow backend is hedged."""
    attempts = overdue_times_ms({1: FAST_MS, 2: FAST_MS, SLOW: SLOW_MS}, 400)
    at_slow = [after_ms for backend, after_ms in attempts if backend == SLOW]
    assert len(at_slow) > 20
    assert min(at_slow[-10:]) > SLOW_MS
    at_fast = [after_ms for backend, after_ms in attempts if backend != SLOW]
    assert max(at_fast[-10:]) < SLOW_MS


def test_about_equal_backends_are_overdue_at_the_same_time() -> None:
    attempts = overdue_times_ms({1: FAST_MS, 2: FAST_MS, 3: 1.2 * FAST_MS}, 200)
    times_ms = [after_ms for _, after_ms in attempts[-30:]]
    assert max(times_ms) < 1.05 * min(times_ms)
