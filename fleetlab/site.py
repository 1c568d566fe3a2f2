"""Configurations and endpoint lists of a fictitious site."""

from __future__ import annotations

import json
from collections.abc import Sequence
from random import Random

from fleetlab.versioned_list import JsonObject

ZONES = ("a", "b", "c")
MACHINE_TYPES = ("m1", "m2")
CELLS = 8

_PERMISSIONS: JsonObject = {
    "most_tries": 3,
    "dial_timeout": 250.0,
    "conn_idle": 30000.0,
    "retry_after": True,
    "cancel": True,
    "max_retry_after": 500.0,
    "parallel_tries": False,
    "probes": False,
}
_SAFETY: JsonObject = {
    "start_capacity": 0.2,
    "cold": 15000.0,
    "fall_multiple": 2.0,
    "overload_for": 3000.0,
    "stop_sending_within": 500.0,
    "grace_to_answer": 8.0,
}


def config_text(
    *,
    index: int,
    gateways: int,
    discovery: str,
    counter: str = "",
    seed: int = 0,
    classes: int = 3,
    burst: float = 1000.0,
    known: Sequence[JsonObject] = (),
) -> str:
    """Return the configuration of one ingress as JSON text; times are in ms.

    The ingress listens on a loopback port chosen by the system. discovery, counter: host and port;
    an empty text means no counter. burst: the burst of the only plan in units, and its quota in
    units per second. known: entries of the last known endpoint list.
    """
    config: JsonObject = {
        "name": f"n{index}",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{seed + index:x}",
        "limits": {"sockets": 1024, "memory_mb": 64},
        "settings": _settings(index, gateways, classes, burst, has_counter=bool(counter)),
        "known": {"rev": 0, "all": True, "targets": list(known)},
    }
    if counter:
        config["counter"] = counter
    return json.dumps(config)


def _settings(
    index: int, gateways: int, classes: int, burst: float, *, has_counter: bool
) -> JsonObject:
    return {
        "balancers": gateways,
        "index": index,
        "locality": 0,
        "quantum": 2.0,
        "zones": list(ZONES),
        "machine_types": list(MACHINE_TYPES),
        "categories": [_category(number) for number in range(classes)],
        "plans": [{"name": "plus", "per_second": burst, "peak_units": burst, "price": 1.0}],
        "permissions": _PERMISSIONS,
        "safety": _SAFETY,
        "extra": {
            "has_counter": has_counter,
            "count_wait": 50.0,
            "units_top": 8,
            "cost_after": False,
        },
        "clients": {"marks_retry": False},
        "telemetry": {"via": "off", "fields": []},
    }


def _category(number: int) -> JsonObject:
    return {
        "name": f"r{number}",
        "aim": 1000.0,
        "hard_limit": 4000.0,
        "points": 2.0,
        "idempotency": "pure",
        "group": "all",
        "dedup_window": 5000.0,
        "late_worth": 0.2,
    }


def endpoint_entries(count: int, endpoints: Sequence[str], seed: int = 0) -> list[JsonObject]:
    """Return `count` entries of an endpoint list, with the given endpoints in turn."""
    random = Random(seed)
    return [
        {
            "uid": f"s-{random.getrandbits(32):08x}{number:x}",
            "endpoint": endpoints[number % len(endpoints)],
            "az": ZONES[number % len(ZONES)],
            "model": MACHINE_TYPES[number % len(MACHINE_TYPES)],
            "pod_group": number % CELLS,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for number in range(count)
    ]
