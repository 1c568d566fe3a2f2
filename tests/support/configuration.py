"""Settings and configurations of the ingress under test."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "index": 0,
    "locality": 0,
    "quantum": 2.0,
    "zones": ["hall-a", "hall-b"],
    "machine_types": ["std-2c"],
    "categories": [
        {
            "name": "ledger-read",
            "aim": 1500.0,
            "hard_limit": 4000.0,
            "points": 2.0,
            "idempotency": "pure",
            "group": "all",
            "dedup_window": 5000.0,
            "late_worth": 0.2,
            "streaming": False,
        },
        {
            "name": "payment-book",
            "aim": 1000.0,
            "hard_limit": 4000.0,
            "points": 5.0,
            "idempotency": "token",
            "group": "all",
            "dedup_window": 3000.0,
            "late_worth": 0.0,
            "streaming": False,
        },
        {
            "name": "vat-filing",
            "aim": 750.0,
            "hard_limit": 1500.0,
            "points": 5.0,
            "idempotency": "side_effect",
            "group": "all",
            "dedup_window": 5000.0,
            "late_worth": 0.0,
            "streaming": False,
        },
    ],
    "plans": [
        {
            "name": "basis",
            "per_second": 1.0,
            "peak_units": 8.0,
            "price": 0.72,
            "over_worth": 0.0,
            "excess_cost": 0.5,
        },
        {
            "name": "plus",
            "per_second": 100.0,
            "peak_units": 1000.0,
            "price": 1.6,
            "over_worth": 0.0,
            "excess_cost": 0.6,
        },
    ],
    "permissions": {
        "most_tries": 3,
        "dial_timeout": 250.0,
        "conn_idle": 30000.0,
        "retry_after": True,
        "cancel": True,
        "max_retry_after": 500.0,
        "parallel_tries": True,
        "probes": False,
    },
    "safety": {
        "start_capacity": 0.2,
        "cold": 15000.0,
        "fall_multiple": 2.0,
        "overload_for": 3000.0,
        "stop_sending_within": 500.0,
        "grace_to_answer": 8.0,
    },
    "extra": {"has_counter": False, "count_wait": 50.0, "units_top": 8, "cost_after": True},
    "clients": {"marks_retry": True},
    "telemetry": {"via": "off", "fields": []},
    "tiers": ["ledger-fleet"],
}

MINIMAL_CONFIG = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
