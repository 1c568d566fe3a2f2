"""A customer's quota: its bucket, its share of the plan, and the table of customers."""

from __future__ import annotations

import pytest

from sumacpost.model import Action, AddToCounter, CounterReplied, Outcome, Plan, Reject, Send
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.quota import CustomerQuota
from tests.support.builders import (
    IDEMPOTENT_CLASS,
    START_MS,
    actions_of_type,
    attempt_ended,
    endpoint_list_update,
    gateway,
    gateway_with_customer,
    only_action,
    request_arrived,
    settings,
)

PLAN = Plan(rate=8, burst=16)


@pytest.fixture
def customer() -> CustomerQuota:
    """A customer of four gateways, at one of them."""
    return CustomerQuota(PLAN, 4, START_MS)


# ---- the bucket


def test_bucket_starts_with_an_even_share_of_the_burst(customer: CustomerQuota) -> None:
    assert customer.quota_share == 0.25
    assert customer.tokens == 4.0
    customer.tokens = 0.0
    customer.refill(START_MS + 500)  # 8 / 4 units per second for half a second
    assert customer.tokens == pytest.approx(1.0)
    customer.refill(START_MS + 60_000)
    assert customer.tokens == pytest.approx(4.0)


@pytest.mark.parametrize(
    ("tokens", "retry", "kind"), [(1.3, False, Reject), (1.3, True, Send), (1.5, False, Send)]
)
def test_new_requests_leave_the_reserve_to_marked_retries(
    tokens: float, retry: bool, kind: type[Action]
) -> None:
    """Guard against new requests that leave no tokens for marked retries.

    The reserve is a tenth of 4 units.
    """
    g, _ = gateway_with_customer(tokens, PLAN, clients_mark_retries=True)
    assert actions_of_type(
        g.handle(START_MS, request_arrived(1, gateway_spread=4, retry=retry)), kind
    )


@pytest.mark.parametrize(("tokens", "kind"), [(4.0, Send), (3.9, Reject)])
def test_full_bucket_admits_a_larger_request_without_a_counter(
    tokens: float, kind: type[Action]
) -> None:
    g, _ = gateway_with_customer(tokens, PLAN)
    assert actions_of_type(
        g.handle(START_MS, request_arrived(1, gateway_spread=4, units=6.0)), kind
    )


def test_requests_beyond_the_bucket_are_rejected_immediately_with_a_return_time() -> None:
    g = gateway(*range(1, 30), plans=(PLAN,))
    actions = [
        action for n in range(20) for action in g.handle(START_MS, request_arrived(n, units=1.0))
    ]
    rejections = actions_of_type(actions, Reject)
    assert len(actions_of_type(actions, Send)) == 8
    assert len(rejections) == 12
    assert all(rejection.retry_after_ms > 0 for rejection in rejections)


@pytest.mark.parametrize("allowed", [True, False])
def test_rejection_gives_a_return_time_only_if_the_settings_allow_it(allowed: bool) -> None:
    g = gateway(plans=(Plan(rate=1, burst=1),), retry_after=allowed)
    actions = [
        action for n in range(5) for action in g.handle(START_MS, request_arrived(n, units=1.0))
    ]
    rejections = actions_of_type(actions, Reject)
    assert rejections
    assert all((rejection.retry_after_ms > 0) is allowed for rejection in rejections)


def test_actual_units_are_settled_on_the_bucket() -> None:
    g = gateway(plans=(PLAN,), settled_after=True)
    send = only_action(Send, g.handle(START_MS, request_arrived(1, units=2.0)))
    customer = g.customers.by_number[9]
    assert customer.tokens == pytest.approx(6.0)
    unreported = customer.unreported_units
    g.handle(START_MS, attempt_ended(1, send.backend, units=5.0))
    assert customer.tokens == pytest.approx(3.0)
    assert customer.unreported_units == pytest.approx(unreported + 3.0)


@pytest.mark.parametrize(
    ("plan", "sends"),
    [
        (Plan(1, 2, over_quota_weight=0.3), 20),
        (Plan(1, 2, over_quota_weight=0.3, over_quota_cost=0.4), 1),
    ],
)
def test_requests_beyond_quota_are_sent_only_if_their_weight_exceeds_their_cost(
    plan: Plan, sends: int
) -> None:
    g = gateway(*range(1, 60), plans=(plan,), classes=(IDEMPOTENT_CLASS,))
    actions = [action for n in range(20) for action in g.handle(START_MS, request_arrived(n))]
    assert len(actions_of_type(actions, Send)) == pytest.approx(sends, abs=1)


def test_ceiling_of_a_new_customer_fills_from_the_start_of_the_gateway() -> None:
    plan = Plan(rate=10, burst=20, ceiling_rate=20, ceiling_burst=40, ceiling_slack=4)
    g = Gateway(settings(plans=(plan,)), 1)
    g.handle(START_MS, endpoint_list_update(1, 2, 3))
    # The gateway doesn't know what it forwarded before its start, so the ceiling is empty.
    (action,) = g.handle(START_MS, request_arrived(1, customer=1, units=2.0))
    assert isinstance(action, Reject)
    assert actions_of_type(
        g.handle(START_MS + 10_000, request_arrived(2, customer=2, units=2.0)), Send
    )
    assert g.customers.by_number[2].ceiling_tokens == 20 - 2  # its even share of the ceiling


def test_a_customer_that_was_dropped_does_not_get_its_ceiling_again() -> None:
    # Guards against a customer that returns with a full ceiling as others have taken its entry.
    plan = Plan(rate=100, burst=200, ceiling_rate=10, ceiling_burst=40)
    g = Gateway(settings(plans=(plan,)), 1, max_customers=5)
    g.handle(START_MS, endpoint_list_update(*range(1, 30)))
    g.handle(START_MS, request_arrived(0, customer=0))
    now = START_MS + 60_000  # the ceiling of a customer is full: 20 units are its even share
    number = 0
    sent = 0
    for _ in range(5):
        for _ in range(10):
            number += 1
            actions = g.handle(now, request_arrived(number, customer=1, units=4.0))
            sent += 4 * len(actions_of_type(actions, Send))
        for other in range(100, 106):
            number += 1
            g.handle(now, request_arrived(number, customer=other, units=1.0))
        assert 1 not in g.customers.by_number
        now += 200
    assert sent <= 20 + 4 * 0.2 * 10 / 2  # what it had, and the refill of its share


def test_a_customer_that_expired_in_time_returns_with_a_full_ceiling() -> None:
    plan = Plan(rate=100, burst=200, ceiling_rate=10, ceiling_burst=40)
    g = Gateway(settings(plans=(plan,)), 1)
    g.handle(START_MS, endpoint_list_update(*range(1, 30)))
    for number, at_s in enumerate((60, 120)):
        now = START_MS + at_s * 1000
        g.handle(now, request_arrived(2 * number, customer=1, units=4.0))
        g.handle(now, request_arrived(2 * number + 1, customer=2, units=4.0))
    assert g.customers.by_number[1].ceiling_tokens == 20 - 4


# ---- the share


def test_exhausted_share_grows_by_half_each_second_up_to_the_whole_quota(
    customer: CustomerQuota,
) -> None:
    shares = []
    for second in range(1, 6):
        customer.exhausted = True
        customer.adjust_share(START_MS + second * 1000, False)
        customer.exhausted = True
        customer.adjust_share(
            START_MS + second * 1000 + 500, False
        )  # less than a second later: unchanged
        shares.append(customer.quota_share)
    assert shares == [0.375, 0.5625, 0.84375, 1.0, 1.0]
    customer.exhausted = False
    customer.adjust_share(START_MS + 9000, False)
    assert customer.quota_share == 1.0


def test_share_of_an_over_used_quota_falls_to_the_even_share_and_no_further(
    customer: CustomerQuota,
) -> None:
    customer.quota_share = 1.0
    customer.adjust_share(START_MS + 1000, True)
    assert customer.quota_share == pytest.approx(
        0.625
    )  # half of the 0.75 above the even share of 0.25
    for second in range(60):
        customer.exhausted = True
        customer.adjust_share(START_MS + 2000 + second * 1000, True)
    assert customer.quota_share == pytest.approx(0.25)


def test_share_does_not_grow_while_the_shared_balance_is_low(customer: CustomerQuota) -> None:
    customer.exhausted = True
    customer.shared_balance = 7.0  # of a burst of 16
    customer.adjust_share(START_MS + 1000, False)
    assert customer.quota_share == 0.25


def test_meter_adjusts_the_share_in_place_of_the_counter() -> None:
    g = gateway(*range(1, 9), plans=(PLAN,), counter=True, meter_ms=1000)
    readings = [(50.0, 0.5), (50.0, 0.75), (120.0, 0.625), (100.0, 0.5625)]
    for number, (used_percent, share) in enumerate(readings):
        now = START_MS + 1100 * number
        (send,) = g.handle(now, request_arrived(number, units=0.5))  # no timer, no counter call
        assert isinstance(send, Send)
        customer = g.customers.by_number[9]
        customer.exhausted = True
        event = attempt_ended(number, send.backend, elapsed_ms=50)
        event.quota_used_percent = used_percent
        g.handle(now + 50, event)
        assert customer.quota_share == pytest.approx(share)


# ---- the shared balance


def test_one_counter_reply_is_enough_to_know_the_shared_balance(customer: CustomerQuota) -> None:
    """Guard against a balance that needs the difference of two readings.

    Readings that are a minute apart, or one before a restart, could not be compared.
    """
    # 16 - 100 + 8 x 12 = 12, minus 2
    assert customer.apply_counter_total(START_MS, 100.0, 2.0, 12_000.0) == 0.0
    assert customer.shared_balance == pytest.approx(10.0)


def test_bucket_follows_the_shared_balance_down_and_its_share_of_it_up() -> None:
    customer = CustomerQuota(PLAN, 2, START_MS)
    customer.apply_counter_total(START_MS, 14.0, 0.0, 0.0)
    assert customer.tokens == pytest.approx(2.0)
    customer.apply_counter_total(START_MS, 1.0, 0.0, 0.0)  # 15 of 16: ample
    assert customer.tokens == pytest.approx(7.5)


def test_balance_above_the_burst_is_returned_as_the_shortfall_of_the_total(
    customer: CustomerQuota,
) -> None:
    # 16 - 4 + 16 is 12 above the burst
    assert customer.apply_counter_total(START_MS, 4.0, 1.0, 2000.0) == pytest.approx(12.0)
    assert customer.shared_balance == pytest.approx(15.0)


def test_new_counter_name_keeps_the_previous_balance(customer: CustomerQuota) -> None:
    """Guard against a new burst with each new name, or after the counter has lost a name.

    Names change every minute, so heavy customers would get a new burst each minute.
    """
    customer.shared_balance = 0.0
    customer.balance_observed_at = START_MS
    shortfall = customer.apply_counter_total(START_MS + 500, 0.0, 0.0, 100.0)
    assert shortfall == pytest.approx(16 + 0.8 - 4)
    assert customer.shared_balance == pytest.approx(4.0)


# ---- the table of customers


def test_customers_without_requests_expire_and_empty_groups_are_removed() -> None:
    g = Gateway(settings(plans=(Plan(rate=2, burst=8),)), 1)
    for n in range(1, 100):
        g.handle(START_MS, endpoint_list_update(n))
    assert len(g.endpoints.ready_by_group) == 2
    assert len(g.endpoints.subset.ready) == 1
    for n in range(3000):
        g.handle(START_MS + n * 100, request_arrived(n, customer=n))
    assert len(g.customers.by_number) <= 210


def test_the_customers_longest_without_requests_are_dropped_beyond_the_limit() -> None:
    # Guards against clients that make up customers until the memory limit is exceeded.
    g = Gateway(settings(plans=(Plan(rate=2, burst=8),)), 1, max_customers=50)
    g.handle(START_MS, endpoint_list_update(1))
    for n in range(200):
        g.handle(START_MS + n, request_arrived(2 * n, customer=n))
        g.handle(START_MS + n, request_arrived(2 * n + 1, customer=7))
    assert len(g.customers.by_number) == 50
    assert list(g.customers.by_number)[-2:] == [199, 7]


def test_idle_customers_ended_requests_and_answered_calls_are_removed() -> None:
    """Guard against memory that grows with every request while a gateway runs for weeks."""
    g = gateway(*range(1, 9), plans=(PLAN,), counter=True, counter_timeout_ms=30.0, gateways=200)
    for n in range(3000):
        now = START_MS + n * 100
        todo = g.handle(now, request_arrived(n, customer=n, gateway_spread=200))
        while todo:
            match todo.pop():
                case AddToCounter(name, amount):
                    todo += g.handle(now, CounterReplied(name, Outcome.OK, 3, amount))
                case Send(number, backend):
                    todo += g.handle(now, attempt_ended(number, backend))
    assert len(g.customers.by_number) <= 601
    assert not g.pending
    assert not g.quota_sync.pending_calls
