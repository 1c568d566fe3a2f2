"""The size to design for: each axis's size in the plan, limits of figures, points to measure."""

from __future__ import annotations

INGRESSES = 6_900
BACKENDS = 99_000
SERVICES = 3_100
REQUESTS_PER_S = 830_000  # of all ingresses, at the peak
ROUTES = 100_000
TENANTS = 150_000
REGIONS = 7
ZONES = 21
MAX_ADDED_P99_MS = 7.9  # to the latency of a request, at the 99th percentile
CONFIG_CHANGES_PER_DAY = 25_000
MAX_PROPAGATION_S = 4.0  # until a change is in force everywhere
MAX_CONTROL_CPU_PERCENT = 2.3  # of a core, for each ingress
MAX_CONTROL_MB = 32.0  # for each ingress
MAX_CONTROL_BYTES_PER_S = 3_000.0  # for each ingress
CONTROL_MACHINES = 7
MACHINES_FAILED_PER_DAY = 540
MACHINES_REPLACED_PER_DAY = 24_000
DAY_S = 86_400

# A machine that fails or is replaced changes the list twice: it goes and it comes.
CHANGES_PER_DAY = CONFIG_CHANGES_PER_DAY + 2 * (MACHINES_FAILED_PER_DAY + MACHINES_REPLACED_PER_DAY)

# The plan's size on each axis. One ingress that serves every tenant and every route is the
# worst case.
PLAN_SIZES: dict[str, float] = {
    "backends": BACKENDS,
    "ingresses": INGRESSES,
    "tenants": TENANTS,
    "routes": ROUTES,
    "changes": CHANGES_PER_DAY / DAY_S,
    "counter": REQUESTS_PER_S / INGRESSES,  # requests a second, of one or two counter calls each
    "real": BACKENDS,
}

# The greatest value of a figure at the plan's size; the plan does not limit figures not named here.
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

# The points that a sweep measures on each axis unless others are named.
DEFAULT_POINTS: dict[str, tuple[int, ...]] = {
    "backends": (200, 2_000, 10_000, 27_000, BACKENDS),
    "ingresses": (10, 20, 40, 80, 160),
    "tenants": (1_000, 10_000, 30_000, 100_000),
    "routes": (3, 30, 300, 3_000),
    "changes": (0, 1, 4, 16),
    "counter": (25, 50, 100, 200, 400),
}

# The largest point that is allowed, so that a typing error doesn't exhaust the machine.
MAX_POINTS: dict[str, int] = {
    "backends": 200_000,
    "ingresses": 4_000,
    "tenants": 300_000,
    "routes": 10_000,
    "changes": 1_000,
    "counter": 5_000,
}
