"""A client connection to an ingress that records its requests."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

from fleetlab.soak.records import ClientRequest, Effect
from fleetlab.stand_in import reset_connection, split_address

# Longest permitted time from a deadline to the response. A late response within this time earns
# nothing but is not a violation; a later one counts as lost.
MAX_LATENESS_S = 0.5
EXTRA_WAIT_S = 3.0  # further wait for a lost response: the time of its arrival shows the cause
CONNECT_TIMEOUT_S = 2.0
MAX_EXTRA_BYTES = 4096
_ESTABLISHED = 1  # the TCP state of a connection that neither side has ended
_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """One request that a client sends.

    The fields from `account` on are the values of the headers Account, Plan and Quota-Info.
    """

    request_id: str
    class_name: str
    effect: Effect
    timeout_s: float
    account: int = 9
    plan: str = "plus"
    spread: int = 1
    first: int = 0

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        body = b"" if self.effect is Effect.IDEMPOTENT else b"order " + self.request_id.encode()
        method = "GET" if self.effect is Effect.IDEMPOTENT else "POST"
        lines = [
            f"{method} /{self.class_name}/7 HTTP/1.1",
            "Host: service.internal",
            f"Request-Id: {self.request_id}",
            f"Plan: {self.plan}",
            f"Account: {self.account:016x}",
            f"Request-Timeout: {self.timeout_s:.3f}",
            f"Quota-Info: units=1,spread={self.spread},first={self.first}",
        ]
        if self.effect is Effect.KEYED:
            lines.append(f"Idempotency-Key: {self.request_id * 2}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + _HEAD_END + body


class ClientConnection:
    """One client connection; several requests may be sent before the responses are read."""

    def __init__(
        self,
        ingress: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        records: list[ClientRequest],
    ) -> None:
        self.ingress = ingress
        self.open = True  # whether another request may be sent
        self._reader = reader
        self._writer = writer
        self._records = records
        self._last: ClientRequest | None = None
        self._pending_responses = 0
        self._idle_since = time.monotonic()

    @classmethod
    async def connect(
        cls, ingress: str, address: str, records: list[ClientRequest]
    ) -> ClientConnection:
        """Connect to an ingress.

        Raise OSError or TimeoutError if that fails.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*split_address(address))
        writer.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        return cls(ingress, reader, writer, records)

    def is_closed(self) -> bool:
        """Return whether the connection is known to be closed at either end."""
        return not self.open or self._reader.at_eof() or self._writer.is_closing()

    async def send(self, spec: RequestSpec, pieces: int = 1, pause_s: float = 0.0) -> ClientRequest:
        """Write a request in a number of pieces, with pauses between them, and record it."""
        await self._read_extra_bytes()
        record = ClientRequest(
            spec.request_id,
            self.ingress,
            spec.effect,
            spec.timeout_s,
            self._last is None,
            time.monotonic(),
            time.monotonic() - self._idle_since,
        )
        alone = not self._pending_responses
        self._last = record
        self._pending_responses += 1
        self._records.append(record)
        data = spec.encode()
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(pause_s)
            if self._writer.is_closing():
                record.ended_at = time.monotonic()
                self.open = False
                return record
            record.open_when_sent = self._write(data[start : start + size]) and alone
        record.sent_at = time.monotonic()
        return record

    def _write(self, data: bytes) -> bool:
        """Write bytes; return whether the ingress's socket has them, and had not ended its sending.

        On loopback bytes that the kernel takes are in the socket of the peer at once. If that side
        had ended its sending, this one would be in another state than ESTABLISHED.
        """
        transport = cast(asyncio.Transport, self._writer.transport)
        sock = transport.get_extra_info("socket")
        if transport.get_write_buffer_size() == 0:
            try:
                taken = os.write(sock.fileno(), data)
            except OSError:
                taken = 0  # the transport reports the error
            data = data[taken:]
        if data:
            transport.write(data)
            return False
        state: int = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return state == _ESTABLISHED

    async def _read_extra_bytes(self) -> None:
        """Record bytes that arrived since the last response, unless a response is pending."""
        if self._last is None or self._pending_responses:
            return
        with suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(0):  # read only what has arrived already
                self._last.extra_bytes = len(await self._reader.read(MAX_EXTRA_BYTES))

    async def receive(self, record: ClientRequest) -> None:
        """Read the response to a request, and wait for it beyond its deadline."""
        assert record.sent_at is not None
        try:
            async with asyncio.timeout(record.timeout_s + MAX_LATENESS_S + EXTRA_WAIT_S):
                head = await self._reader.readuntil(_HEAD_END)
                record.received_bytes = len(head)
                body = await self._reader.readexactly(_content_length(head))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            partial = getattr(error, "partial", b"")
            record.received_bytes += len(partial)
            record.ended_at = time.monotonic()
            record.ended_in_order = isinstance(error, asyncio.IncompleteReadError)
            self.close()
        except TimeoutError:
            self.close()
        else:
            record.answered_at = time.monotonic()
            self._pending_responses -= 1
            self._idle_since = record.answered_at
            record.status = int(head.split(b" ", 2)[1])
            record.body = body
            if b"connection: close" in head.lower():
                self.close()

    async def disconnect(self, record: ClientRequest, after_s: float, reset: bool) -> None:
        """Close the connection after the given time, unless receiving the response ends first."""
        receiving = asyncio.ensure_future(self.receive(record))
        await asyncio.wait([receiving], timeout=after_s)
        if receiving.done():
            return
        receiving.cancel()
        await asyncio.gather(receiving, return_exceptions=True)
        record.left_at = time.monotonic()
        self.close(reset)

    def close(self, reset: bool = False) -> None:
        """Close the connection with a FIN, or with a reset."""
        self.open = False
        if reset:
            reset_connection(cast(asyncio.Transport, self._writer.transport))
        else:
            self._writer.close()


def _content_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0
