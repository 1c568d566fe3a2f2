"""DIBA's virtual queue of rejected clients, compared with results calculated by hand."""

from __future__ import annotations

import pytest

from sumacpost.model import Plan, Reject, Send
from sumacpost.policy.quota import CustomerQuota
from tests.support.builders import (
    START_MS,
    actions_of_type,
    gateway,
    gateway_with_customer,
    request_arrived,
)

PLAN = Plan(rate=8, burst=16)


@pytest.fixture
def customer() -> CustomerQuota:
    """A customer of four gateways, at one of them: its share is 2 units per second."""
    return CustomerQuota(PLAN, 4, START_MS)


def queue_length(customer: CustomerQuota) -> int:
    return len(customer.return_queue.appointments or ())


def test_returns_are_appended_while_the_queue_has_its_desired_rate(
    customer: CustomerQuota,
) -> None:
    """With 2 units per request and sigma 0 there is one return per second."""
    waits = [customer.schedule_return(START_MS, 2.0, 0.0) for _ in range(3)]
    # 1st: length 1, now + 1000 - end (now) = 1000, not < 1000: append at end + 1000.
    # 2nd: length 2, now + 2000 - (now + 1000) = 1000: append. The 3rd likewise.
    assert waits == pytest.approx([1000, 2000, 3000])
    assert customer.return_queue.end_of_queue_time == pytest.approx(START_MS + 3000)
    assert queue_length(customer) == 3


def test_return_is_inserted_when_the_rate_has_risen(customer: CustomerQuota) -> None:
    for _ in range(3):
        customer.schedule_return(START_MS, 2.0, 0.0)
    customer.quota_share = 1.0  # 8 units per second: a return every 250 ms
    # Length 4: now + 1000 - (now + 3000) < 250: insert at now + 1000, the end is unchanged.
    assert customer.schedule_return(START_MS, 2.0, 0.0) == pytest.approx(1000)
    assert customer.return_queue.end_of_queue_time == pytest.approx(START_MS + 3000)


def test_end_of_queue_in_the_past_becomes_now(customer: CustomerQuota) -> None:
    customer.schedule_return(START_MS, 2.0, 0.0)
    assert customer.schedule_return(START_MS + 5000, 2.0, 0.0) == pytest.approx(1000)
    assert customer.return_queue.end_of_queue_time == pytest.approx(START_MS + 6000)


def test_spread_of_units_raises_the_rate_of_returns(customer: CustomerQuota) -> None:
    customer.return_queue.record_units(1.0)
    # One response: sigma counts as 0; 2 units per second / 1 unit.
    assert customer.schedule_return(START_MS, 5.0, 0.0) == pytest.approx(500)
    customer.return_queue.record_units(3.0)
    # mu 2, sigma 1: 2 / 2 x 1.5 per second; length 2: append one interval after the end at 500.
    assert customer.schedule_return(START_MS, 5.0, 0.0) == pytest.approx(500 + 2000 / 3)


def test_queue_length_is_never_negative() -> None:
    g, customer = gateway_with_customer(4.0, PLAN, clients_mark_retries=True)
    g.handle(START_MS, request_arrived(1, gateway_spread=4, retry=True))
    assert queue_length(customer) == 0


def test_due_appointments_leave_the_queue(customer: CustomerQuota) -> None:
    for _ in range(3):
        customer.schedule_return(START_MS, 2.0, 0.0)
    customer.schedule_return(START_MS + 2000, 2.0, 0.0)
    assert queue_length(customer) == 2  # the third and the new one


@pytest.mark.parametrize(("clients_mark_retries", "left"), [(True, 0), (False, 1)])
def test_marked_retry_removes_an_appointment_and_an_unmarked_one_does_not(
    clients_mark_retries: bool, left: int
) -> None:
    g = gateway(plans=(PLAN,), clients_mark_retries=clients_mark_retries)
    customer = CustomerQuota(PLAN, 2, START_MS)
    g.customers.by_number[9] = customer
    customer.tokens = 0.0
    assert actions_of_type(g.handle(START_MS, request_arrived(1)), Reject)
    assert queue_length(customer) == 1
    customer.tokens = 8.0
    assert actions_of_type(g.handle(START_MS + 10, request_arrived(2, retry=True)), Send)
    assert queue_length(customer) == left


def test_missed_appointment_expires(customer: CustomerQuota) -> None:
    """Guard against places in the queue that clients which never return occupy for ever."""
    customer.schedule_return(START_MS, 2.0, 2000.0)
    customer.schedule_return(START_MS + 2999, 2.0, 2000.0)
    assert queue_length(customer) == 2
    customer.schedule_return(START_MS + 9000, 2.0, 2000.0)
    assert queue_length(customer) == 1


def test_queue_of_clients_that_retry_immediately_is_bounded() -> None:
    customer = CustomerQuota(Plan(rate=1, burst=4), 1, START_MS)
    waits = [customer.schedule_return(START_MS + n, 1.0, 0.0) for n in range(5000)]
    assert max(waits) <= 10_000
    assert queue_length(customer) <= 20
