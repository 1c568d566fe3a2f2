"""A stand-in for the shared counter: ADDGET over RESP2, sharded by name, at a limited rate."""

from __future__ import annotations

import asyncio
import zlib
from dataclasses import dataclass

from fleetlab.stand_in import StandInServer

MAX_TTL_MS = 60_000.0
MIN_TTL_MS = 1.0
MAX_NAME_BYTES = 64
MAX_AMOUNT = 1e9
MAX_CALL_STRINGS = 16  # bulk strings in one call
MAX_BULK_STRING_BYTES = 1024
MAX_QUEUED_REPLIES = 10_000  # per connection
PURGE_INTERVAL = 10_000  # additions between two purges of expired totals

_UNKNOWN_CALL = b"-ERR no such call\r\n"
_BUSY = b"-BUSY\r\n"


@dataclass(slots=True)
class Total:
    """The total of one name and its expiry time, in s on the event loop's clock."""

    value: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Addition:
    """The arguments of a valid ADDGET."""

    name: bytes
    amount: float
    ttl_s: float


@dataclass(frozen=True, slots=True)
class _Reply:
    """A reply and the time at which it is due, in s on the event loop's clock."""

    due_at: float
    data: bytes


class CounterServer(StandInServer):
    """Serves totals by name on a loopback port chosen by the system.

    rate: additions per second of all shards together. max_wait_s: an addition whose reply would be
    due more than this time after the call is rejected with -BUSY and adds nothing. Raise ValueError
    if the rate is not positive or there is no shard.
    """

    def __init__(self, rate: float = 100_000.0, shards: int = 4, max_wait_s: float = 0.2) -> None:
        if rate <= 0 or shards < 1:
            raise ValueError(f"invalid counter: {rate} calls per second in {shards} shards")
        super().__init__()
        self.additions = 0  # executed so far
        self.rejected_additions = 0  # rejected with -BUSY
        self.bytes_written = 0
        self.totals: dict[bytes, Total] = {}
        self.address = ""  # host and port; empty before start()
        self._call_s = shards / rate
        self._max_wait_s = max_wait_s
        self._free_at = [0.0] * shards

    async def start(self) -> None:
        """Start to listen."""
        self._loop = asyncio.get_running_loop()
        self.address = await self._listen()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        replies: asyncio.Queue[_Reply] = asyncio.Queue(MAX_QUEUED_REPLIES)
        write_task = asyncio.create_task(self._write_replies(replies, writer))
        try:
            while True:
                await replies.put(self._execute(await _read_call(reader)))
        except ValueError:
            pass  # the input is not a valid call, so the start of the next call is unknown
        finally:
            write_task.cancel()

    def _execute(self, strings: list[bytes]) -> _Reply:
        now = self._loop.time()
        match strings[0].upper():
            case b"PING":
                return _Reply(now, b"+PONG\r\n")
            case b"CLIENT" | b"SELECT":
                return _Reply(now, b"+OK\r\n")
            case b"ADDGET":
                addition = _parse_addition(strings)
                if addition is not None:
                    return self._add(addition, now)
        return _Reply(now, _UNKNOWN_CALL)

    def _add(self, addition: _Addition, now: float) -> _Reply:
        shard = zlib.crc32(addition.name) % len(self._free_at)
        due_at = max(now, self._free_at[shard]) + self._call_s
        if due_at - now > self._max_wait_s:
            self.rejected_additions += 1
            return _Reply(now, _BUSY)
        self._free_at[shard] = due_at
        self.additions += 1
        total = self.totals.get(addition.name)
        if total is None or total.expires_at <= now:
            total = Total(0.0, now + addition.ttl_s)
            self.totals[addition.name] = total
        total.value += addition.amount
        if self.additions % PURGE_INTERVAL == 0:
            self._purge(now)
        text = b"%.7g" % total.value
        return _Reply(due_at, b"$%d\r\n%b\r\n" % (len(text), text))

    def _purge(self, now: float) -> None:
        self.totals = {name: total for name, total in self.totals.items() if total.expires_at > now}

    async def _write_replies(
        self, replies: asyncio.Queue[_Reply], writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                reply = await replies.get()
                wait_s = reply.due_at - self._loop.time()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                if writer.transport.is_closing():
                    return  # the client has closed the connection
                writer.write(reply.data)
                await writer.drain()
                self.bytes_written += len(reply.data)
        except ConnectionError:
            writer.close()


def _parse_addition(strings: list[bytes]) -> _Addition | None:
    """Return the addition of an ADDGET; None if its arguments are malformed or out of bounds."""
    try:
        _, name, amount_text, ttl_text = strings
        amount = float(amount_text)
        ttl_ms = min(float(ttl_text), MAX_TTL_MS)
    except ValueError:
        return None
    name_valid = 1 <= len(name) <= MAX_NAME_BYTES
    if not (name_valid and abs(amount) <= MAX_AMOUNT and ttl_ms >= MIN_TTL_MS):
        return None
    return _Addition(name, amount, ttl_ms / 1000)


async def _read_call(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the bulk strings of one call; raise ValueError if the input is not a valid call."""
    count = await _read_length(reader, b"*")
    if not 1 <= count <= MAX_CALL_STRINGS:
        raise ValueError(f"call of {count} bulk strings")
    return [await _read_bulk_string(reader) for _ in range(count)]


async def _read_bulk_string(reader: asyncio.StreamReader) -> bytes:
    size = await _read_length(reader, b"$")
    if not 0 <= size <= MAX_BULK_STRING_BYTES:
        raise ValueError(f"bulk string of {size} bytes")
    return (await reader.readexactly(size + 2))[:-2]


async def _read_length(reader: asyncio.StreamReader, marker: bytes) -> int:
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] != marker:
        raise ValueError(f"expected {marker!r}, got {line[:1]!r}")
    return int(line[1:])
