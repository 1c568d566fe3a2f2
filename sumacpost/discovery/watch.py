"""The discovery watch, which polls the agent for changes of the endpoint list."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from math import inf

from sumacpost.address import Address
from sumacpost.clock import Clock
from sumacpost.discovery.backoff import (
    MAX_LIMITED_RESPONSE_BYTES,
    SMALL_LIST_BYTES,
    PollBackoff,
)
from sumacpost.discovery.endpoint_list import (
    MAX_LIST_BYTES,
    AddressByBackend,
    EndpointList,
    EndpointListReader,
)
from sumacpost.discovery.incremental_json import IncrementalJsonDecoder
from sumacpost.discovery.start_times import StartTimeConverter
from sumacpost.errors import EndpointListError, ResponseError
from sumacpost.http1 import HTTP_OK, Response, ResponseReader
from sumacpost.model import EndpointListUpdate, UpdateKind

log = logging.getLogger(__name__)

# Longest time for which the agent may hold a poll until there is a change. A silent connection is
# detected only after this time.
LONG_POLL_MS = 1000
# The longest hold while the agent is unavailable: when it recovers, its changes are needed
# immediately.
RECOVERY_POLL_MS = 1
# Timeout for the first bytes of a response after the hold, and for each further piece. It is
# shorter where the grace period of a drain is short, so that the recovery of a silent agent is
# detected within the grace period.
RESPONSE_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_GRACE_FRACTION = 0.5
MIN_RESPONSE_TIMEOUT_S = 0.1
# Timeout for a complete response, extended by the time that the received bytes take at the minimum
# rate. A response that trickles endlessly is abandoned in time for another poll within 6 s.
TRANSFER_TIMEOUT_S = 3.0
MIN_TRANSFER_BYTES_PER_S = 256 * 1024
# Bytes read in one iteration of the event loop: about thirty entries, at most 1 ms of work.
READ_BYTES = 4 * 1024
UPDATE_BATCH_ENTRIES = 64  # passed to the callback in one iteration of the event loop: 1 ms of work

UpdateCallback = Callable[[EndpointListUpdate, AddressByBackend], None]


class DiscoveryWatch:
    """Polls the discovery agent and passes each change of the endpoint list to a callback.

    While the agent is unavailable, or sends unusable responses, the last list remains in effect.
    """

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        version: int,
        on_update: UpdateCallback,
        drain_grace_s: float = inf,
        start_times: StartTimeConverter | None = None,
    ) -> None:
        self._address = address
        self._reader = reader
        self._on_update = on_update
        self._start_times = start_times or StartTimeConverter(Clock().now)
        self._has_received_list = False  # whether discovery has sent a list to this process
        self._response_timeout_s = max(
            MIN_RESPONSE_TIMEOUT_S,
            min(RESPONSE_TIMEOUT_S, drain_grace_s * RESPONSE_TIMEOUT_GRACE_FRACTION),
        )
        self._backoff = PollBackoff()
        # Version of the last usable list; None if the full list has to be polled.
        self._version: int | None = version
        # Whether the full list has to be polled although there is a version to poll from.
        self._needs_full_list = False
        self._full_list_bytes = 0  # size of the last full list
        self._agent_available = True
        self._received_bytes = 0  # size of the current response so far

    def change_address(self, address: Address) -> None:
        """Poll another agent, starting with the full list; the caller has to restart run."""
        self._address = address
        self._version = None
        self._backoff.reset()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            delay_s = await self._poll_until_closed()
            await asyncio.sleep(delay_s)

    async def _poll_until_closed(self) -> float:
        """Poll on one connection until it ends; return the delay before the next one in seconds."""
        writer = None
        self._received_bytes = 0
        try:
            async with asyncio.timeout(self._response_timeout_s):
                reader, writer = await self._connect()
            while await self._poll(reader, writer):
                pass
        except (OSError, TimeoutError, ValueError, ResponseError) as error:
            return self._record_poll_failure(error)
        finally:
            if writer is not None:
                writer.close()
        return self._backoff.next_delay(self._received_bytes, False, _now())

    def _record_poll_failure(self, error: Exception) -> float:
        malformed = isinstance(error, EndpointListError | ResponseError)
        delay_s = self._backoff.next_delay(self._received_bytes, malformed, _now())
        if self._received_bytes or self._agent_available:
            event = "endpoint list rejected" if malformed else "discovery poll failed"
            # As text: a log record with the exception would keep the frames of its traceback.
            log.warning("%s: error=%s retry_after_s=%.3f", event, repr(error), delay_s)
        self._agent_available = False
        return delay_s

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if not self._backoff.is_limited(_now()):
            return await asyncio.open_connection(*self._address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            # A small receive buffer keeps the agent from sending bytes that will not be read.
            with suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_LIMITED_RESPONSE_BYTES // 4
                )
            await asyncio.get_running_loop().sock_connect(sock, self._address)
            return await asyncio.open_connection(sock=sock)
        except BaseException:
            sock.close()
            raise

    async def _poll(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Poll once; return whether the connection can be reused."""
        limited = self._backoff.is_limited(_now())
        since_version = None if self._needs_full_list and not limited else self._version
        hold_ms = LONG_POLL_MS if self._agent_available else RECOVERY_POLL_MS
        writer.write(_encode_poll(since_version, hold_ms))
        wait_s = self._response_timeout_s
        if since_version is not None:
            wait_s += hold_ms / 1000
        max_bytes = MAX_LIMITED_RESPONSE_BYTES if limited else MAX_LIST_BYTES
        parser = self._reader.new_parser()
        self._received_bytes = 0
        with IncrementalJsonDecoder(parser) as decoder:
            try:
                response = await self._receive(
                    reader, ResponseReader(max_bytes, decoder.feed), wait_s
                )
                _check_status(response)
                decoder.finish()
                endpoint_list = parser.result()
                _check_version(endpoint_list.update, since_version)
            except (EndpointListError, ResponseError):
                # A full list includes the changes that the response should have contained. If a
                # long full list can't be read, changes to the last usable list may be readable.
                self._needs_full_list = since_version is not None and (
                    self._full_list_bytes <= SMALL_LIST_BYTES or self._backoff.failures > 0
                )
                raise
        self._reader.adopt(parser, endpoint_list.update)
        if endpoint_list.update.kind is UpdateKind.FULL:
            self._full_list_bytes = decoder.total_bytes
        self._start_times.convert(endpoint_list.update, live=self._has_received_list)
        self._has_received_list = True
        self._record_poll_success(endpoint_list.update)
        await self._apply(endpoint_list)
        return response.keep_alive

    def _record_poll_success(self, update: EndpointListUpdate) -> None:
        if not self._agent_available:
            log.info("discovery recovered: version=%d", update.version)
        self._agent_available = True
        self._backoff.reset()

    async def _apply(self, endpoint_list: EndpointList) -> None:
        update = endpoint_list.update
        # If the callback raises an exception, the full list is polled next.
        self._version = None
        if update.entries or update.kind is UpdateKind.FULL:
            await self._call_on_update(endpoint_list)
        self._version = update.version
        self._needs_full_list = self._reader.needs_repartitioning

    async def _call_on_update(self, endpoint_list: EndpointList) -> None:
        """Call the callback with the list, preceded by batches of changes if the list is long.

        Little is left to do for the last call, so that no call blocks the event loop for long.
        """
        update, addresses = endpoint_list
        for first in range(0, len(update.entries) - UPDATE_BATCH_ENTRIES, UPDATE_BATCH_ENTRIES):
            await asyncio.sleep(0)
            batch = update.entries[first : first + UPDATE_BATCH_ENTRIES]
            self._on_update(
                replace(update, kind=UpdateKind.CHANGES, entries=batch),
                {entry.backend: addresses[entry.backend] for entry in batch},
            )
        if len(update.entries) > UPDATE_BATCH_ENTRIES:
            await asyncio.sleep(0)
        self._on_update(update, addresses)

    async def _receive(
        self, reader: asyncio.StreamReader, response_reader: ResponseReader, wait_s: float
    ) -> Response:
        """Read a response, yielding to the event loop between pieces.

        Raise TimeoutError if it does not begin within wait_s seconds or is too slow, and
        ConnectionResetError if it is incomplete.
        """
        complete_by = _now() + wait_s + TRANSFER_TIMEOUT_S
        async with asyncio.timeout_at(_now() + wait_s) as timeout:
            while data := await reader.read(READ_BYTES):
                self._received_bytes += len(data)
                response = response_reader.feed(data)
                if response is not None:
                    return response
                complete_by += len(data) / MIN_TRANSFER_BYTES_PER_S
                timeout.reschedule(min(complete_by, _now() + self._response_timeout_s))
                await asyncio.sleep(0)
        if (response := response_reader.feed_eof()) is not None:
            return response
        raise ConnectionResetError(
            f"connection closed after {self._received_bytes} bytes of an incomplete response"
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _encode_poll(since_version: int | None, hold_ms: int) -> bytes:
    """Return the request for changes since a version, or for the full list if it is None."""
    query = "" if since_version is None else f"?from={since_version}&hold_ms={hold_ms}"
    return f"GET /v1/servers{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode()


def _check_status(response: Response) -> None:
    if response.status != HTTP_OK:
        raise EndpointListError(f"the discovery agent responded with status {response.status}")


def _check_version(update: EndpointListUpdate, since_version: int | None) -> None:
    """Raise EndpointListError for unrequested changes, or changes up to an earlier version."""
    if update.kind is UpdateKind.CHANGES and (
        since_version is None or update.version < since_version
    ):
        raise EndpointListError(
            f"unexpected changes up to version {update.version}; polled from {since_version}"
        )
