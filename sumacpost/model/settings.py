"""The deployment as one gateway is told it at start. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class Idempotency(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SettingsError(ValueError):
    """A value that the settings can't have: the field's owner, its name, and what is wrong."""

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
    """A kind of request."""

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
    """What a customer of this plan may use over all gateways; 0 means no such limit."""

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
    """The deployment as one gateway is told it at start."""

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
