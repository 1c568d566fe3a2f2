"""A customer's quota."""

from __future__ import annotations

from sumacpost.model import Plan, Reject, Send
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.quota import CustomerQuota
from tests.support.builders import START, fleet, gateway, settings
from tests.support.builders import request as arrival


def test_the_virtual_queue_of_clients_that_return_at_once_is_bounded() -> None:
    customer = CustomerQuota(Plan(rate=1, burst=4), 1, START)
    waits = [customer.return_time(START + n, 1.0, 0.0) for n in range(5000)]
    assert max(waits) <= 10_000 and len(customer.return_queue.appointments or ()) <= 20


def test_customers_that_came_once_are_soon_forgotten_and_empty_groups_go() -> None:
    g = Gateway(settings(plans=(Plan(rate=2, burst=8),)), 1)
    for n in range(1, 100):
        g.handle(START, fleet(n))
    assert len(g.endpoints.groups) == 2 and len(g.endpoints.subset.ready) == 1
    for n in range(3000):
        g.handle(START + n * 100, arrival(n, customer=n))
    assert len(g.customers.by_number) <= 210


def test_a_ceiling_of_a_new_customer_is_as_full_as_the_gateway_has_been_up() -> None:
    plan = Plan(rate=10, burst=20, ceiling_rate=20, ceiling_burst=40, ceiling_slack=4)
    g = Gateway(settings(plans=(plan,)), 1)
    g.handle(START, fleet(1, 2, 3))
    (just,) = g.handle(START, arrival(1, customer=1, units=2.0))
    assert isinstance(just, Reject)  # before its start it may have sent on anything
    later = g.handle(START + 10_000, arrival(2, customer=2, units=2.0))
    assert any(isinstance(action, Send) for action in later)
    assert g.customers.by_number[2].ceiling_tokens == 20 - 2  # its even part of the ceiling


def test_no_return_time_where_the_settings_give_none() -> None:
    for allowed in (True, False):
        g = gateway(plans=(Plan(rate=1, burst=1),), retry_after=allowed)
        refusals = [
            a
            for n in range(5)
            for a in g.handle(START, arrival(n, units=1.0))
            if isinstance(a, Reject)
        ]
        assert refusals and all((r.retry_after_ms > 0) is allowed for r in refusals)
