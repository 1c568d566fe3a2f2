"""Endpoint lists of numbered backends, and functions that read them."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from sumacpost.discovery.endpoint_list import EndpointList, EndpointListReader
from sumacpost.discovery.incremental_json import IncrementalJsonDecoder
from tests.support.discovery_agent import Entry, endpoint_list

CELL_SIZE = 30  # backends of a cell
GATEWAYS = 6900  # gateways of a large fleet


def numbered_entry(number: int, state: str = "active") -> Entry:
    """Return the entry of the backend with this number."""
    return {
        "uid": f"s-{number:08x}",
        "endpoint": f"127.0.{number >> 8 & 255}.{number & 255}:8081",
        "az": "hall-a",
        "model": "std-2c",
        "pod_group": number // CELL_SIZE,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def full_list(count: int, version: int = 41) -> dict[str, Any]:
    """Return a full list of `count` backends."""
    return endpoint_list(version, *map(numbered_entry, range(count)))


def changes(version: int, numbers: Iterable[int], state: str = "active") -> dict[str, Any]:
    """Return a list of changes that sets the state of the numbered backends."""
    entries = [numbered_entry(number, state) for number in numbers]
    return endpoint_list(version, *entries, full=False)


def encode(value: Any, indent: int | None = None) -> bytes:
    """Return the value as JSON."""
    return json.dumps(value, indent=indent).encode()


def split_into_pieces(data: bytes, size: int) -> Iterator[bytes]:
    """Split the data into pieces of `size` bytes; the last may be shorter."""
    return (data[start : start + size] for start in range(0, len(data), size))


def read_pieces(reader: EndpointListReader, pieces: Iterable[bytes]) -> EndpointList:
    """Read and adopt a list that is received in pieces."""
    parser = reader.new_parser()
    decoder = IncrementalJsonDecoder(parser)
    for piece in pieces:
        decoder.feed(piece)
    decoder.finish()
    result = parser.result()
    reader.adopt(parser, result.update)
    return result
