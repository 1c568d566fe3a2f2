"""The list of backends as it is read into the gateway's form."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sumacpost.discovery.endpoint_list import EndpointListReader, backend_id
from sumacpost.model import EndpointStatus, UpdateKind


def test_a_backend_has_the_same_number_everywhere() -> None:
    assert backend_id("s-5be2a07c") == 54393183237098
    assert len({backend_id(f"s-{n}") for n in range(2000)}) == 2000
    assert all(0 <= backend_id(f"s-{n}") < 1 << 48 for n in range(100))


def test_a_list_is_read_into_the_gateways_form() -> None:
    raw = {
        "rev": 9,
        "all": False,
        "targets": [
            {
                "uid": "a",
                "endpoint": "127.0.0.1:80",
                "az": "y",
                "model": "m",
                "pod_group": 3,
                "state": "leaving",
                "capacity_hint": 1.5,
                "boot_ms": 1_700_000_000_000,
            },
            {"uid": "b", "endpoint": "127.0.0.2:81", "az": "?", "state": "left"},
        ],
    }
    update, endpoints = EndpointListReader(("x", "y"), ("m",)).read(json.dumps(raw).encode())
    first, second = update.entries
    assert (update.kind, update.version) == (UpdateKind.CHANGES, 9)
    assert (
        first.backend,
        first.state,
        first.zone,
        first.kind,
        first.cell,
        first.size,
        first.up_since_ms,
    ) == (backend_id("a"), EndpointStatus.DRAINING, 1, 0, 3, 1.5, 1_700_000_000_000)
    assert second.state is EndpointStatus.GONE and second.up_since_ms == 0
    assert endpoints == {backend_id("a"): ("127.0.0.1", 80), backend_id("b"): ("127.0.0.2", 81)}


@pytest.mark.parametrize(
    "bad",
    [
        [],
        7,
        {},
        {"rev": 1, "all": True},
        {"rev": None, "all": True, "targets": []},
        {"rev": 1, "all": True, "targets": [1]},
        {"rev": 1, "all": True, "targets": [{"uid": "a", "endpoint": "x", "state": "active"}]},
        {"rev": 1, "all": True, "targets": [{"uid": "a", "endpoint": "1.2.3.4:5", "state": "odd"}]},
        {
            "rev": 1,
            "all": True,
            "targets": [{"uid": 5, "endpoint": "1.2.3.4:5", "state": "active"}],
        },
        {
            "rev": 1,
            "all": True,
            "targets": [{"uid": "a", "endpoint": "1.2.3.4:5", "state": "active", "boot_ms": 1e999}],
        },
        {
            "rev": 1,
            "all": True,
            "targets": [{"uid": "a", "endpoint": "1.2.3.4:5", "state": "active", "boot_ms": 1e300}],
        },
        {
            "rev": 1,
            "all": True,
            "targets": [
                {"uid": "a", "endpoint": "1.2.3.4:5", "state": "active", "capacity_hint": -1}
            ],
        },
        {"rev": 1, "all": True, "targets": [["uid", "a"]]},
        {"rev": 1, "all": True, "targets": {"uid": "a"}},
        {"rev": 1, "all": True, "targets": None},
        {"rev": [1], "all": True, "targets": []},
        {
            "rev": 1,
            "all": True,
            "targets": [{"uid": ["a"], "endpoint": "1.2.3.4:5", "state": "active"}],
        },
        {"rev": 1, "all": True, "targets": [], "x": [[[[[[[[1]]]]]]]]},
    ],
)
def test_a_list_that_is_none_is_not_believed(bad: Any) -> None:
    with pytest.raises(ValueError):
        EndpointListReader(("x",), ("m",)).read(json.dumps(bad).encode())
