"""The choice of a backend, and the effect of slow or failed attempts on the estimates."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from sumacpost.model import Outcome, Plan, Send
from tests.support.builders import (
    START_MS,
    actions_of_type,
    attempt_ended,
    gateway,
    only_action,
    request_arrived,
)

NO_QUOTA = Plan(rate=0, burst=0)
NOT_IDEMPOTENT = 3  # index of the class in the default settings


def test_one_reset_inflates_one_class_of_its_backend_a_little() -> None:
    """Guard against malformed responses that outweigh all other observations.

    All backends send them alike, so the choice of a backend would be left to chance.
    """
    g = gateway(1, 2, plans=(NO_QUOTA,))
    send = only_action(Send, g.handle(START_MS + 1, request_arrived(1, request_class=0)))
    g.handle(START_MS + 100, attempt_ended(1, send.backend, Outcome.RESET))
    backend = g.endpoints.backends[send.backend]
    first, *others = [inflation.current(START_MS + 100) for inflation in backend.inflation_by_class]
    assert 1 < first <= 3
    assert others == [1.0] * len(others)


def test_one_timed_out_attempt_inflates_the_fleet_little() -> None:
    """Guard against a gateway that rejects all requests for seconds after one timeout.

    The timeout took 25 times the usual latency, and the estimate for the fleet followed it.
    """
    g = gateway(plans=(NO_QUOTA,))
    send = only_action(Send, g.handle(START_MS, request_arrived(1)))
    g.handle(START_MS + 4000, attempt_ended(1, send.backend, Outcome.TIMEOUT, elapsed_ms=4000.0))
    assert g.estimate.inflation.current(START_MS + 4000) < 2


def test_overloaded_fleet_gets_a_request_after_a_silence() -> None:
    """Guard against endless rejection: without attempts no response shows that overload is over."""
    g = gateway(plans=(NO_QUOTA,))
    g.estimate.inflation.observe(START_MS, 50.0, 1.0)
    sent = [
        bool(actions_of_type(g.handle(START_MS + 50 + n, request_arrived(n + 1)), Send))
        for n in (0, 1, 60, 61)
    ]
    assert sent[:2] == [False, False]
    assert sent[2]


def test_idle_fleet_is_used_after_any_failures() -> None:
    """Guard against estimates that prevent the attempts which would correct them.

    All responses are errors, and then no attempt is in flight.
    """
    g = gateway()
    for number in range(200):
        now = START_MS + number
        for send in actions_of_type(g.handle(now, request_arrived(number)), Send):
            error = attempt_ended(number, send.backend, Outcome.ERROR, elapsed_ms=5000)
            g.handle(now, replace(error, concluded=True))
    assert only_action(Send, g.handle(START_MS + 300, request_arrived(999)))


def test_silent_fleet_gets_a_bounded_number_of_requests() -> None:
    """Guard against queues in which requests wait for all of their latency objective."""
    g = gateway()
    sent = [
        send
        for n in range(2000)
        for send in actions_of_type(g.handle(START_MS + n, request_arrived(n)), Send)
    ]
    assert 4 <= len(sent) < 200


def test_overdue_attempt_counts_before_its_response() -> None:
    """Guard against an estimate that ignores overdue attempts until they end.

    After a crash, the other backends were overloaded before late responses showed it.
    """
    g = gateway(1, 2)
    send = only_action(Send, g.handle(START_MS, request_arrived(1, request_class=NOT_IDEMPOTENT)))
    later = START_MS + 2000
    overdue = g.endpoints.backends[send.backend]
    idle = g.endpoints.backends[3 - send.backend]
    expected_latency_ms = g.load_balancer.expected_latency_ms
    fleet_inflation = g.estimate.inflation.current(later)
    assert expected_latency_ms(later, overdue, g.pending[1], fleet_inflation) > 1000
    assert expected_latency_ms(later, idle, g.pending[1], fleet_inflation) < 1000


def test_requests_are_spread_over_equal_backends() -> None:
    g = gateway()
    sent = Counter[int]()
    for number in range(400):
        now = START_MS + number * 20
        send = only_action(Send, g.handle(now, request_arrived(number)))
        sent[send.backend] += 1
        g.handle(now + 10, attempt_ended(number, send.backend, elapsed_ms=150))
    assert min(sent[backend] for backend in (1, 2, 3, 4)) > 60


def test_failing_backend_is_avoided_and_later_tried_again() -> None:
    g = gateway()
    tried_at = []
    for number in range(2000):
        now = START_MS + number * 10
        send = only_action(
            Send, g.handle(now, request_arrived(number, request_class=NOT_IDEMPOTENT))
        )
        if send.backend == 1:
            tried_at.append(now)
            end = attempt_ended(number, send.backend, Outcome.ERROR, elapsed_ms=5)
        else:
            end = attempt_ended(number, send.backend, elapsed_ms=150)
        g.handle(now + 5, end)
    assert len(tried_at) < 60
    assert tried_at[-1] > START_MS + 5_000  # increasingly rarely while it keeps failing
