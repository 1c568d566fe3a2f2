"""Runs gateways as a process of the simulator: batches on stdin, replies on stdout.

One process serves many instances, each with its own Gateway.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from sumacpost.errors import CodecError
from sumacpost.policy.gateway import Gateway
from sumacpost.simulator import codec, records
from sumacpost.simulator.records import EventCode

EXIT_MALFORMED_INPUT = 2

# Plain integers, because looking up and comparing enum members for each event is slow.
_PROVISION = int(EventCode.PROVISION)
_DOWN = int(EventCode.DOWN)


class Adapter:
    """The gateways of all instances that this process serves."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}

    def handle_batch(self, now_ms: float, count: int, body: bytes) -> bytes:
        """Pass each event to the gateway of its instance and return the records of the actions.

        Raise CodecError if the batch is malformed; it names the record's number and byte offset
        where there is one.
        """
        reply: list[bytes] = []
        offset = 0
        for number in range(1, count + 1):
            if len(body) - offset < records.RECORD_HEADER.size:
                raise CodecError(f"record {number} at byte {offset}: truncated header")
            code, length = records.RECORD_HEADER.unpack_from(body, offset)
            start = offset + records.RECORD_HEADER.size
            fields = body[start : start + length]
            if len(fields) < max(length, records.INSTANCE.size):
                raise CodecError(f"record {number} at byte {offset}: truncated fields")
            try:
                reply += self._handle_record(now_ms, code, fields)
            except ValueError as error:
                raise CodecError(
                    f"record {number} at byte {offset}, code {code}: {error}"
                ) from error
            offset = start + length
        if offset != len(body):
            raise CodecError(f"byte {offset}: {len(body) - offset} bytes after the last record")
        return b"".join(reply)

    def _handle_record(self, now_ms: float, code: int, fields: bytes) -> list[bytes]:
        (instance,) = records.INSTANCE.unpack_from(fields)
        if code == _PROVISION:
            seed, settings = codec.read_provision(fields)
            self._gateways[instance] = Gateway(settings, seed)
            return []
        if code == _DOWN:
            self._gateways.pop(instance, None)
            return []
        gateway = self._gateways.get(instance)
        if gateway is None:
            raise CodecError(f"instance {instance} has not been started")
        event = codec.read_event(code, fields, gateway.settings)
        return [codec.write_action(instance, action) for action in gateway.handle(now_ms, event)]


def _read_exactly(source: BinaryIO, count: int) -> bytes:
    data = source.read(count)
    if len(data) != count:
        raise CodecError(f"batch: input ends after {len(data)} of {count} bytes")
    return data


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends; raise CodecError for the first malformed one."""
    adapter = Adapter()
    while header := source.read(records.BATCH_HEADER.size):
        if len(header) < records.BATCH_HEADER.size:
            raise CodecError(f"batch header: input ends after {len(header)} bytes")
        length, now_ms, count = records.BATCH_HEADER.unpack(header)
        reply = adapter.handle_batch(now_ms, count, _read_exactly(source, length))
        sink.write(records.REPLY_HEADER.pack(len(reply)) + reply)
        sink.flush()


def main() -> int:
    """Run the adapter and return its exit code.

    Return 0 at the end of the input, or 2 after one line on standard error if the input is
    malformed.
    """
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except CodecError as error:
        print(f"sumacpost.simulator: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
