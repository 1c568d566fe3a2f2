"""The codec: the documented examples of events and actions, and record lengths."""

from __future__ import annotations

import struct

import pytest

from sumacpost.model import (
    Action,
    AddToCounter,
    Cancel,
    CheckHealth,
    CounterReplied,
    EndpointListUpdate,
    Fail,
    Log,
    Outcome,
    Reject,
    RequestArrived,
    Send,
    SendPeerMessage,
    SetTimer,
    UpdateKind,
)
from sumacpost.simulator import codec, records
from sumacpost.simulator.records import EventCode
from tests.support.builders import settings


def test_the_documented_accept_is_read() -> None:
    fields = bytes.fromhex(
        "03000000c4913a5d28800f00000000400000803f00004040000000000000006e40640ad2557c3bf091000001"
    )
    event = codec.read_event(1060, fields, settings())
    assert isinstance(event, RequestArrived)
    assert event.units == 2
    assert event.first_gateway == 1
    assert event.gateway_spread == 3
    assert event.time_left_ms == 240
    assert not event.retry


def test_the_documented_view_is_read() -> None:
    fields = bytes.fromhex(
        "03000000022900000000000000020000000a124a075b1b000000000000010000803f0000000000000000"
        "0a9011f2841b000000000000010000c03f0000000000d4b740"
    )
    event = codec.read_event(1050, fields, settings())
    assert isinstance(event, EndpointListUpdate)
    assert event.kind is UpdateKind.CACHED
    assert [(e.size, e.up_since_ms) for e in event.entries] == [(1.0, 0.0), (1.5, 6100.0)]


def test_the_documented_ledger_reply_is_read() -> None:
    fields = bytes.fromhex("0300000090f689000000000001333333333333014000001842")
    event = codec.read_event(1100, fields, settings())
    assert isinstance(event, CounterReplied)
    assert (event.name, event.outcome, event.total) == (9041552, Outcome.OK, 38.0)


def test_the_documented_actions_are_written() -> None:
    address, port = struct.unpack("<IH", bytes.fromhex("0a124a075b1b"))
    dispatch = "2e041a00000003000000c4913a5d28800f0000000000000054400a124a075b1b"
    request = 0x000F80285D3A91C4
    assert codec.write_action(3, Send(request, address << 16 | port, 80.0)).hex() == dispatch
    bump = "fc03180000000300000090f689000000000000008040000000000070a740"
    assert codec.write_action(3, AddToCounter(9041552, 4.0, 3000.0)).hex() == bump
    wake_me = "1a0414000000030000000000000000407f404d00000000000000"
    assert codec.write_action(3, SetTimer(500.0, 77)).hex() == wake_me
    share = "60040e00000003000000ffffffff040068692037"
    assert codec.write_action(3, SendPeerMessage(None, b"hi 7")).hex() == share
    debug = "06041700000003000000110074776f2073657276657273206b6e6f776e"
    assert codec.write_action(3, Log("two servers known")).hex() == debug


@pytest.mark.parametrize(
    "action",
    [Reject(7, 20.0), Fail(7), Cancel(7, 1), CheckHealth(1 << 16 | 2), SendPeerMessage(2, b"x")],
)
def test_the_header_of_every_action_has_the_length_of_its_fields(action: Action) -> None:
    data = codec.write_action(1, action)
    _, length = records.RECORD_HEADER.unpack_from(data)
    assert length == len(data) - records.RECORD_HEADER.size


@pytest.mark.parametrize(
    ("action", "written"),
    [
        (Fail(7), "f2030c000000030000000700000000000000"),
        (Cancel(7, 1), "38040e0000000300000007000000000000000100"),
        (Reject(7, 20.0), "4c04140000000300000007000000000000000000000000003440"),
        (CheckHealth(1 << 16 | 2), "e8030a00000003000000010000000200"),
        (SendPeerMessage(2, b"x"), "60040b0000000300000002000000010078"),
    ],
)
def test_an_action_without_a_documented_example_has_the_documented_layout(
    action: Action, written: str
) -> None:
    assert codec.write_action(3, action).hex() == written


def test_every_event_code_but_those_of_start_and_stop_has_a_reader() -> None:
    lifecycle = {EventCode.PROVISION, EventCode.DOWN}
    for code in set(EventCode) - lifecycle:
        with pytest.raises(ValueError, match="bytes of fields"):
            codec.read_event(code, b"", settings())
