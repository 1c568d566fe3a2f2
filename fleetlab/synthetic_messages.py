"""The specification of a process of synthetic ingresses and its reports, one JSON line each."""

from __future__ import annotations

import msgspec


class SyntheticSpec(msgspec.Struct, frozen=True):
    """The ingresses of one process, and the load that it generates on them."""

    ingresses: int
    gateways: int  # in the whole fleet
    discovery: str  # host and port
    counter: str = ""  # host and port; empty: no counter
    first_index: int = 0  # index of the process's first ingress among the gateways
    rate: float = 20.0  # requests per second at each ingress
    customers: int = 1000
    preloaded_customers: int = 0  # customers of whom each ingress serves a request before the load
    classes: int = 3
    burst: float = 1000.0  # burst of the only plan in units, and its quota in units per second
    seed: int = 0
    seconds: float = 60.0  # time after which the process exits


class SyntheticReport(msgspec.Struct, frozen=True):
    """Sums over all ingresses of a process since its start."""

    at_s: float  # since the start of the process
    # When all ingresses had a list and had served their preloaded customers, since the start of the
    # process; None before.
    ready_s: float | None
    entries: int  # in the endpoint lists
    min_entries: int  # at the ingress with the fewest entries
    discovery_bytes: int
    counter_bytes: int
    counter_calls: int
    counter_added: int
    arrived: int
    sent: int
    rejected: int
    failed: int
    changes: int
    # The longest time from a backend's start, as given in its entry, to the notification of the
    # change, since the previous report.
    max_notification_ms: float
    base_mb: float  # before the first ingress was created
    rss_mb: float
    peak_mb: float
    cpu_s: float
    decision_cpu_s: float  # the part of cpu_s that was spent on batches of requests
