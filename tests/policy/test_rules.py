"""The five rules under unusual but valid orders of events, and tests that the checker can fail."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sumacpost.model import (
    Action,
    Actions,
    AttemptEnded,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Outcome,
    Plan,
    Reject,
    RequestCancelled,
    Send,
    SendReason,
    Settings,
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
from tests.support.rule_checker import Handler, RuleChecker, RuleViolationError

PLANS = (Plan(20, 30, ceiling_rate=20, ceiling_burst=30),)

Step = tuple[str, int, int]  # kind of step, number that selects its details, pause before it in ms

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


@dataclass(frozen=True, slots=True)
class InFlight:
    """An attempt that has not ended."""

    request: int
    attempt: int
    backend: int
    sent_at: float


class Player:
    """Plays steps to a gateway through the checker; every attempt ends by its deadline."""

    def __init__(
        self, handle: Handler, settings: Settings, restart: Callable[[], Handler] | None = None
    ) -> None:
        self.checker = RuleChecker(handle, settings)
        self.restart_gateway = restart
        self.now = START_MS
        self.request_count = 0
        self.in_flight: list[InFlight] = []
        self.checker.feed(self.now, endpoint_list_update(1, 2, 3, 4))

    def play(self, steps: list[Step]) -> None:
        """Play the steps, end all attempts in flight, and check that all requests are concluded."""
        for kind, pick, pause_ms in steps:
            self.now += pause_ms
            self.time_out()
            self.play_one(kind, pick)
        for _ in range(20):
            self.now += 1
            for _ in range(len(self.in_flight)):
                deadline = self.checker.requests[self.in_flight[0].request].deadline
                self.end(0, Outcome.TIMEOUT if deadline <= self.now else Outcome.OK)
        self.checker.finish()

    def play_one(self, kind: str, pick: int) -> None:
        """Play one step at the current time."""
        play_step: dict[str, Callable[[int], None]] = {
            "ask": self.send_request,
            "end": self.end_random,
            "leave": self.cancel_request,
            "fleet": self.update_endpoints,
            "timer": self.fire_timer,
            "restart": self.restart,
        }
        play_step[kind](pick)

    def start_attempts(self, actions: list[Action]) -> None:
        for send in actions_of_type(actions, Send):
            attempt = len(self.checker.requests[send.request].attempts) - 1
            self.in_flight.append(InFlight(send.request, attempt, send.backend, self.now))

    def end(self, index: int, outcome: Outcome) -> None:
        ending = self.in_flight.pop(index)
        tracked = self.checker.requests[ending.request]
        concluded = tracked.concluded or outcome is Outcome.OK
        elapsed_ms = self.now - ending.sent_at
        event = AttemptEnded(
            ending.request, ending.attempt, ending.backend, outcome, elapsed_ms, concluded
        )
        self.start_attempts(self.checker.feed(self.now, event))

    def time_out(self) -> None:
        """End the attempts whose deadlines have passed, at the time of the deadline."""
        for index in reversed(range(len(self.in_flight))):
            deadline = self.checker.requests[self.in_flight[index].request].deadline
            if deadline <= self.now:
                now = self.now
                self.now = deadline
                self.end(index, Outcome.TIMEOUT)
                self.now = now

    def send_request(self, pick: int) -> None:
        self.request_count += 1
        event = request_arrived(
            self.request_count,
            pick % 4,
            pick % 3,
            units=1 + pick % 4,
            time_left_ms=500 + pick % 4000,
        )
        self.start_attempts(self.checker.feed(self.now, event))

    def end_random(self, pick: int) -> None:
        if self.in_flight:
            self.end(pick % len(self.in_flight), list(Outcome)[pick // 7 % 8])

    def cancel_request(self, pick: int) -> None:
        if self.request_count:
            self.checker.feed(self.now, RequestCancelled(1 + pick % self.request_count))

    def update_endpoints(self, pick: int) -> None:
        state = list(EndpointStatus)[pick % 3]
        kind = list(UpdateKind)[pick // 3 % 4]
        ids = [backend for backend in (1, 2, 3, 4) if pick >> (backend + 4) & 1]
        up = self.now if pick % 5 == 0 else 0.0
        self.checker.feed(self.now, endpoint_list_update(*ids, state=state, kind=kind, up=up))

    def fire_timer(self, pick: int) -> None:
        self.checker.feed(self.now, TimerFired(pick % 2))

    def restart(self, pick: int) -> None:
        """Replace the gateway; clients have to retry the requests that were pending."""
        if self.restart_gateway is None:
            return
        self.in_flight.clear()
        for tracked in self.checker.requests.values():
            tracked.concluded = True
        self.checker.handle = self.restart_gateway()
        ready = [n for n in self.checker.locations if n not in self.checker.draining_since]
        self.checker.feed(self.now, endpoint_list_update(*ready, kind=UpdateKind.CACHED))


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
