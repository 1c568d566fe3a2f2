"""Builders of settings, events and gateways for policy tests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, TypeVar

from sumacpost.model import (
    Action,
    AttemptEnded,
    DeduplicationScope,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Idempotency,
    Outcome,
    Plan,
    RequestArrived,
    RequestClass,
    Settings,
    UpdateKind,
)
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.quota import CustomerQuota

IDEMPOTENT_CLASS = RequestClass(1500, 6000, 3, Idempotency.IDEMPOTENT)
KEYED_CELL_CLASS = RequestClass(
    1000, 4000, 5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 3000
)
KEYED_ALL_CLASS = RequestClass(
    1000, 4000, 5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 3000
)
NOT_IDEMPOTENT_CLASS = RequestClass(3000, 8000, 9, Idempotency.NOT_IDEMPOTENT)
UNLIMITED_PLAN = Plan(0, 0)
START_MS = 1000.0

ActionType = TypeVar("ActionType")


def settings(**changes: Any) -> Settings:
    """Return the default test settings with the given changes."""
    base = Settings(
        gateways=2,
        index=0,
        classes=(IDEMPOTENT_CLASS, KEYED_CELL_CLASS, KEYED_ALL_CLASS, NOT_IDEMPOTENT_CLASS),
        plans=(UNLIMITED_PLAN,),
        max_attempts=3,
        initial_capacity=0.2,
        slow_start_ms=10_000,
        overload_factor=2,
        overload_window_ms=3000,
        drain_grace_ms=250,
        max_retry_after_ms=500,
        max_units=4,
        tick_ms=2,
        cancel=True,
    )
    return replace(base, **changes)


def endpoint_list_update(
    *ids: int,
    state: EndpointStatus = EndpointStatus.READY,
    kind: UpdateKind = UpdateKind.FULL,
    up: float = 0.0,
) -> EndpointListUpdate:
    """Return an endpoint list update with these backends, all in the same state.

    Even backends are in cell 0 and odd ones in cell 1.

    up: the start of all backends, in ms.
    """
    return EndpointListUpdate(kind, [Endpoint(i, state, cell=i % 2, up_since_ms=up) for i in ids])


def gateway(*ids: int, seed: int = 7, **changes: Any) -> Gateway:
    """Return a gateway whose endpoint list contains these backends, by default 1 to 4."""
    new_gateway = Gateway(settings(**changes), seed)
    new_gateway.handle(START_MS, endpoint_list_update(*(ids or (1, 2, 3, 4))))
    return new_gateway


def gateway_with_customer(
    tokens: float, plan: Plan, **changes: Any
) -> tuple[Gateway, CustomerQuota]:
    """Return one gateway of four, without a counter, and its customer 9.

    tokens: the content of the customer's quota bucket, in units.
    """
    new_gateway = gateway(*range(1, 30), plans=(plan,), gateways=4, **changes)
    customer = CustomerQuota(plan, 4, START_MS, 9)
    customer.tokens = tokens
    new_gateway.customers.by_number[9] = customer
    return new_gateway, customer


def actions_of_type(actions: Iterable[Action], kind: type[ActionType]) -> list[ActionType]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def only_action(kind: type[ActionType], actions: Iterable[Action]) -> ActionType:
    """Return the only action of a type; there may be actions of other types."""
    (action,) = actions_of_type(actions, kind)
    return action


def request_arrived(
    number: int,
    request_class: int = 0,
    customer: int = 9,
    plan: int = 0,
    units: float = 1.0,
    gateway_spread: int = 2,
    time_left_ms: float = 4000.0,
    retry: bool = False,
) -> RequestArrived:
    """Return the arrival event of a request.

    request_class: the index of the class in the settings.
    """
    return RequestArrived(
        number, customer, plan, request_class, units, 0, gateway_spread, time_left_ms, retry
    )


def attempt_ended(
    number: int,
    backend: int,
    outcome: Outcome = Outcome.OK,
    attempt: int = 0,
    elapsed_ms: float = 100.0,
    units: float = 0.0,
) -> AttemptEnded:
    """Return the end event of an attempt; the outcome OK concludes its request."""
    concluded = outcome is Outcome.OK
    return AttemptEnded(number, attempt, backend, outcome, elapsed_ms, concluded, None, units)
