"""Use that is reported to the counter."""

from __future__ import annotations

from typing import Any

import pytest

from sumacpost.model import (
    AddToCounter,
    CounterReplied,
    Fail,
    Outcome,
    Plan,
    Reject,
    RequestCancelled,
    Send,
)
from tests.support.builders import START, gateway
from tests.support.builders import request as arrival

COUNTED: dict[str, Any] = {"counter": True, "counter_timeout_ms": 50.0, "plans": (Plan(1, 10),)}


@pytest.mark.parametrize(
    ("outcome", "again"),
    [(Outcome.RESET, True), (Outcome.CONNECT_FAILED, True), (Outcome.TIMEOUT, False)],
)
def test_use_that_was_called_in_vain_is_reported_again(outcome: Outcome, again: bool) -> None:
    g = gateway(**COUNTED)
    g.quota_sync.counter_call_rate = 1.0
    calls: list[AddToCounter] = []
    number = 0
    while not calls:
        number += 1
        calls = [
            a for a in g.handle(START, arrival(number, units=1.0)) if isinstance(a, AddToCounter)
        ]
    (customer,) = g.customers.by_number.values()
    before = customer.unreported_units
    g.handle(START + 50, CounterReplied(calls[0].name, outcome, 50.0, 0.0))
    assert (customer.unreported_units > before) is again


def test_calls_lost_with_one_connection_are_one_sign_of_a_crowded_counter() -> None:
    g = gateway(**COUNTED)
    g.quota_sync.counter_call_rate = 1.0
    names = []
    for number in range(40):
        names += [
            a.name
            for a in g.handle(START, arrival(number, customer=number, units=4.0))
            if isinstance(a, AddToCounter)
        ]
    assert len(names) > 2
    for name in names:
        g.handle(START + 50, CounterReplied(name, Outcome.RESET, 50.0, 0.0))
    assert g.quota_sync.counter_call_rate == pytest.approx(0.7)


@pytest.mark.parametrize("deadline_first", [True, False])
def test_a_counters_answer_and_the_deadline_in_one_turn_give_one_answer(
    deadline_first: bool,
) -> None:
    g = gateway(counter=True, counter_timeout_ms=900.0, plans=(Plan(rate=1, burst=3),), gateways=4)
    (asked,) = g.handle(START, arrival(1, units=1.0, width=4, left=1000.0))
    assert isinstance(asked, AddToCounter)
    events = [RequestCancelled(1), CounterReplied(asked.name, Outcome.OK, 900.0, asked.amount)]
    told = [
        a for e in (events if deadline_first else events[::-1]) for a in g.handle(START + 1000, e)
    ]
    assert sum(isinstance(a, Send | Reject | Fail) for a in told) == (not deadline_first)
    assert not g.pending and not any(
        call.request for calls in g.quota_sync.unanswered.values() for call in calls
    )
