"""Conversion of endpoint lists to updates for the gateway."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sumacpost.discovery.endpoint_list import EndpointListReader, backend_id
from sumacpost.errors import EndpointListError
from sumacpost.model import EndpointStatus, UpdateKind
from tests.support.discovery_agent import endpoint_list


@pytest.fixture
def reader() -> EndpointListReader:
    return EndpointListReader(zones=("x", "y"), machine_types=("m",))


def test_backend_id_is_the_same_in_every_process() -> None:
    assert backend_id("s-5be2a07c") == 54393183237098
    assert len({backend_id(f"s-{n}") for n in range(2000)}) == 2000
    assert all(0 <= backend_id(f"s-{n}") < 1 << 48 for n in range(100))


def test_list_is_converted_to_an_update(reader: EndpointListReader) -> None:
    draining = {
        "uid": "a",
        "endpoint": "127.0.0.1:80",
        "az": "y",
        "model": "m",
        "pod_group": 3,
        "state": "leaving",
        "capacity_hint": 1.5,
        "boot_ms": 1_700_000_000_000,
    }
    gone = {"uid": "b", "endpoint": "127.0.0.2:81", "az": "?", "state": "left"}
    raw = endpoint_list(9, draining, gone, full=False)
    update, addresses = reader.read(json.dumps(raw).encode())
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
    assert second.state is EndpointStatus.GONE
    assert second.up_since_ms == 0
    assert addresses == {backend_id("a"): ("127.0.0.1", 80), backend_id("b"): ("127.0.0.2", 81)}


VALID_ENTRY = {"uid": "a", "endpoint": "1.2.3.4:5", "state": "active"}


@pytest.mark.parametrize(
    "invalid",
    [
        [],
        7,
        {},
        {"rev": 1, "all": True},
        {"rev": None, "all": True, "targets": []},
        {"rev": 1, "all": True, "targets": [1]},
        endpoint_list(1, VALID_ENTRY | {"endpoint": "x"}),
        endpoint_list(1, VALID_ENTRY | {"state": "odd"}),
        endpoint_list(1, VALID_ENTRY | {"uid": 5}),
        endpoint_list(1, VALID_ENTRY | {"boot_ms": 1e999}),
        endpoint_list(1, VALID_ENTRY | {"boot_ms": 1e300}),
        endpoint_list(1, VALID_ENTRY | {"capacity_hint": -1}),
        {"rev": 1, "all": True, "targets": [["uid", "a"]]},
        {"rev": 1, "all": True, "targets": {"uid": "a"}},
        {"rev": 1, "all": True, "targets": None},
        {"rev": [1], "all": True, "targets": []},
        endpoint_list(1, VALID_ENTRY | {"uid": ["a"]}),
        {"rev": 1, "all": True, "targets": [], "x": [[[[[[[[1]]]]]]]]},
    ],
)
def test_invalid_list_is_rejected(invalid: Any, reader: EndpointListReader) -> None:
    with pytest.raises(EndpointListError):
        reader.read(json.dumps(invalid).encode())


def test_list_of_one_valid_entry_is_read(reader: EndpointListReader) -> None:
    raw = endpoint_list(1, VALID_ENTRY)
    assert len(reader.read(json.dumps(raw).encode()).update.entries) == 1
