"""The settings of a deployment for one gateway. All times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be sent again after an attempt that may have run it."""

    IDEMPOTENT = "safe"  # always
    IDEMPOTENCY_KEY = "keyed"  # only to backends that recognize its key and drop repeats
    NOT_IDEMPOTENT = "unsafe"  # never


class DeduplicationScope(Enum):
    """Which backends recognize each other's idempotency keys."""

    ALL = "all"  # all backends
    ZONE = "zone"  # backends of the same zone
    CELL = "cell"  # backends of the same cell


class SizeMeaning(Enum):
    """What the sizes in the endpoint list say about the capacities of backends."""

    NONE = "off"  # nothing
    REGISTERED = "nominal"  # the registered size
    APPROXIMATE = "rough"  # the registered size with an unknown error
    # The registered size divided by 1 + the requests held per core, some time ago.
    AVAILABLE = "live"


class SettingsError(ValueError):
    """A value in the settings is invalid.

    Attributes:
        field: the name of the field.
        reason: why the value is invalid.
    """

    def __init__(self, owner: object, field: str, reason: str) -> None:
        super().__init__(f"{type(owner).__name__}.{field}: {reason}")
        self.field = field
        self.reason = reason


def _check_numbers(owner: object, minimums: dict[str, float]) -> None:
    """Raise SettingsError for the first field that is not a finite number >= its minimum."""
    for name, minimum in minimums.items():
        value = getattr(owner, name)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not minimum <= value < float("inf"):
            raise SettingsError(owner, name, f"{value!r} is not a number of at least {minimum:g}")


def _check_types(owner: object, kinds: dict[str, type]) -> None:
    """Raise SettingsError for the first field that does not have its type."""
    for name, kind in kinds.items():
        value = getattr(owner, name)
        if not isinstance(value, kind):
            raise SettingsError(owner, name, f"{value!r} is not a {kind.__name__}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        latency_objective_ms: a response within this time has the full priority weight.
        deadline_ms: how long a client waits in total, including all its retries.
        priority_weight: the value of a response within the latency objective.
        idempotency: whether a request may be sent again.
        deduplication_scope: for IDEMPOTENCY_KEY: which backends drop repeats of a request.
        deduplication_window_ms: for IDEMPOTENCY_KEY: how long these backends drop repeats, from the
            sending of the first attempt that may have run.
        late_priority_weight: the fraction of the priority weight that a response after the latency
            objective still has.
        name: the name of the class, as clients send it; may be empty.
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
    """The limits on a customer of this plan, over all gateways.

    The quota is a token bucket. Requests that exceed it may still be forwarded, up to a ceiling,
    which is a second token bucket.

    Attributes:
        rate: the refill rate of the quota's bucket, in units per second; 0: no quota.
        burst: the size of the quota's bucket, in units.
        open_limit: the maximum number of attempts in flight at the same time; 0: no limit.
        price: the value of one unit of a request, as a factor of the priority weight of its class.
        over_quota_weight: the fraction of its value that a request beyond the quota has if it is
            served.
        over_quota_cost: the fraction of its value that forwarding a request beyond the quota costs,
            whether it is served or not.
        ceiling_rate: the refill rate of the ceiling's bucket, in units per second; 0: no ceiling.
        ceiling_burst: the size of the ceiling's bucket, in units.
        ceiling_slack: how far below zero the level of the ceiling's bucket may fall, in units.
        name: the name of the plan, as clients send it; may be empty.
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
    """The settings of a deployment that one gateway receives at startup.

    Attributes:
        gateways: how many gateways there are.
        index: the index of this gateway among them, from 0.
        classes: the request classes; events refer to them by index.
        plans: the plans of customers; events refer to them by index.
        max_attempts: the maximum number of attempts per request.
        initial_capacity: the fraction of its full capacity that a backend has when it starts.
        slow_start_ms: the time after its start at which a backend has its full capacity.
        overload_factor: the load, as a multiple of its current capacity, above which a backend that
            is warming up fails.
        overload_window_ms: how long a backend withstands such a load.
        drain_grace_ms: the time within which sending to a draining or removed backend must end.
        connect_timeout_ms: how long connecting to a backend may take.
        response_grace_ms: the time after a client's deadline during which a response still counts.
        zone: the number of this gateway's zone.
        tick_ms: the shortest time between two batches of events.
        max_units: the units of the largest possible request.
        clients_mark_retries: whether clients mark their retries as such.
        retry_after: whether clients are given a Retry-After time.
        max_retry_after_ms: the longest Retry-After time that clients respect.
        hedging: whether a request may have two attempts in flight.
        cancel: whether attempts may be cancelled.
        probes: whether health checks may be sent.
        peers: whether messages may be sent to other gateways.
        peer_in_per_s: the maximum number of peer messages that a gateway receives per second.
        counter: whether there is a shared counter.
        counter_timeout_ms: how long a counter call may wait for its reply.
        counter_price: the cost of the counter calls if there are as many calls as requests, in
            points of the result.
        meter_ms: the length of the periods of the meter that reports quota_used_percent; 0: no
            meter.
        settled_after: whether a request's units are an estimate until its attempt has ended.
        report_fields: the names of the values in a load report, in order.
        size_meaning: what Endpoint.size says about the capacities of backends.
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
    size_meaning: SizeMeaning = SizeMeaning.NONE

    def __post_init__(self) -> None:
        _check_types(self, {"size_meaning": SizeMeaning})
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
                raise SettingsError(self, name, "must not be empty")
