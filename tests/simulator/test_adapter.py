"""The adapter as a process: a valid exchange, and the exit on malformed input."""

from __future__ import annotations

import struct
import subprocess
import sys

import pytest

from sumacpost.simulator import records
from tests.simulator.examples import (
    ACCEPT,
    DISPATCH,
    WITHDRAWN,
    accept,
    batch,
    provision,
    record,
    view,
)
from tests.support.paths import ROOT

INSTANCE_3 = bytes([3, 0, 0, 0])


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "sumacpost.simulator.adapter"],
        input=data,
        capture_output=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )


def test_a_request_is_dispatched_to_the_cached_backend() -> None:
    done = run_adapter(batch() + batch(provision(), view(), accept()))
    assert done.returncode == 0
    assert not done.stderr
    assert done.stdout[:4] == bytes(4)
    reply = done.stdout[4:]
    (length,) = struct.unpack_from("<I", reply)
    assert length == len(reply) - 4
    (code, _) = records.RECORD_HEADER.unpack_from(reply, 4)
    assert code == DISPATCH
    assert reply[-6:] == bytes([10, 18, 74, 7]) + struct.pack("<H", 7003)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\1\2\3", "batch header"),
        (batch(accept())[:-3], "batch: input ends"),
        (batch(accept()), "instance 3 has not been started"),
        (batch(provision(), record(4242, INSTANCE_3)), "unknown event code 4242"),
        (
            batch(provision(), record(ACCEPT, INSTANCE_3 + bytes([1]))),
            "ACCEPT: 5 bytes of fields, 44 expected",
        ),
        (batch(provision(), accept(request_class=9)), "ACCEPT band: 9"),
        (batch(provision(text="x=1")), "categories.count is missing"),
        (records.BATCH_HEADER.pack(9, 1.0, 1) + bytes(9), "truncated"),
        (records.BATCH_HEADER.pack(2, 1.0, 0) + bytes(2), "after the last record"),
        (batch(provision(), record(WITHDRAWN, INSTANCE_3 + bytes(9))), "WITHDRAWN"),
    ],
)
def test_malformed_input_exits_with_a_one_line_message(data: bytes, message: str) -> None:
    done = run_adapter(data)
    assert done.returncode == 2
    text = done.stderr.decode()
    assert message in text
    assert text.count("\n") == 1
