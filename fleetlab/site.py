"""Configurations and lists of a made-up site, in the forms of the protocol page."""

from __future__ import annotations

import json
from collections.abc import Sequence
from random import Random
from typing import Any

ZONES = ("a", "b", "c")
KINDS = ("m1", "m2")


def config_text(
    *,
    index: int,
    gateways: int,
    discovery: str,
    counter: str = "",
    seed: int = 0,
    classes: int = 3,
    burst: float = 1000.0,
    known: Sequence[dict[str, Any]] = (),
) -> str:
    """The JSON text of one ingress's configuration; times in ms, as the protocol page's settings have them.

    It listens at a loopback port of the system's choice. known: entries of the list as last seen.
    """
    categories = [
        {
            "name": f"r{n}",
            "aim": 1000.0,
            "hard_limit": 4000.0,
            "points": 2.0,
            "idempotency": "pure",
            "group": "all",
            "dedup_window": 5000.0,
            "late_worth": 0.2,
        }
        for n in range(classes)
    ]
    settings = {
        "balancers": gateways,
        "index": index,
        "locality": 0,
        "quantum": 2.0,
        "zones": list(ZONES),
        "machine_types": list(KINDS),
        "categories": categories,
        "plans": [{"name": "plus", "per_second": burst, "peak_units": burst, "price": 1.0}],
        "permissions": {
            "most_tries": 3,
            "dial_timeout": 250.0,
            "conn_idle": 30000.0,
            "retry_after": True,
            "cancel": True,
            "max_retry_after": 500.0,
            "parallel_tries": False,
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
        "extra": {
            "has_counter": bool(counter),
            "count_wait": 50.0,
            "units_top": 8,
            "cost_after": False,
        },
        "clients": {"marks_retry": False},
        "telemetry": {"via": "off", "fields": []},
    }
    config = {
        "name": f"n{index}",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{seed + index:x}",
        "limits": {"sockets": 1024, "memory_mb": 64},
        "settings": settings,
        "known": {"rev": 0, "all": True, "targets": list(known)},
    }
    return json.dumps(config | ({"counter": counter} if counter else {}))


def entries(count: int, endpoints: Sequence[str], seed: int = 0) -> list[dict[str, Any]]:
    """So many entries of discovery's list; their endpoints take turns among the given ones."""
    random = Random(seed)
    return [
        {
            "uid": f"s-{random.getrandbits(32):08x}{n:x}",
            "endpoint": endpoints[n % len(endpoints)],
            "az": ZONES[n % len(ZONES)],
            "model": KINDS[n % len(KINDS)],
            "pod_group": n % 8,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for n in range(count)
    ]
