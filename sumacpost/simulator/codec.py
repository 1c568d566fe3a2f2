"""Conversion between the simulator's records and the typed messages of the gateway.

`read_event` and `read_provision` read the fields of a record, without its header, and raise
CodecError if they are malformed. `write_action` returns a complete record with its header.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from enum import IntEnum
from functools import partial
from struct import Struct
from typing import Any, TypeVar

from sumacpost.errors import CodecError
from sumacpost.model import (
    Action,
    AddToCounter,
    AttemptEnded,
    BackendId,
    Cancel,
    CheckHealth,
    CounterReplied,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
    HealthCheckEnded,
    Log,
    Outcome,
    PeerMessage,
    Reject,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    Send,
    SendPeerMessage,
    SetTimer,
    Settings,
    TimerFired,
    UpdateKind,
)
from sumacpost.settings_text import parse_settings
from sumacpost.simulator import records
from sumacpost.simulator.records import ActionCode, EventCode

EnumMember = TypeVar("EnumMember", bound=IntEnum)

PORT_BITS = 16
PORT_MASK = 0xFFFF


# ---- fields


def _backend_id(address: int, port: int) -> BackendId:
    return address << PORT_BITS | port


def _unpack_fixed(layout: Struct, fields: bytes, record: str) -> tuple[Any, ...]:
    """Unpack a record without a variable part; raise CodecError if its length is wrong."""
    if len(fields) != layout.size:
        raise CodecError(f"{record}: {len(fields)} bytes of fields, {layout.size} expected")
    return layout.unpack(fields)


def _unpack_counted(
    layout: Struct, fields: bytes, item_size: int, record: str
) -> tuple[tuple[Any, ...], bytes]:
    """Unpack a record whose last fixed field is the number of items after the fixed fields.

    Return the fixed fields and the bytes of the items; raise CodecError if the length is wrong.
    """
    if len(fields) < layout.size:
        raise CodecError(
            f"{record}: {len(fields)} bytes of fields, at least {layout.size} expected"
        )
    fixed = layout.unpack_from(fields)
    items = fields[layout.size :]
    count = fixed[-1]
    if len(items) != count * item_size:
        raise CodecError(
            f"{record}: {len(items)} bytes follow, {count} items of {item_size} bytes expected"
        )
    return fixed, items


def _checked_number(value: float, field: str, minimum: float = 0.0) -> float:
    """Return the value; raise CodecError if it is not finite or is below the minimum."""
    if not (math.isfinite(value) and value >= minimum):
        raise CodecError(f"{field}: {value!r} is not a finite number of at least {minimum:g}")
    return value


def _enum_member(kind: type[EnumMember], value: int, field: str) -> EnumMember:
    """Return the enum member with this value; raise CodecError if there is none."""
    try:
        return kind(value)
    except ValueError:
        raise CodecError(f"{field}: unknown value {value!r}") from None


def _report_values(data: bytes, field: str) -> tuple[float, ...]:
    """Return the values of a load report; raise CodecError if one is not finite."""
    values: tuple[float, ...] = struct.unpack(f"<{len(data) // records.REPORT_VALUE_SIZE}f", data)
    for value in values:
        _checked_number(value, field, -math.inf)
    return values


# ---- events


def _read_view(fields: bytes) -> EndpointListUpdate:
    fixed, items = _unpack_counted(records.VIEW, fields, records.VIEW_ENTRY.size, "VIEW")
    _, form, serial, _ = fixed
    entries = []
    for address, port, zone, kind, cell, status, size, up_since in records.VIEW_ENTRY.iter_unpack(
        items
    ):
        entries.append(
            Endpoint(
                _backend_id(address, port),
                _enum_member(EndpointStatus, status, "VIEW availability"),
                zone,
                kind,
                cell,
                _checked_number(size, "VIEW size"),
                _checked_number(up_since, "VIEW up_since"),
            )
        )
    return EndpointListUpdate(_enum_member(UpdateKind, form, "VIEW form"), entries, serial)


def _read_accept(fields: bytes) -> RequestArrived:
    _, request, units, first, width, request_class, time_left, customer, plan, bits = _unpack_fixed(
        records.ACCEPT, fields, "ACCEPT"
    )
    return RequestArrived(
        request=request,
        customer=customer,
        plan=plan,
        request_class=request_class,
        units=_checked_number(units, "ACCEPT price_units"),
        first_gateway=int(_checked_number(first, "ACCEPT set_from")),
        gateway_spread=int(_checked_number(width, "ACCEPT width", 1)),
        time_left_ms=_checked_number(time_left, "ACCEPT time_left"),
        retry=bool(bits & records.RETRY_BIT),
    )


def _read_begun(fields: bytes) -> ResponseStarted:
    _, request, attempt, address, port, spent = _unpack_fixed(records.BEGUN, fields, "BEGUN")
    return ResponseStarted(
        request, attempt, _backend_id(address, port), _checked_number(spent, "BEGUN spent")
    )


def _read_completed(fields: bytes) -> AttemptEnded:
    fixed, items = _unpack_counted(
        records.COMPLETED, fields, records.REPORT_VALUE_SIZE, "COMPLETED"
    )
    _, request, attempt, address, port, verdict, spent, over, used, units, _ = fixed
    return AttemptEnded(
        request=request,
        attempt=attempt,
        backend=_backend_id(address, port),
        outcome=_enum_member(Outcome, verdict, "COMPLETED verdict"),
        elapsed_ms=_checked_number(spent, "COMPLETED spent"),
        concluded=bool(over),
        # The record contains the percentage plus 1; 0 means that there is no percentage.
        quota_used_percent=used - 1.0 if used else None,
        actual_units=float(units),
        report=_report_values(items, "COMPLETED telemetry"),
    )


def _read_withdrawn(fields: bytes) -> RequestCancelled:
    _, request = _unpack_fixed(records.WITHDRAWN, fields, "WITHDRAWN")
    return RequestCancelled(request)


def _read_deadline_hit(fields: bytes) -> TimerFired:
    _, label = _unpack_fixed(records.DEADLINE_HIT, fields, "DEADLINE_HIT")
    return TimerFired(label)


def _read_status_back(fields: bytes) -> HealthCheckEnded:
    fixed, items = _unpack_counted(
        records.STATUS_BACK, fields, records.REPORT_VALUE_SIZE, "STATUS_BACK"
    )
    _, address, port, verdict, spent, _ = fixed
    return HealthCheckEnded(
        _backend_id(address, port),
        _enum_member(Outcome, verdict, "STATUS_BACK verdict"),
        _checked_number(spent, "STATUS_BACK spent"),
        _report_values(items, "STATUS_BACK telemetry"),
    )


def _read_message(fields: bytes) -> PeerMessage:
    fixed, body = _unpack_counted(records.MESSAGE, fields, 1, "MESSAGE")
    _, author, _ = fixed
    return PeerMessage(author, body)


def _read_ledger_reply(fields: bytes) -> CounterReplied:
    _, name, verdict, spent, reading = _unpack_fixed(records.LEDGER_REPLY, fields, "LEDGER_REPLY")
    outcome = _enum_member(Outcome, verdict, "LEDGER_REPLY verdict")
    if outcome is Outcome.OK:
        _checked_number(reading, "LEDGER_REPLY reading", -math.inf)
    return CounterReplied(name, outcome, _checked_number(spent, "LEDGER_REPLY spent"), reading)


_READERS: dict[int, Callable[[bytes], Event]] = {
    EventCode.VIEW: _read_view,
    EventCode.ACCEPT: _read_accept,
    EventCode.BEGUN: _read_begun,
    EventCode.COMPLETED: _read_completed,
    EventCode.WITHDRAWN: _read_withdrawn,
    EventCode.DEADLINE_HIT: _read_deadline_hit,
    EventCode.STATUS_BACK: _read_status_back,
    EventCode.MESSAGE: _read_message,
    EventCode.LEDGER_REPLY: _read_ledger_reply,
}


def read_event(code: int, fields: bytes, settings: Settings) -> Event:
    """Return the event in a record other than PROVISION and DOWN.

    Raise CodecError if the record is malformed or refers to a class or plan that the settings do
    not have.
    """
    reader = _READERS.get(code)
    if reader is None:
        raise CodecError(f"unknown event code {code}")
    event = reader(fields)
    if isinstance(event, RequestArrived):
        _check_index(event.request_class, len(settings.classes), "ACCEPT band")
        _check_index(event.plan, len(settings.plans), "ACCEPT tariff")
    return event


def _check_index(index: int, count: int, field: str) -> None:
    if index >= count:
        raise CodecError(f"{field}: {index} is not below {count}")


def read_provision(fields: bytes) -> tuple[int, Settings]:
    """Return the seed and the settings in a PROVISION record, which starts an instance."""
    fixed, text = _unpack_counted(records.PROVISION, fields, 1, "PROVISION")
    _, seed, _ = fixed
    try:
        return seed, parse_settings(text.decode())
    except UnicodeDecodeError:
        raise CodecError("PROVISION settings: not UTF-8 text") from None


# ---- actions


def _fixed_packer(code: ActionCode, fields: str) -> Callable[..., bytes]:
    """Return a function that packs a record of these fields, with its header."""
    layout = Struct(records.RECORD_HEADER.format + fields)
    return partial(layout.pack, int(code), layout.size - records.RECORD_HEADER.size)


_pack_dispatch = _fixed_packer(ActionCode.DISPATCH, records.DISPATCH_FIELDS)
_pack_undo_send = _fixed_packer(ActionCode.UNDO_SEND, records.UNDO_SEND_FIELDS)
_pack_deny = _fixed_packer(ActionCode.DENY, records.DENY_FIELDS)
_pack_fail = _fixed_packer(ActionCode.FAIL, records.FAIL_FIELDS)
_pack_wake_me = _fixed_packer(ActionCode.WAKE_ME, records.WAKE_ME_FIELDS)
_pack_test = _fixed_packer(ActionCode.TEST, records.TEST_FIELDS)
_pack_bump = _fixed_packer(ActionCode.BUMP, records.BUMP_FIELDS)


def _write_send(instance: int, action: Send) -> bytes:
    address = action.backend >> PORT_BITS
    port = action.backend & PORT_MASK
    return _pack_dispatch(instance, action.request, action.timeout_ms, address, port)


def _write_cancel(instance: int, action: Cancel) -> bytes:
    return _pack_undo_send(instance, action.request, action.attempt)


def _write_reject(instance: int, action: Reject) -> bytes:
    return _pack_deny(instance, action.request, action.retry_after_ms)


def _write_fail(instance: int, action: Fail) -> bytes:
    return _pack_fail(instance, action.request)


def _write_set_timer(instance: int, action: SetTimer) -> bytes:
    return _pack_wake_me(instance, action.after_ms, action.label)


def _write_check_health(instance: int, action: CheckHealth) -> bytes:
    return _pack_test(instance, action.backend >> PORT_BITS, action.backend & PORT_MASK)


def _write_add_to_counter(instance: int, action: AddToCounter) -> bytes:
    return _pack_bump(instance, action.name, action.amount, action.ttl_ms)


def _write_send_peer_message(instance: int, action: SendPeerMessage) -> bytes:
    receiver = records.EVERY_PEER if action.gateway is None else action.gateway
    size = len(action.body)
    return _pack_counted(records.SHARE, ActionCode.SHARE, size, instance, receiver) + action.body


def _write_log(instance: int, action: Log) -> bytes:
    text = action.text.encode()[: records.MAX_TEXT_BYTES]
    return _pack_counted(records.DEBUG, ActionCode.DEBUG, len(text), instance) + text


def _pack_counted(layout: Struct, code: ActionCode, size: int, *fields: int) -> bytes:
    """Pack the fixed part of a record whose variable part has `size` bytes."""
    length = layout.size - records.RECORD_HEADER.size + size
    return layout.pack(code, length, *fields, size)


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    Send: _write_send,
    Cancel: _write_cancel,
    Reject: _write_reject,
    Fail: _write_fail,
    SetTimer: _write_set_timer,
    CheckHealth: _write_check_health,
    AddToCounter: _write_add_to_counter,
    SendPeerMessage: _write_send_peer_message,
    Log: _write_log,
}


def write_action(instance: int, action: Action) -> bytes:
    """Encode an action of an instance as a record."""
    return _WRITERS[type(action)](instance, action)
