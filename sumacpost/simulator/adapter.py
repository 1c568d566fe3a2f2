"""The adapter: the simulator's wire on standard input and output, one Gateway for each instance."""

from __future__ import annotations

import sys
from typing import BinaryIO

from sumacpost.policy.gateway import Gateway
from sumacpost.simulator import codec


def _exactly(source: BinaryIO, count: int, what: str) -> bytes:
    data = source.read(count)
    if len(data) != count:
        raise codec.WireError(f"{what}: input ends after {len(data)} of {count} bytes")
    return data


def answer_batch(gateways: dict[int, Gateway], now: float, count: int, body: bytes) -> bytes:
    """Hand each event to its instance and collect the reply's records."""
    out: list[bytes] = []
    at = 0
    for number in range(1, count + 1):
        if len(body) - at < codec.RECORD.size:
            raise codec.WireError(f"record {number} at byte {at}: truncated header")
        code, length = codec.RECORD.unpack_from(body, at)
        fields = body[at + codec.RECORD.size : at + codec.RECORD.size + length]
        if len(fields) < max(length, codec.INSTANCE.size):
            raise codec.WireError(f"record {number} at byte {at}: truncated fields")
        (instance,) = codec.INSTANCE.unpack_from(fields)
        try:
            if code == codec.PROVISION:
                seed, settings = codec.read_provision(fields)
                gateways[instance] = Gateway(settings, seed)
            elif code == codec.STOPPED:
                gateways.pop(instance, None)
            elif instance in gateways:
                gateway = gateways[instance]
                event = codec.read_event(code, fields, gateway.settings)
                out += [
                    codec.write_action(instance, action) for action in gateway.handle(now, event)
                ]
            else:
                raise codec.WireError(f"instance {instance} has not been started")
        except ValueError as error:
            raise codec.WireError(f"record {number} at byte {at}, code {code}: {error}") from error
        at += codec.RECORD.size + length
    if at != len(body):
        raise codec.WireError(f"byte {at}: {len(body) - at} bytes after the last record")
    return b"".join(out)


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    gateways: dict[int, Gateway] = {}
    while head := source.read(codec.BATCH_HEAD.size):
        if len(head) < codec.BATCH_HEAD.size:
            raise codec.WireError(f"batch header: input ends after {len(head)} bytes")
        length, now, count = codec.BATCH_HEAD.unpack(head)
        reply = answer_batch(gateways, now, count, _exactly(source, length, "batch"))
        sink.write(codec.REPLY_HEAD.pack(len(reply)) + reply)
        sink.flush()


def main() -> int:
    """Exit 0 at the end of input, 2 with one plain line on malformed input."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
