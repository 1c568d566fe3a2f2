"""Lists of every length and shape: what is held and asked for stays bounded, and the last good one holds."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from typing import Any

import pytest

from sumacpost.config import load_config
from sumacpost.discovery import backoff, endpoint_list
from sumacpost.discovery import watch as discovery_watch
from sumacpost.discovery.backoff import PollBackoff
from sumacpost.discovery.deduplication_peers import DEDUPLICATION_PEERS
from sumacpost.discovery.endpoint_list import EndpointListReader, backend_id
from sumacpost.discovery.incremental_json import IncrementalJson
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.errors import EndpointListError
from sumacpost.model import Endpoint, EndpointListUpdate, Outcome, Send, UpdateKind
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.subsetting import MAX_PARTITION_BACKENDS, Partition
from sumacpost.supervisor import SupervisedTask
from tests.support.builders import KEYED, START, ended, settings
from tests.support.builders import request as arrival
from tests.support.configuration import SETTINGS
from tests.support.event_loop import run, until
from tests.support.peers import Peer, Script

FLEET = 6900  # gateways


def entry(number: int, state: str = "active") -> dict[str, Any]:
    return {
        "uid": f"s-{number:08x}",
        "endpoint": f"127.0.{number >> 8 & 255}.{number & 255}:8081",
        "az": "hall-a",
        "model": "std-2c",
        "pod_group": number // 30,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def whole(count: int, rev: int = 41) -> dict[str, Any]:
    return {"rev": rev, "all": True, "targets": [entry(n) for n in range(count)]}


def in_pieces(data: bytes, size: int) -> Iterator[bytes]:
    return (data[at : at + size] for at in range(0, len(data), size))


def read(reader: EndpointListReader, pieces: Any) -> tuple[EndpointListUpdate, Any]:
    sink = reader.new_parser()
    decoder = IncrementalJson(sink)
    for piece in pieces:
        decoder.feed(piece)
    decoder.finish()
    update, endpoints = sink.result()
    reader.adopt(sink, update)
    return update, endpoints


@pytest.mark.parametrize("size", [1, 7, 500, 100_000])
@pytest.mark.parametrize("indent", [None, 4])
def test_a_list_reads_the_same_in_pieces_of_any_size(size: int, indent: int | None) -> None:
    raw = whole(20)
    turned = {key: raw[key] for key in ("targets", "all", "rev")} | {
        "more": [{"uid": [1, {}]}, None]
    }
    raw["targets"][3] |= {"labels": {"uid": "x", "deep": [1, [2]]}, "note": None}
    expected = read(EndpointListReader((), ()), [json.dumps(raw).encode()])
    assert len(expected[0].entries) == len(expected[1]) == 20
    for form in (raw, turned):
        assert (
            read(
                EndpointListReader((), ()),
                in_pieces(json.dumps(form, indent=indent).encode(), size),
            )
            == expected
        )


def test_of_a_long_list_only_this_gateways_part_is_held_at_any_time() -> None:
    reader = EndpointListReader((), (), FLEET, 77)
    sink = reader.new_parser()
    decoder, most = IncrementalJson(sink), 0
    for piece in in_pieces(json.dumps(whole(20_000)).encode(), 8192):
        decoder.feed(piece)
        most = max(most, sink.held_count)
    decoder.finish()
    update, endpoints = sink.result()
    reader.adopt(sink, update)
    assert most <= 1.1 * MAX_PARTITION_BACKENDS  # the parts of a fleet are not quite alike
    assert update.partition_count == 32
    assert {e.backend for e in update.entries} == set(endpoints)
    assert all(sink.partition.holds(e.backend) for e in update.entries)
    others = [
        read(EndpointListReader((), (), FLEET, n), [json.dumps(whole(2000)).encode()])[1]
        for n in (0, 1)
    ]
    assert {*others[0], *others[1]} == {backend_id(f"s-{n:08x}") for n in range(2000)}
    # and of the changes that follow only those to the part
    changes = {
        "rev": 42,
        "all": False,
        "targets": [entry(n, "leaving") for n in range(20_000, 20_640)],
    }
    changed, _ = read(reader, [json.dumps(changes).encode()])
    assert changed.partition_count == 32 and 3 <= len(changed.entries) <= 60
    assert not reader.needs_repartitioning


def test_for_each_cell_of_the_part_some_backends_of_other_parts_are_held_and_followed() -> None:
    """Of the thirty backends of a cell the part has one at most: its keyed repeats need others."""
    reader = EndpointListReader((), (), FLEET, 77, has_cell_scope=True)
    update, _ = read(reader, [json.dumps(whole(33_000)).encode()])
    sink = reader.new_parser()
    inside = [e for e in update.entries if sink.partition.holds(e.backend)]
    beside = [e for e in update.entries if not sink.partition.holds(e.backend)]
    assert (
        update.partition_count == 64
        and len(inside) <= MAX_PARTITION_BACKENDS
        and len(beside) <= DEDUPLICATION_PEERS * len(inside)
    )
    by_cell: dict[int, int] = {}
    for e in beside:
        by_cell[e.cell] = by_cell.get(e.cell, 0) + 1
    assert by_cell == dict.fromkeys({e.cell for e in inside}, DEDUPLICATION_PEERS)
    other = read(
        EndpointListReader((), (), FLEET, 77 + 64, has_cell_scope=True),
        [json.dumps(whole(33_000)).encode()],
    )[0]
    shared = {e.backend for e in beside} & {e.backend for e in other.entries}
    assert len(shared) < len(beside) / 4  # ingresses of one part choose different ones
    # their drains are told, and a whole list keeps to them
    drains = {"rev": 42, "all": False, "targets": [entry(n, "leaving") for n in range(33_000)]}
    told, _ = read(reader, [json.dumps(drains).encode()])
    assert {e.backend for e in update.entries} <= {e.backend for e in told.entries}
    again, _ = read(reader, [json.dumps(whole(33_000)).encode()])
    assert {e.backend for e in again.entries} == {e.backend for e in update.entries}
    assert not reader.needs_repartitioning


def test_backends_of_another_part_are_for_repeats_alone() -> None:
    g = Gateway(settings(gateways=FLEET, index=0, classes=(KEYED,)), 7)
    partition = Partition(FLEET, 0, 64)
    mine = [n for n in range(1, 5000) if partition.holds(n)][:40]
    others = [n for n in range(1, 5000) if not partition.holds(n)][:80]
    entries = [Endpoint(n, cell=at % 40) for at, n in enumerate([*mine, *others])]
    g.handle(START, EndpointListUpdate(UpdateKind.FULL, entries, partition_count=64))
    assert {n for _, n, *_ in g.endpoints.subset.ready} == set(mine)
    (send,) = [a for a in g.handle(START, arrival(1)) if isinstance(a, Send)]
    again = [
        a
        for a in g.handle(START + 50, ended(1, send.backend, Outcome.RESET, took=50))
        if isinstance(a, Send)
    ]
    assert send.backend in mine and again[0].backend in others


def test_a_fleet_that_has_outgrown_or_shrunk_below_its_parts_is_divided_anew() -> None:
    reader = EndpointListReader((), (), FLEET, 5)
    read(reader, [json.dumps(whole(1000)).encode()])
    grown = {"rev": 42, "all": False, "targets": [entry(n) for n in range(1000, 1100)]}
    read(reader, [json.dumps(grown).encode()])
    assert not reader.needs_repartitioning  # one or two hundred more do no harm
    read(reader, [json.dumps(whole(30_000)).encode()])
    assert not reader.needs_repartitioning
    assert read(reader, [json.dumps(whole(4000)).encode()])[0].partition_count == 32
    assert reader.needs_repartitioning
    again, _ = read(reader, [json.dumps(whole(4000)).encode()])
    assert again.partition_count == 4 and not reader.needs_repartitioning
    gone = {"rev": 43, "all": False, "targets": [entry(n, "left") for n in range(3500)]}
    read(reader, [json.dumps(gone).encode()])
    assert reader.needs_repartitioning


DEEP = b'{"rev":1,"all":true,"x":' + b"[" * 100_000
ENDLESS: dict[str, tuple[bytes, bytes]] = {  # how it begins and goes on
    "space": (b'{"rev":1,', b" " * 8192),
    "a text": (b'{"rev":"', b"x" * 8192),
    "depth": (b"", b"[" * 8192),
    "entries": (b'{"rev":1,"all":true,"targets":[', json.dumps(entry(1)).encode() + b","),
}


@pytest.mark.parametrize("form", ENDLESS)
def test_a_list_that_never_ends_is_given_up_after_a_bounded_number_of_pieces(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoint_list, "MAX_ENTRIES", 500)
    begun, more = ENDLESS[form]
    decoder = IncrementalJson(EndpointListReader((), ()).new_parser())
    fed = 0
    with pytest.raises(EndpointListError) as raised:
        decoder.feed(begun)
        for _ in range(1000):
            fed += 1
            decoder.feed(more)
    assert fed <= 501
    assert len(str(raised.value)) < 400 and "\n" not in str(raised.value)


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b" ",
        b"\xff\xfe",
        b"[]",
        DEEP,
        json.dumps(whole(50)).encode()[:-1],
        json.dumps(whole(50)).encode() + b"x",
        json.dumps(whole(3)).replace('"rev": 41', '"rev": NaN').encode(),
    ],
)
def test_a_list_that_is_none_takes_nothing_from_the_last(bad: bytes) -> None:
    reader = EndpointListReader((), ())
    good, _ = read(reader, [json.dumps(whole(3)).encode()])
    with pytest.raises(EndpointListError):
        read(reader, in_pieces(bad, 4096))
    assert len(reader._held) == 3 == len(good.entries)


# ---- the watch


def reply(body: Any) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)


class Watched:
    """The watch of a scripted agent, and what it told."""

    def __init__(self, script: Script, gateways: int = 1) -> None:
        self.agent, self.gateways = Peer(script), gateways
        self.told: list[EndpointListUpdate] = []

    async def __aenter__(self) -> Watched:
        await self.agent.start()
        reader = EndpointListReader((), (), self.gateways, 0)
        self.watch = DiscoveryWatch(
            ("127.0.0.1", self.agent.port), reader, 5, lambda update, _: self.told.append(update)
        )
        self.task = SupervisedTask("the watch", self.watch.run)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.task.stop()
        self.agent.stop()

    @property
    def limited(self) -> bool:
        return self.watch._backoff.is_limited(asyncio.get_running_loop().time())

    @property
    def asked(self) -> list[bytes]:
        return [r.split()[1].partition(b"hold")[0] for r in self.agent.requests]


WATCH, WHOLE = b"/v1/servers?from=5&", b"/v1/servers"


@pytest.fixture
def hurried(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backoff, "RECONNECT_DELAY_S", 0.001)


def test_a_long_list_that_cannot_be_read_is_not_asked_for_again_but_changes_are(
    hurried: None, caplog: Any
) -> None:
    """15 MB of it were asked for every 0.1 s; now the watch goes on from the last good version."""

    async def test() -> None:
        spoilt = json.dumps(whole(5000)).encode()[:-9] + b"spoilt!!!"

        async def script(peer: Peer, asked: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) <= 6:
                writer.write(reply(spoilt))
            elif len(peer.requests) == 7:
                writer.write(reply({"rev": 6, "all": False, "targets": [entry(1, "leaving")]}))

        async with Watched(script) as w:
            await until(lambda: bool(w.told))
            assert w.told[0].version == 6
            # the watch, then the whole list, which may hold what it had to say; then none but the watch
            assert w.asked[:7] == [WATCH] * 7 or w.asked[:7] == [WATCH, WHOLE, *[WATCH] * 5]
            await until(lambda: len(w.asked) == 8)
            assert w.asked[7] == b"/v1/servers?from=6&"  # all is well again
            assert not w.limited

    run(test())
    assert "endpoint list rejected: error=EndpointListError('parse error" in caplog.text
    assert "a body of" in caplog.text


def test_what_is_taken_of_long_lists_while_they_cannot_be_read_is_bounded(hurried: None) -> None:
    """Counted where the ingress reads, over the calls of the time that follows."""

    async def test() -> None:
        spoilt = json.dumps(whole(5000)).encode()[:-1]

        async def script(peer: Peer, asked: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(reply(spoilt))

        async with Watched(script) as w:
            await until(lambda: w.limited)
            asked, came = len(w.agent.requests), []
            for n in range(asked + 1, asked + 8):
                await until(lambda n=n: len(w.agent.requests) >= n + 1)  # type: ignore[misc]
                came.append(w.watch._received_bytes)
            assert max(came) <= discovery_watch.READ_BYTES
            assert not w.told

    run(test())


def test_the_delay_after_failed_responses_doubles_up_to_what_the_limit_on_drains_leaves() -> None:
    failing = PollBackoff()
    delays = [failing.next_delay(100, malformed=True, now=0.0) for _ in range(12)]
    for n, delay in enumerate(delays):
        most = min(backoff.MAX_RECONNECT_DELAY_S, 0.1 * 2**n)
        assert most / 2 <= delay <= most
    # A change counts as known then.
    assert backoff.MAX_RECONNECT_DELAY_S + discovery_watch.RESPONSE_TIMEOUT_S + 1 < 6
    assert not failing.is_limited(0.0)  # a short list costs little
    # An agent that sends nothing costs nothing.
    assert failing.next_delay(0, malformed=False, now=0.0) == 0.1


def test_a_long_list_that_broke_off_twice_begins_limits_that_double() -> None:
    """A list that broke off once may be requested again at once."""
    watch = DiscoveryWatch(("127.0.0.1", 1), EndpointListReader((), ()), 5, lambda *_: None)
    failing = watch._backoff
    failing.next_delay(15_000_000, malformed=False, now=0.0)
    assert not failing.is_limited(0.0)
    limits = []
    for _ in range(9):
        failing.next_delay(15_000_000, malformed=False, now=0.0)
        limits.append(round(failing.limited_until))
    assert limits == [60, 120, 240, 480, 960, 1920, 3840, 5000, 5000]
    watch.move(("127.0.0.1", 2))
    assert not failing.is_limited(0.0)


def test_a_list_that_breaks_off_is_asked_for_again_from_the_last_good_version(
    hurried: None,
) -> None:
    async def test() -> None:
        async def script(peer: Peer, asked: bytes, writer: asyncio.StreamWriter) -> None:
            said = reply({"rev": 6, "all": False, "targets": [entry(1)]})
            if len(peer.requests) <= 4:
                writer.write(said[:-20])
                writer.close()
            elif len(peer.requests) == 5:
                writer.write(said)

        async with Watched(script) as w:
            await until(lambda: bool(w.told))
            assert w.asked[:5] == [WATCH] * 5

    run(test())


def test_a_long_list_is_told_bit_by_bit_and_then_as_a_whole() -> None:
    async def test() -> None:
        async def script(peer: Peer, asked: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                writer.write(reply(whole(900, 6)))

        async with Watched(script) as w:
            await until(lambda: any(update.kind is UpdateKind.FULL for update in w.told))
            *bits, last = w.told
            assert [update.kind for update in bits] == [UpdateKind.CHANGES] * len(bits)
            assert (
                max(len(update.entries) for update in bits) <= discovery_watch.UPDATE_BATCH_ENTRIES
            )
            assert len(last.entries) == 900
            assert {e.backend for u in bits for e in u.entries} <= {e.backend for e in last.entries}
            assert sum(len(u.entries) for u in bits) >= 900 - discovery_watch.UPDATE_BATCH_ENTRIES

    run(test())


def test_a_misfit_asks_for_the_whole_list() -> None:
    async def test() -> None:
        async def script(peer: Peer, asked: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                writer.write(reply(whole(3000, 6)))
            elif len(peer.requests) == 2:
                writer.write(
                    reply(
                        {"rev": 7, "all": False, "targets": [entry(n, "left") for n in range(2700)]}
                    )
                )
            elif len(peer.requests) == 3:
                writer.write(
                    reply({"rev": 7, "all": True, "targets": [entry(n) for n in range(2700, 3000)]})
                )

        async with Watched(script, FLEET) as w:
            await until(lambda: len(w.asked) == 4)
            assert w.asked == [WATCH, b"/v1/servers?from=6&", WHOLE, b"/v1/servers?from=7&"]
            assert w.told[-1].partition_count == 1 and len(w.told[-1].entries) == 300

    run(test())


def test_a_configuration_with_a_long_list_is_read_in_pieces_and_kept_in_part(tmp_path: Any) -> None:
    """The list stands ahead of the settings that tell which part of it is this ingress's."""
    path = tmp_path / "config.json"
    told = SETTINGS | {"balancers": FLEET, "index": 3}
    path.write_text(
        json.dumps(
            {
                "name": "n3",
                "known": whole(5000, 17),
                "listen": "127.0.0.1:0",
                "seed": "7",
                "discovery": "127.0.0.1:1",
                "settings": told,
            }
        )
    )
    config = load_config(str(path))
    known = config.initial_endpoints
    assert (known.kind, known.version, known.partition_count) == (UpdateKind.CACHED, 17, 8)
    assert 500 <= len(known.entries) == len(config.initial_addresses) <= 750
    path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "settings": SETTINGS,
                "known": None,
            }
        )
    )
    assert load_config(str(path)).initial_endpoints.entries == []
