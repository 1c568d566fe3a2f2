"""Endpoint lists of any size and form: memory stays bounded, invalid lists change nothing."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest

from sumacpost.config import load_config
from sumacpost.discovery import endpoint_list
from sumacpost.discovery.deduplication_peers import DEDUPLICATION_PEERS_PER_CELL
from sumacpost.discovery.endpoint_list import EndpointListReader, backend_id
from sumacpost.discovery.incremental_json import IncrementalJsonDecoder
from sumacpost.errors import EndpointListError
from sumacpost.model import Endpoint, EndpointListUpdate, Outcome, Send, UpdateKind
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.subsetting import MAX_PARTITION_BACKENDS, Partition
from tests.discovery.lists import (
    GATEWAYS,
    changes,
    encode,
    full_list,
    numbered_entry,
    read_pieces,
    split_into_pieces,
)
from tests.support.builders import (
    KEYED_CELL_CLASS,
    START_MS,
    attempt_ended,
    request_arrived,
    settings,
)
from tests.support.configuration import SETTINGS


@pytest.fixture
def reader() -> EndpointListReader:
    """Return the reader of the only gateway."""
    return EndpointListReader((), ())


@pytest.mark.parametrize("size", [1, 7, 500, 100_000])
@pytest.mark.parametrize("indent", [None, 4])
def test_result_does_not_depend_on_the_size_of_the_pieces(size: int, indent: int | None) -> None:
    raw = full_list(20)
    reordered = {key: raw[key] for key in ("targets", "all", "rev")}
    reordered["more"] = [{"uid": [1, {}]}, None]
    raw["targets"][3] |= {"labels": {"uid": "x", "deep": [1, [2]]}, "note": None}
    expected = EndpointListReader((), ()).read(encode(raw))
    assert len(expected.update.entries) == len(expected.addresses) == 20
    for form in (raw, reordered):
        pieces = split_into_pieces(encode(form, indent), size)
        assert read_pieces(EndpointListReader((), ()), pieces) == expected


def test_only_the_partition_of_the_gateway_is_stored_at_any_time() -> None:
    reader = EndpointListReader((), (), GATEWAYS, 77)
    parser = reader.new_parser()
    decoder = IncrementalJsonDecoder(parser)
    most_stored = 0
    for piece in split_into_pieces(encode(full_list(20_000)), 8192):
        decoder.feed(piece)
        most_stored = max(most_stored, parser.stored_count)
    decoder.finish()
    update, addresses = parser.result()
    reader.adopt(parser, update)
    assert most_stored <= 1.1 * MAX_PARTITION_BACKENDS  # partitions differ a little in size
    assert update.partition_count == 32
    assert {entry.backend for entry in update.entries} == set(addresses)
    assert all(parser.partition.contains(entry.backend) for entry in update.entries)

    # Of the changes that follow, only those to the partition are stored.
    changed = reader.read(encode(changes(42, range(20_000, 20_640), "leaving"))).update
    assert changed.partition_count == 32
    assert 3 <= len(changed.entries) <= 60
    assert not reader.needs_repartitioning


def test_partitions_of_all_gateways_cover_the_whole_list() -> None:
    addresses = [
        EndpointListReader((), (), GATEWAYS, index).read(encode(full_list(2000))).addresses
        for index in (0, 1)
    ]
    assert {*addresses[0], *addresses[1]} == {
        backend_id(f"s-{number:08x}") for number in range(2000)
    }


def test_deduplication_peers_are_stored_and_updated_for_each_cell_of_the_partition() -> None:
    """Retries of keyed requests need deduplication peers.

    A partition contains at most one of the thirty backends of a cell.
    """
    reader = EndpointListReader((), (), GATEWAYS, 77, has_cell_scope=True)
    update = reader.read(encode(full_list(33_000))).update
    partition = reader.new_parser().partition
    inside = [entry for entry in update.entries if partition.contains(entry.backend)]
    peers = [entry for entry in update.entries if not partition.contains(entry.backend)]
    assert update.partition_count == 64
    assert len(inside) <= MAX_PARTITION_BACKENDS
    assert len(peers) <= DEDUPLICATION_PEERS_PER_CELL * len(inside)
    peers_by_cell = Counter(entry.cell for entry in peers)
    assert peers_by_cell == dict.fromkeys(
        {entry.cell for entry in inside}, DEDUPLICATION_PEERS_PER_CELL
    )

    other_reader = EndpointListReader((), (), GATEWAYS, 77 + 64, has_cell_scope=True)
    other = other_reader.read(encode(full_list(33_000))).update
    shared = {entry.backend for entry in peers} & {entry.backend for entry in other.entries}
    assert len(shared) < len(peers) / 4  # gateways of one partition choose different peers

    # Drains of the peers are applied, and a full list keeps the same peers.
    drains = reader.read(encode(changes(42, range(33_000), "leaving"))).update
    listed = {entry.backend for entry in update.entries}
    assert listed <= {entry.backend for entry in drains.entries}
    repeated = reader.read(encode(full_list(33_000))).update
    assert {entry.backend for entry in repeated.entries} == listed
    assert not reader.needs_repartitioning


def test_deduplication_peers_are_used_only_for_retries() -> None:
    gateway = Gateway(settings(gateways=GATEWAYS, index=0, classes=(KEYED_CELL_CLASS,)), 7)
    partition = Partition(GATEWAYS, 0, 64)
    inside = [n for n in range(1, 5000) if partition.contains(n)][:40]
    peers = [n for n in range(1, 5000) if not partition.contains(n)][:80]
    entries = [Endpoint(n, cell=position % 40) for position, n in enumerate([*inside, *peers])]
    gateway.handle(START_MS, EndpointListUpdate(UpdateKind.FULL, entries, partition_count=64))
    assert {ready.backend for ready in gateway.endpoints.subset.ready} == set(inside)
    actions = gateway.handle(START_MS, request_arrived(1))
    (send,) = [action for action in actions if isinstance(action, Send)]
    actions = gateway.handle(
        START_MS + 50, attempt_ended(1, send.backend, Outcome.RESET, elapsed_ms=50)
    )
    retries = [action for action in actions if isinstance(action, Send)]
    assert send.backend in inside
    assert retries[0].backend in peers


def test_fleet_that_is_too_large_or_too_small_for_its_partitions_is_repartitioned() -> None:
    reader = EndpointListReader((), (), GATEWAYS, 5)
    reader.read(encode(full_list(1000)))
    reader.read(encode(changes(42, range(1000, 1100))))
    assert not reader.needs_repartitioning  # one or two hundred more are tolerated
    reader.read(encode(full_list(30_000)))
    assert not reader.needs_repartitioning
    assert reader.read(encode(full_list(4000))).update.partition_count == 32
    assert reader.needs_repartitioning
    repeated = reader.read(encode(full_list(4000))).update
    assert repeated.partition_count == 4
    assert not reader.needs_repartitioning
    reader.read(encode(changes(43, range(3500), "left")))
    assert reader.needs_repartitioning


ENDLESS_LISTS: dict[str, tuple[bytes, bytes]] = {  # beginning and repeated continuation
    "space": (b'{"rev":1,', b" " * 8192),
    "a text": (b'{"rev":"', b"x" * 8192),
    "depth": (b"", b"[" * 8192),
    "entries": (b'{"rev":1,"all":true,"targets":[', encode(numbered_entry(1)) + b","),
}


@pytest.mark.parametrize("form", ENDLESS_LISTS)
def test_endless_list_is_rejected_after_a_limited_number_of_pieces(
    form: str, monkeypatch: pytest.MonkeyPatch, reader: EndpointListReader
) -> None:
    monkeypatch.setattr(endpoint_list, "MAX_ENTRIES", 500)
    beginning, continuation = ENDLESS_LISTS[form]
    decoder = IncrementalJsonDecoder(reader.new_parser())
    fed = 0

    def feed_all() -> None:
        nonlocal fed
        decoder.feed(beginning)
        for _ in range(1000):
            fed += 1
            decoder.feed(continuation)

    with pytest.raises(EndpointListError) as raised:
        feed_all()
    assert fed <= 501
    assert len(str(raised.value)) < 400
    assert "\n" not in str(raised.value)


def test_too_many_entries_are_rejected_with_a_specific_message(
    monkeypatch: pytest.MonkeyPatch, reader: EndpointListReader
) -> None:
    monkeypatch.setattr(endpoint_list, "MAX_ENTRIES", 500)
    with pytest.raises(EndpointListError, match=r"^more than 500 entries$"):
        reader.read(encode(full_list(501)))


DEEP = b'{"rev":1,"all":true,"x":' + b"[" * 100_000


@pytest.mark.parametrize(
    "invalid",
    [
        b"",
        b" ",
        b"\xff\xfe",
        b"[]",
        DEEP,
        encode(full_list(50))[:-1],
        encode(full_list(50)) + b"x",
        json.dumps(full_list(3)).replace('"rev": 41', '"rev": NaN').encode(),
    ],
)
def test_invalid_list_leaves_the_last_one_in_effect(
    invalid: bytes, reader: EndpointListReader
) -> None:
    last = reader.read(encode(full_list(3))).update
    with pytest.raises(EndpointListError):
        read_pieces(reader, split_into_pieces(invalid, 4096))
    assert len(reader._known_backends) == 3 == len(last.entries)


def test_only_the_partition_of_a_cached_list_in_the_configuration_is_stored(tmp_path: Path) -> None:
    """The list precedes the settings, which determine the partition of this gateway."""
    path = tmp_path / "config.json"
    configuration = {
        "name": "n3",
        "known": full_list(5000, 17),
        "listen": "127.0.0.1:0",
        "seed": "7",
        "discovery": "127.0.0.1:1",
        "settings": SETTINGS | {"balancers": GATEWAYS, "index": 3},
    }
    path.write_text(json.dumps(configuration))
    config = load_config(str(path))
    update = config.initial_endpoints
    assert (update.kind, update.version, update.partition_count) == (UpdateKind.CACHED, 17, 8)
    assert 500 <= len(update.entries) == len(config.initial_addresses) <= 750


def test_configuration_without_a_list_has_no_endpoints(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    configuration = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": SETTINGS,
        "known": None,
    }
    path.write_text(json.dumps(configuration))
    assert load_config(str(path)).initial_endpoints.entries == []
