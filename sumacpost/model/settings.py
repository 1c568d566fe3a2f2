"""The settings of a deployment, as one gateway gets them. All times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be sent again after an attempt that may have run it."""

    IDEMPOTENT = "safe"  # always
    IDEMPOTENCY_KEY = "keyed"  # to backends that recognize its key and drop repeats
    NOT_IDEMPOTENT = "unsafe"  # never


class DeduplicationScope(Enum):
    """Which backends recognize each other's idempotency keys."""

    ALL = "all"  # all of them
    ZONE = "zone"  # those of the same zone
    CELL = "cell"  # those of the same cell


class SettingsError(ValueError):
    """A value that the settings can't have.

    Attributes:
        field: the name of the field.
        reason: what is wrong with its value.
    """

    def __init__(self, owner: object, field: str, reason: str) -> None:
        super().__init__(f"{type(owner).__name__}.{field}: {reason}")
        self.field = field
        self.reason = reason


def _check_numbers(owner: object, minimums: dict[str, float]) -> None:
    """Raise SettingsError naming the first field that is not a number of at least its minimum."""
    for name, minimum in minimums.items():
        value = getattr(owner, name)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not minimum <= value < float("inf"):
            raise SettingsError(owner, name, f"{value!r} is not a number of at least {minimum:g}")


def _check_types(owner: object, kinds: dict[str, type]) -> None:
    """Raise SettingsError naming the first field that is not of its type."""
    for name, kind in kinds.items():
        value = getattr(owner, name)
        if not isinstance(value, kind):
            raise SettingsError(owner, name, f"{value!r} is not a {kind.__name__}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        latency_objective_ms: a response within this time has the full worth.
        deadline_ms: how long a client waits in all, over all its retries.
        priority_weight: what a response within the objective is worth.
        idempotency: whether a request may be sent again.
        deduplication_scope: for IDEMPOTENCY_KEY: which backends drop repeats of a request.
        deduplication_window_ms: for IDEMPOTENCY_KEY: for how long they do, from the sending of
            the first attempt that may have run.
        late_priority_weight: the part of the worth that a response after the objective still has.
        name: as clients send it; may be empty.
    """

    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    late_priority_weight: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _check_numbers(
            self,
            {
                "latency_objective_ms": 1e-3,
                "deadline_ms": 1e-3,
                "priority_weight": 0,
                "deduplication_window_ms": 0,
                "late_priority_weight": 0,
            },
        )
        _check_types(self, {"idempotency": Idempotency, "deduplication_scope": DeduplicationScope})


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer of this plan may use, over all gateways.

    The quota is a token bucket. Beyond it requests may still be forwarded, up to a ceiling, which
    is a second bucket.

    Attributes:
        rate: what the quota refills with, in units a second; 0: no quota.
        burst: the size of the quota's bucket, in units.
        open_limit: attempts in flight at once; 0: no limit.
        price: what a unit of a request is worth, as a factor of its class's weight.
        over_quota_weight: the part of its worth that a request beyond the quota earns if served.
        over_quota_cost: the part of its worth that forwarding it costs, served or not.
        ceiling_rate: what the ceiling refills with, in units a second; 0: no ceiling.
        ceiling_burst: the size of the ceiling's bucket, in units.
        ceiling_slack: how far below zero the ceiling's bucket may fall, in units.
        name: as clients send it; may be empty.
    """

    rate: float
    burst: float
    open_limit: int = 0
    price: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _check_numbers(self, {f.name: 0 for f in fields(self) if f.name != "name"})


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a deployment, as one gateway gets them at start.

    Attributes:
        gateways: how many gateways there are.
        index: the number of this one among them, from 0.
        classes: the classes of requests; events refer to them by index.
        plans: the plans of customers; events refer to them by index.
        max_attempts: attempts for one request at most.
        initial_capacity: the part of its full capacity that a starting backend has.
        slow_start_ms: time from its start after which a backend has its full capacity.
        overload_factor: load, as a multiple of its present capacity, above which a backend that is
            warming up fails.
        overload_window_ms: how long it bears such a load.
        drain_grace_ms: time within which sending to a draining or removed backend must end.
        connect_timeout_ms: how long connecting to a backend may take.
        response_grace_ms: time after a client's deadline in which a response still counts.
        zone: the number of this gateway's zone.
        tick_ms: shortest time between two batches of events.
        max_units: units of the largest request.
        clients_mark_retries: whether clients mark their retries as such.
        retry_after: whether clients are given the time of a Retry-After.
        max_retry_after_ms: the longest such time that clients heed.
        hedging: whether a request may have two attempts in flight.
        cancel: whether attempts may be cancelled.
        probes: whether health checks may be sent.
        peers: whether messages may be sent to other gateways.
        peer_in_per_s: messages that a gateway receives, a second at most.
        counter: whether there is a shared counter.
        counter_timeout_ms: how long a counter call may wait for its reply.
        counter_price: what as many counter calls as requests cost, in points of the result.
        meter_ms: the length of the periods of the meter that tells quota_used_percent; 0: none.
        settled_after: whether a request's units are an estimate until its attempt has ended.
        report_fields: the names of the values of a load report, in their order.
    """

    gateways: int
    index: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int
    initial_capacity: float
    slow_start_ms: float
    overload_factor: float
    overload_window_ms: float
    drain_grace_ms: float
    connect_timeout_ms: float = 250.0
    response_grace_ms: float = 0.0
    zone: int = 0
    tick_ms: float = 1.0
    max_units: float = 1.0
    clients_mark_retries: bool = False
    retry_after: bool = True
    max_retry_after_ms: float = 0.0
    hedging: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    peer_in_per_s: float = 0.0
    counter: bool = False
    counter_timeout_ms: float = 0.0
    counter_price: float = 0.0
    meter_ms: float = 0.0
    settled_after: bool = False
    report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _check_numbers(
            self,
            {
                "gateways": 1,
                "index": 0,
                "max_attempts": 1,
                "initial_capacity": 1e-6,
                "slow_start_ms": 0,
                "overload_factor": 1e-6,
                "overload_window_ms": 1e-3,
                "drain_grace_ms": 0,
                "response_grace_ms": 0,
                "zone": 0,
                "tick_ms": 0,
                "max_units": 1e-6,
                "max_retry_after_ms": 0,
                "meter_ms": 0,
                "connect_timeout_ms": 1e-3,
                "peer_in_per_s": 0,
                "counter_timeout_ms": 0,
                "counter_price": 0,
            },
        )
        if self.index >= self.gateways:
            raise SettingsError(
                self, "index", f"{self.index} is not below gateways ({self.gateways})"
            )
        for name in ("classes", "plans"):
            if not getattr(self, name):
                raise SettingsError(self, name, "at least one is needed")
