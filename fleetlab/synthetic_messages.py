"""What a process of synthetic ingresses is told and what it reports, each as one JSON line."""

from __future__ import annotations

import msgspec


class SyntheticSpec(msgspec.Struct, frozen=True):
    """What one process holds and how it drives its ingresses."""

    ingresses: int
    gateways: int  # in the whole fleet
    discovery: str  # host and port
    counter: str = ""  # host and port; without them there is no counter
    first_index: int = 0  # of the process's ingresses among the gateways
    rate: float = 20.0  # requests a second at each ingress
    customers: int = 1000
    preloaded_customers: int = 0  # each ingress meets so many once before the load begins
    classes: int = 3
    burst: float = 1000.0  # units, and units a second, of the plan
    seed: int = 0
    seconds: float = 60.0  # after which the process ends


class SyntheticReport(msgspec.Struct, frozen=True):
    """Sums over all ingresses of a process since its start."""

    at_s: float  # since the start
    ready_s: float | None  # when all held a list and had met their customers; None before
    entries: int  # of endpoint lists
    min_entries: int  # at the ingress that holds fewest
    discovery_bytes: int
    counter_bytes: int
    counter_calls: int
    counter_added: int
    arrived: int
    sent: int
    rejected: int
    failed: int
    changes: int
    # The longest time from a backend's start, as its entry has it, to the notification of the
    # change, since the report before.
    max_notification_ms: float
    base_mb: float  # before the first ingress was made
    rss_mb: float
    peak_mb: float
    cpu_s: float
    decision_cpu_s: float  # the part of it that batches of requests took
