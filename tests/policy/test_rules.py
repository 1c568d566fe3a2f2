"""The five rules under unusual but valid orders of events, and tests that the checker can fail."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sumacpost.model import (
    Actions,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Outcome,
    Plan,
    Reject,
    RequestCancelled,
    Send,
    SendReason,
    TimerFired,
    UpdateKind,
)
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.pending_request import PendingRequest
from tests.support.builders import (
    START_MS,
    actions_of_type,
    attempt_ended,
    endpoint_list_update,
    gateway,
    only_action,
    request_arrived,
    settings,
)
from tests.support.player import Player, Step
from tests.support.rule_checker import RuleChecker, RuleViolationError

PLANS = (Plan(20, 30, ceiling_rate=20, ceiling_burst=30),)

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["ask", "ask", "ask", "end", "end", "end", "leave", "fleet", "timer", "restart"]
        ),
        st.integers(0, 10**6),
        st.integers(0, 400),
    ),
    min_size=5,
    max_size=60,
)


@given(STEPS, st.booleans())
@hypothesis_settings(derandomize=True, max_examples=300, deadline=None)
def test_rules_hold_under_odd_legal_orders(steps: list[Step], clients_mark_retries: bool) -> None:
    s = settings(plans=PLANS, clients_mark_retries=clients_mark_retries, counter=True)
    Player(Gateway(s, 3).handle, s, lambda: Gateway(s, 4).handle).play(steps)


def test_failed_poll_changes_no_endpoint_despite_its_entries() -> None:
    """Guard against a failed poll that makes a draining backend ready again.

    The test above found the case.
    """
    s = settings(plans=PLANS, clients_mark_retries=False, counter=True)
    steps = [("fleet", 7964, 209), ("end", 613, 205), ("fleet", 886, 343), ("ask", 412720, 125)]
    Player(Gateway(s, 3).handle, s).play(steps)


def test_backend_that_returns_to_the_list_is_used_again() -> None:
    g = gateway(1)
    g.handle(START_MS, endpoint_list_update(1, state=EndpointStatus.GONE, kind=UpdateKind.CHANGES))
    assert isinstance(g.handle(START_MS, request_arrived(1))[0], Reject)
    g.handle(START_MS, endpoint_list_update(1, kind=UpdateKind.CHANGES))
    assert only_action(Send, g.handle(START_MS, request_arrived(2))).backend == 1


def test_ceiling_starts_empty_and_is_kept_across_a_restart() -> None:
    s = settings(plans=(Plan(1000, 1000, ceiling_rate=10, ceiling_burst=20),))
    checker = RuleChecker(Gateway(s, 1).handle, s)
    checker.feed(START_MS, endpoint_list_update(1, 2, 3, 4))
    sent = 0
    for number in range(2000):
        now = START_MS + number * 5
        if number == 1000:
            checker.handle = Gateway(s, 2).handle
            checker.feed(now, endpoint_list_update(1, 2, 3, 4, kind=UpdateKind.CACHED))
        for send in actions_of_type(checker.feed(now, request_arrived(number)), Send):
            sent += 1
            checker.feed(now, attempt_ended(number, send.backend, elapsed_ms=1))
    assert 40 <= sent <= 50  # 5 units per second for 10 s


def gateway_without_endpoints() -> Gateway:
    return Gateway(settings(), 1)


@pytest.mark.parametrize("new_gateway", [gateway_without_endpoints, lambda: gateway(1)])
def test_events_about_unknown_requests_and_timers_are_ignored(
    new_gateway: Callable[[], Gateway],
) -> None:
    g = new_gateway()
    assert g.handle(START_MS, attempt_ended(77, 5)) == []
    assert g.handle(START_MS, RequestCancelled(5)) == []
    g.handle(START_MS, TimerFired(99))


def test_gateway_without_endpoints_rejects_and_serves_once_it_has_some() -> None:
    g = gateway_without_endpoints()
    g.handle(START_MS, endpoint_list_update(kind=UpdateKind.CACHED))
    (rejection,) = g.handle(START_MS, request_arrived(1))
    assert isinstance(rejection, Reject)
    g.handle(START_MS, endpoint_list_update(1, kind=UpdateKind.FULL))
    send = only_action(Send, g.handle(START_MS, request_arrived(2)))
    g.handle(START_MS + 1, RequestCancelled(2))
    assert g.handle(START_MS + 2, attempt_ended(2, send.backend, Outcome.RESET)) == []


class FaultyGateway(Gateway):
    """A gateway with one deliberate fault, which shows that the checker can fail."""

    fault = ""

    def _retry_or_conclude(
        self, now: float, request: PendingRequest, threshold: float = inf
    ) -> None:
        if self.fault == "never concludes":
            return
        if self.fault == "retries anything":
            backend = next(iter(self.endpoints.backends.values()))
            self._send(now, request, backend, SendReason.RETRY)
            return
        super()._retry_or_conclude(now, request, threshold)

    def handle(self, now: float, event: Event) -> Actions:
        is_list = isinstance(event, EndpointListUpdate)
        if self.fault == "ignores lists" and is_list and self.endpoints.backends:
            return []
        return super().handle(now, event)


@pytest.mark.parametrize("fault", ["never concludes", "retries anything", "ignores lists"])
def test_checker_fails_on_a_faulty_gateway(fault: str) -> None:
    g = FaultyGateway(settings(), 3)
    g.fault = fault
    player = Player(g.handle, settings())
    steps = [
        ("ask", 1003, 0),
        ("end", 7 * 1, 5),
        ("fleet", 0 | 15 << 5, 1),
        ("ask", 0, 300),
        ("end", 7, 1),
    ]
    with pytest.raises(RuleViolationError):
        player.play(steps)


def test_checker_fails_on_an_exceeded_ceiling() -> None:
    s = settings(plans=(Plan(1000, 1000, ceiling_rate=10, ceiling_burst=20),))
    without_ceiling = settings(plans=(Plan(1000, 1000),))
    checker = RuleChecker(Gateway(without_ceiling, 1).handle, s)
    checker.feed(START_MS, endpoint_list_update(*range(1, 60)))

    def exceed_the_ceiling() -> None:
        for number in range(30):
            checker.feed(START_MS, request_arrived(number))

    with pytest.raises(RuleViolationError, match="ceiling"):
        exceed_the_ceiling()
