"""The planned fleet: its size on each axis, the limits of figures, and the points to measure."""

from __future__ import annotations

INGRESSES = 6_900
BACKENDS = 99_000
SERVICES = 3_100
REQUESTS_PER_S = 830_000  # peak rate of all ingresses together
ROUTES = 100_000
TENANTS = 150_000
REGIONS = 7
ZONES = 21
MAX_ADDED_P99_MS = 7.9  # increase of the latency's 99th percentile caused by an ingress
CONFIG_CHANGES_PER_DAY = 25_000
MAX_PROPAGATION_S = 4.0  # time from a change until all ingresses apply it
MAX_CONTROL_CPU_PERCENT = 2.3  # percent of one core, per ingress
MAX_CONTROL_MB = 32.0  # per ingress
MAX_CONTROL_BYTES_PER_S = 3_000.0  # per ingress
CONTROL_MACHINES = 7
MACHINES_FAILED_PER_DAY = 540
MACHINES_REPLACED_PER_DAY = 24_000
DAY_S = 86_400

# A machine that fails or is replaced changes the list twice: by its removal and its addition.
CHANGES_PER_DAY = CONFIG_CHANGES_PER_DAY + 2 * (MACHINES_FAILED_PER_DAY + MACHINES_REPLACED_PER_DAY)

# The plan's size on each axis. The worst case is one ingress that serves all tenants and all
# routes.
PLAN_SIZES: dict[str, float] = {
    "backends": BACKENDS,
    "ingresses": INGRESSES,
    "tenants": TENANTS,
    "routes": ROUTES,
    "changes": CHANGES_PER_DAY / DAY_S,
    "counter": REQUESTS_PER_S / INGRESSES,  # requests per second, each with 1 or 2 counter calls
    "real": BACKENDS,
}

# Maximum of each figure at the plan's size. The plan sets no limit for other figures.
LIMITS: dict[str, float] = {
    "unheld_share": 0.0,
    "held_mb": MAX_CONTROL_MB,
    "peak_mb": MAX_CONTROL_MB,
    "peak_over_200_mb": MAX_CONTROL_MB,
    "control_cpu_percent": MAX_CONTROL_CPU_PERCENT,
    "control_bytes_per_s": MAX_CONTROL_BYTES_PER_S,
    "told_ms": MAX_PROPAGATION_S * 1000,
    "in_force_s": MAX_PROPAGATION_S,
    "added_p99_ms": MAX_ADDED_P99_MS,
}

# Points that a sweep measures on each axis by default.
DEFAULT_POINTS: dict[str, tuple[int, ...]] = {
    "backends": (200, 2_000, 10_000, 27_000, BACKENDS),
    "ingresses": (10, 20, 40, 80, 160),
    "tenants": (1_000, 10_000, 30_000, 100_000),
    "routes": (3, 30, 300, 3_000),
    "changes": (0, 1, 4, 16),
    "counter": (25, 50, 100, 200, 400),
}

# Largest allowed point on each axis, so that a typing error does not exhaust the machine.
MAX_POINTS: dict[str, int] = {
    "backends": 200_000,
    "ingresses": 4_000,
    "tenants": 300_000,
    "routes": 10_000,
    "changes": 1_000,
    "counter": 5_000,
}
