"""A settings text and records of the simulator's protocol, shared by several test files."""

from __future__ import annotations

import struct

from sumacpost.simulator import records

# The codes of the protocol, stated independently of the program's own constants.
PROVISION = 1000
WITHDRAWN = 1020
VIEW = 1050
ACCEPT = 1060
DISPATCH = 1070

SETTINGS_TEXT = """balancers=3
categories.count=1
categories.0.aim=1000
categories.0.hard_limit=4000
categories.0.idempotency=token
categories.0.group=cell
categories.0.dedup_window=3000
categories.0.points=5
index=2
permissions.most_tries=3
plans.count=1
plans.0.per_second=4
plans.0.peak_units=8
safety.start_capacity=0.2
safety.cold=15000
safety.fall_multiple=2
safety.overload_for=3000
safety.stop_sending_within=500
telemetry.fields=backlog,utilization
telemetry.via=inline
something.new=7"""


def record(code: int, fields: bytes) -> bytes:
    return records.RECORD_HEADER.pack(code, len(fields)) + fields


def batch(*contents: bytes, now: float = 1000.0) -> bytes:
    body = b"".join(contents)
    return records.BATCH_HEADER.pack(len(body), now, len(contents)) + body


def provision(instance: int = 3, text: str = SETTINGS_TEXT) -> bytes:
    fields = struct.pack("<IQI", instance, 5, len(text)) + text.encode()
    return record(PROVISION, fields)


def view(instance: int = 3) -> bytes:
    entry = struct.pack("<4sHHHHBfd", bytes([10, 18, 74, 7]), 7003, 0, 0, 1, 1, 1.0, 0.0)
    return record(VIEW, struct.pack("<IBQI", instance, 2, 41, 1) + entry)


def accept(instance: int = 3, request_class: int = 0) -> bytes:
    fields = struct.pack("<IQfffBdQHB", instance, 77, 2, 1, 3, request_class, 4000, 9, 0, 2)
    return record(ACCEPT, fields)
