"""Quotas shared through the counter: waiting requests, reports of use, names and the call rate."""

from __future__ import annotations

from typing import Any

import pytest

from sumacpost.model import (
    Action,
    AddToCounter,
    CounterReplied,
    DenialReason,
    Event,
    Fail,
    Outcome,
    Plan,
    Reject,
    RequestCancelled,
    Send,
    SetTimer,
)
from sumacpost.policy.backend import InFlightAttempt
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.quota import CustomerQuota
from tests.support.builders import (
    START_MS,
    actions_of_type,
    attempt_ended,
    gateway,
    only_action,
    request_arrived,
)

PLAN = Plan(rate=8, burst=16)
BACKENDS = range(1, 30)
REPORT_BATCH = 0.08 * PLAN.burst
# One gateway of 200, whose share of the quota is too small for one request.
SMALL_SHARE: dict[str, Any] = {
    "plans": (PLAN,),
    "counter": True,
    "counter_timeout_ms": 30.0,
    "gateways": 200,
}
WITH_COUNTER: dict[str, Any] = {
    "counter": True,
    "counter_timeout_ms": 50.0,
    "plans": (Plan(1, 10),),
}


def ask(g: Gateway, number: int, now: float = START_MS, **changes: Any) -> AddToCounter:
    """Send a request that exceeds the share; return the counter call that it waits for."""
    (call,) = g.handle(now, request_arrived(number, gateway_spread=200, **changes))
    assert isinstance(call, AddToCounter)
    return call


def gateway_with_a_waiting_request() -> tuple[Gateway, AddToCounter]:
    g = gateway(*BACKENDS, **SMALL_SHARE)
    return g, ask(g, 1, units=4.0)


def reply(
    g: Gateway,
    call: AddToCounter,
    total: float,
    outcome: Outcome = Outcome.OK,
    now: float = START_MS + 3,
) -> list[Action]:
    return g.handle(now, CounterReplied(call.name, outcome, 3.0, total))


def total_of_an_empty_balance(g: Gateway, call: AddToCounter, now: float = START_MS + 3) -> float:
    customer = g.customers.by_number[call.name & (2**33 - 1)]
    return PLAN.burst + g.quota_sync.current_name(now, customer).age_ms / 1000 * PLAN.rate


def overload_backends(g: Gateway) -> None:
    """Add so much outstanding work to every backend that any class of requests is rejected."""
    for backend in g.endpoints.backends.values():
        backend.outstanding_work_ms = 1e6
        backend.in_flight[0, 0] = InFlightAttempt(START_MS, 100.0, 1.0, 0, START_MS + 1e6)


def waiting_requests(g: Gateway) -> list[object]:
    calls = [call for queue in g.quota_sync.pending_calls.values() for call in queue]
    return [call.request for call in calls if call.request]


# ---- requests that wait for the counter


def test_request_is_admitted_if_the_shared_balance_covers_it() -> None:
    g, call = gateway_with_a_waiting_request()
    before = total_of_an_empty_balance(g, call) - 6.0
    assert actions_of_type(reply(g, call, before + call.amount), Send)


def test_request_beyond_the_shared_balance_is_rejected_and_its_units_are_returned() -> None:
    g, call = gateway_with_a_waiting_request()
    actions = reply(g, call, total_of_an_empty_balance(g, call) - 1.0 + call.amount)
    rejection = only_action(Reject, actions)
    assert rejection.retry_after_ms > 0
    returned = sum(added.amount for added in actions_of_type(actions, AddToCounter))
    assert returned == pytest.approx(-call.amount, abs=REPORT_BATCH)


def test_requests_after_an_empty_balance_are_rejected_immediately() -> None:
    g, call = gateway_with_a_waiting_request()
    reply(g, call, total_of_an_empty_balance(g, call) + call.amount)
    first_actions = [
        g.handle(START_MS + 4, request_arrived(n, gateway_spread=200))[0] for n in range(2, 22)
    ]
    assert len(actions_of_type(first_actions, Reject)) == 20


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.REJECTED, Outcome.RESET])
def test_requests_that_wait_together_do_not_pass_the_ceiling_together(outcome: Outcome) -> None:
    # Guards against a ceiling that is checked on arrival only (review/9).
    plan = Plan(rate=8, burst=16, ceiling_rate=20, ceiling_burst=2000)
    g = gateway(*BACKENDS, **(SMALL_SHARE | {"plans": (plan,)}))
    now = START_MS + 1e6  # the share of the ceiling is full: 10 units
    calls = [ask(g, number, now, units=4.0) for number in range(5)]
    sent = []
    for call in calls:
        sent += actions_of_type(reply(g, call, 0.0, outcome, now + 100), Send)
    assert len(sent) == 2
    assert g.customers.by_number[calls[0].name & (2**33 - 1)].ceiling_tokens >= 0


def test_units_of_a_request_that_the_ceiling_denies_after_its_wait_are_returned() -> None:
    plan = Plan(rate=8, burst=16, ceiling_rate=20, ceiling_burst=1000)
    g = gateway(*BACKENDS, **(SMALL_SHARE | {"plans": (plan,)}))
    now = START_MS + 1e6  # the share of the ceiling is full: 5 units
    first, second = (ask(g, number, now, units=4.0) for number in range(2))
    customer = g.customers.by_number[first.name & (2**33 - 1)]
    before = customer.unreported_units
    assert actions_of_type(reply(g, first, 0.0, Outcome.TIMEOUT, now + 100), Send)
    assert customer.unreported_units == pytest.approx(before)
    rejection = only_action(Reject, reply(g, second, 0.0, Outcome.TIMEOUT, now + 100))
    assert rejection.reason is DenialReason.CEILING
    assert customer.unreported_units == pytest.approx(before - 4.0)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.REJECTED])
def test_last_known_balance_decides_if_the_counter_fails(outcome: Outcome) -> None:
    """Guard against double counting: units that may have been added are not reported again."""
    g, call = gateway_with_a_waiting_request()
    # No further calls, so that unreported units can be checked.
    g.quota_sync.counter_call_rate = 0.0
    unreported = g.customers.by_number[9].unreported_units
    assert actions_of_type(reply(g, call, 0.0, outcome), Send)
    not_added = 0.0 if outcome is Outcome.TIMEOUT else call.amount
    assert g.customers.by_number[9].unreported_units == pytest.approx(unreported + not_added)


def test_request_cancelled_while_it_waits_uses_nothing() -> None:
    g, call = gateway_with_a_waiting_request()
    g.handle(START_MS + 1, RequestCancelled(1))
    actions = reply(g, call, total_of_an_empty_balance(g, call) - 10.0 + call.amount)
    assert not actions_of_type(actions, Send)
    returned = sum(added.amount for added in actions_of_type(actions, AddToCounter))
    assert returned == pytest.approx(-call.amount, abs=REPORT_BATCH)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_units_of_a_cancelled_request_are_returned_if_its_call_may_have_been_added(
    outcome: Outcome,
) -> None:
    # Guards against units that are counted for a request that was never sent.
    g, call = gateway_with_a_waiting_request()
    g.quota_sync.counter_call_rate = 0.0
    unreported = g.customers.by_number[9].unreported_units
    g.handle(START_MS + 1, RequestCancelled(1))
    assert not actions_of_type(reply(g, call, 0.0, outcome), Send)
    assert g.customers.by_number[9].unreported_units == pytest.approx(unreported - 4.0)


def test_overloaded_fleet_rejects_before_the_counter_is_asked() -> None:
    """Guard against useless counter calls for requests that overload rejects afterwards.

    At 40 gateways such a request took two calls: one for its units and one to return them.
    """
    g = gateway(*BACKENDS, **SMALL_SHARE)
    overload_backends(g)
    (rejection,) = g.handle(START_MS, request_arrived(1, gateway_spread=200))
    assert isinstance(rejection, Reject)
    assert rejection.retry_after_ms > 0
    assert not g.quota_sync.pending_calls


def test_granted_request_is_sent_even_if_the_fleet_is_overloaded_by_then() -> None:
    g, call = gateway_with_a_waiting_request()
    overload_backends(g)
    actions = reply(g, call, 4.0)
    assert actions_of_type(actions, Send)
    assert not actions_of_type(actions, Reject)


def test_request_that_could_not_wait_for_the_reply_is_decided_immediately() -> None:
    """Guard against a request that waits past its deadline.

    With 20 ms left, a client waited for a late counter reply.
    """
    g = gateway(**SMALL_SHARE)
    (decision,) = g.handle(
        START_MS, request_arrived(1, gateway_spread=200, units=4.0, time_left_ms=20.0)
    )
    assert isinstance(decision, Send | Reject)


@pytest.mark.parametrize("deadline_first", [True, False])
def test_counter_reply_and_deadline_in_one_turn_give_one_response(deadline_first: bool) -> None:
    g = gateway(counter=True, counter_timeout_ms=900.0, plans=(Plan(rate=1, burst=3),), gateways=4)
    (call,) = g.handle(
        START_MS, request_arrived(1, units=1.0, gateway_spread=4, time_left_ms=1000.0)
    )
    assert isinstance(call, AddToCounter)
    events: list[Event] = [
        RequestCancelled(1),
        CounterReplied(call.name, Outcome.OK, 900.0, call.amount),
    ]
    if not deadline_first:
        events.reverse()
    actions = [action for event in events for action in g.handle(START_MS + 1000, event)]
    responses = [action for action in actions if isinstance(action, Send | Reject | Fail)]
    assert len(responses) == (not deadline_first)
    assert not g.pending
    assert not waiting_requests(g)


# ---- reports of use


@pytest.mark.parametrize(
    ("outcome", "reported_again"),
    [
        (Outcome.REJECTED, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.TIMEOUT, False),
        (Outcome.RESET, False),
    ],
)
def test_use_is_reported_again_only_if_its_call_was_surely_not_applied(
    outcome: Outcome, reported_again: bool
) -> None:
    # Guards against use that is counted twice after a silence of the counter (review/10).
    g = gateway(**WITH_COUNTER)
    g.quota_sync.counter_call_rate = 1.0
    calls: list[AddToCounter] = []
    number = 0
    while not calls:
        number += 1
        calls = actions_of_type(
            g.handle(START_MS, request_arrived(number, units=1.0)), AddToCounter
        )
    (customer,) = g.customers.by_number.values()
    before = customer.unreported_units
    g.handle(START_MS + 50, CounterReplied(calls[0].name, outcome, 50.0, 0.0))
    assert (customer.unreported_units > before) is reported_again


def test_calls_lost_with_one_connection_are_one_sign_of_congestion() -> None:
    g = gateway(**WITH_COUNTER)
    g.quota_sync.counter_call_rate = 1.0
    names = []
    for number in range(40):
        actions = g.handle(START_MS, request_arrived(number, customer=number, units=4.0))
        names += [call.name for call in actions_of_type(actions, AddToCounter)]
    assert len(names) > 2
    for name in names:
        g.handle(START_MS + 50, CounterReplied(name, Outcome.RESET, 50.0, 0.0))
    assert g.quota_sync.counter_call_rate == pytest.approx(0.7)


def test_reports_of_200_gateways_are_correct_on_average() -> None:
    """Guard against use below one batch that no gateway reports: each rounds at random."""
    used = 0.0
    reported = 0.0
    for index in range(200):
        g = gateway(seed=index, **{**SMALL_SHARE, "index": index})
        used += 0.5
        actions = g.handle(START_MS, request_arrived(1, gateway_spread=200, units=0.5))
        reported += sum(call.amount for call in actions_of_type(actions, AddToCounter))
    assert reported == pytest.approx(used, rel=0.2)


@pytest.mark.parametrize(("counter_call_rate", "calls"), [(0.5, 0), (1.0, 1)])
def test_nothing_is_returned_to_an_empty_balance_while_the_counter_is_congested(
    counter_call_rate: float, calls: int
) -> None:
    """Guard against congestion by returns: with them, a quarter of all calls was rejected."""
    g = gateway(plans=(PLAN,), gateways=4, counter=True, counter_timeout_ms=50.0)
    g.quota_sync.counter_call_rate = counter_call_rate
    call = only_action(
        AddToCounter, g.handle(START_MS, request_arrived(1, gateway_spread=4, units=8.0))
    )
    age_ms = g.quota_sync.current_name(START_MS, g.customers.by_number[9]).age_ms
    used_up = PLAN.burst + age_ms / 1000 * PLAN.rate + call.amount + 2.0
    actions = g.handle(START_MS + 10, CounterReplied(call.name, Outcome.OK, 10.0, used_up))
    assert actions_of_type(actions, Reject)
    returns = actions_of_type(actions, AddToCounter)
    assert len(returns) == calls
    assert all(returned.amount < 0 for returned in returns)
    # Units that are not returned are kept for later use at this gateway.
    kept = g.customers.by_number[9].unreported_units < -6.0
    assert kept == (calls == 0)


# ---- names, totals and the rate of calls


def test_replies_for_the_previous_name_and_without_a_call_are_ignored() -> None:
    g = gateway(*BACKENDS, **SMALL_SHARE)
    age_ms = g.quota_sync.current_name(START_MS, CustomerQuota(PLAN, 200, START_MS, 9)).age_ms
    name_change = START_MS + 60_000 - age_ms
    call = ask(g, 2, name_change - 1, units=4.0)
    assert reply(g, AddToCounter(77, 0.0, 0.0), 5.0) == []
    # The total of the previous name says nothing about the current one.
    assert actions_of_type(reply(g, call, 1e6, now=name_change + 2), Send)
    assert reply(g, call, 5.0) == []


def test_two_concurrent_corrections_of_a_total_leave_it_correct() -> None:
    """Guard against corrections that trigger each other; 16,484 calls were wasted on them.

    The later correction is undone, and undoing it is not corrected again.
    """
    total = 0.0
    gateways = [gateway(seed=n, **{**SMALL_SHARE, "index": n}) for n in range(5)]
    waiting = [(g, ask(g, 1, units=4.0)) for g in gateways]
    calls = 0
    while waiting:
        g, call = waiting.pop(0)
        total += call.amount
        calls += 1
        waiting += [
            (g, further) for further in actions_of_type(reply(g, call, total), AddToCounter)
        ]
    age_ms = (
        gateways[0].quota_sync.current_name(START_MS + 3, gateways[0].customers.by_number[9]).age_ms
    )
    balance = PLAN.burst - total + age_ms / 1000 * PLAN.rate
    assert PLAN.burst - 21 <= balance <= PLAN.burst + 1e-6
    assert calls <= 16


def test_counter_that_times_out_is_called_less_often_until_it_recovers() -> None:
    g = gateway(*range(1, 300), **SMALL_SHARE)

    def count_calls(numbers: range, outcome: Outcome, **changes: Any) -> int:
        """Count the calls for these requests.

        Every request that is sent is answered: an overloaded fleet would reject without a call.
        """
        latency_ms = 30 if outcome is Outcome.TIMEOUT else 3
        calls = 0
        for number in numbers:
            actions = g.handle(
                START_MS, request_arrived(number, 0, number, gateway_spread=200, **changes)
            )
            for call in actions_of_type(actions, AddToCounter):
                actions += g.handle(
                    START_MS, CounterReplied(call.name, outcome, latency_ms, call.amount)
                )
                calls += 1
            for send in actions_of_type(actions, Send):
                g.handle(START_MS, attempt_ended(number, send.backend))
        return calls

    # Calls until the first timeouts.
    assert count_calls(range(200), Outcome.TIMEOUT, units=4.0) < 40
    assert count_calls(range(1000, 1200), Outcome.TIMEOUT, units=4.0) < 20
    count_calls(range(2000, 9000), Outcome.OK)
    assert g.quota_sync.counter_call_rate == 1.0


def test_quota_sync_sets_no_timer() -> None:
    g = gateway(*BACKENDS, **SMALL_SHARE)
    for n in range(50):
        assert not actions_of_type(
            g.handle(START_MS + n, request_arrived(n, customer=n, gateway_spread=200)), SetTimer
        )
