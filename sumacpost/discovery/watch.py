"""Discovery: the list of backends and the watch that keeps it fresh."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from math import inf
from random import uniform

from sumacpost.address import Address
from sumacpost.discovery.endpoint_list import (
    MAX_LIST,
    AddressByBackend,
    EndpointListReader,
    IncrementalJson,
)
from sumacpost.errors import EndpointListError, ResponseError
from sumacpost.http1 import Response, ResponseReader
from sumacpost.model import EndpointListUpdate, UpdateKind

log = logging.getLogger(__name__)

HOLD_MS = (
    1000  # how long a call of the watch waits for news: only its end shows a silent connection
)
BACK_MS = 1  # the same while the agent is silent: what it has at its return counts as told at once
LATE_S = 0.5  # an answer later than that after the wait: the agent is silent
LATE_PART, LATE_LEAST_S = (
    0.5,
    0.1,
)  # of a drain's grace, at most: a silent agent's return is seen within it
# An answer on its way has so long in all, and the longer the more comes, at so many bytes a second; its
# pieces are late like any answer. One that drips without end is given up in time for another call within 6 s.
WHOLE_S, LEAST_RATE = 3.0, 256 * 1024
PIECE = 4 * 1024  # bytes read in one turn of the loop: some thirty entries, a millisecond at most
TOLD_AT_ONCE = 64  # entries: a millisecond
PAUSE_S = (
    0.1  # before a new connection; with the time to connect it stays within the watch's 200 ms
)
# After bytes that were of no use the pause doubles, up to this: a change counts as told 6 s after discovery
# had it, whatever failed before, and the next call needs its time too.
PAUSE_MOST_S = 4.0
# A longer list that can't be read costs more than the bytes a second that an ingress may spend on control.
# For a minute, twice as long each further time until all is paid for, only answers that fit the pauses are
# taken: changes do. The rest is for heads and for what is on its way when a connection is closed.
SMALL_LIST, FRUGAL_RATE, FRUGAL_LEAST_S = 64 * 1024, 3000, 60.0
FRUGAL_MOST = int(FRUGAL_RATE * PAUSE_MOST_S / 2)

Listener = Callable[[EndpointListUpdate, AddressByBackend], None]


class DiscoveryWatch:
    """Watches the agent and tells every change."""

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        version: int,
        told: Listener,
        grace_s: float = inf,
    ) -> None:
        self._address, self._read, self._told = address, reader, told
        self._late_s = max(LATE_LEAST_S, min(LATE_S, grace_s * LATE_PART))
        self._version: int | None = (
            version  # of the last good list; None: there is none to go on from
        )
        self._whole = False  # the whole list is wanted, though changes could be asked for
        self._whole_size = 0  # bytes of the last whole list
        self._down = False
        self._came = 0  # bytes of the answer under way
        self._vain = 0  # answers in a row that were of no use
        self._unread = 0  # long lists among them that could not be read
        self._frugal_until = -inf  # by the loop's clock

    def move(self, address: Address) -> None:
        """Another agent is to be asked, for the whole list; run is to be started anew."""
        self._address, self._version = address, None
        self._forgive()

    def _forgive(self) -> None:
        self._vain, self._unread, self._frugal_until = 0, 0, -inf

    async def run(self) -> None:
        """Watch for ever; while the agent is silent or talks nonsense the last list holds."""
        while True:
            writer, bad = None, False
            self._came = 0
            try:
                async with asyncio.timeout(self._late_s):
                    reader, writer = await self._connect()
                while await self._ask(reader, writer):
                    pass
            except (OSError, TimeoutError, ValueError, ResponseError) as error:
                if self._came or not self._down:
                    log.warning("discovery: %s: %s", type(error).__name__, error)
                self._down, bad = True, isinstance(error, EndpointListError | ResponseError)
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(self._pause(bad))

    @property
    def _frugal(self) -> bool:
        return asyncio.get_running_loop().time() < self._frugal_until

    def _pause(self, bad: bool) -> float:
        """Seconds before the next connection: longer and longer while what comes is of no use.

        A long list that was bad, or has broken off twice, is spared for a while.
        """
        if not self._came:
            return PAUSE_S
        self._vain += 1
        if self._came > SMALL_LIST and (bad or self._vain > 1):
            spared_s = min(self._came / FRUGAL_RATE, FRUGAL_LEAST_S * 2.0 ** min(self._unread, 20))
            self._frugal_until = asyncio.get_running_loop().time() + spared_s
            self._unread += 1
        return min(PAUSE_MOST_S, PAUSE_S * 2.0 ** min(self._vain - 1, 10)) * uniform(0.5, 1.0)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if not self._frugal:
            return await asyncio.open_connection(*self._address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with suppress(OSError):  # what is not taken is not to be sent either
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, FRUGAL_MOST // 4)
            await asyncio.get_running_loop().sock_connect(sock, self._address)
            return await asyncio.open_connection(sock=sock)
        except BaseException:
            sock.close()
            raise

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One call; true if the connection can take the next."""
        hold_ms, frugal = BACK_MS if self._down else HOLD_MS, self._frugal
        since = None if self._whole and not frugal else self._version
        watch = "" if since is None else f"?from={since}&hold_ms={hold_ms}"
        writer.write(f"GET /v1/servers{watch} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())
        sink = self._read.begin()
        pieces = IncrementalJson(sink)
        parser = ResponseReader(FRUGAL_MOST if frugal else MAX_LIST, pieces.feed)
        self._came = 0
        try:
            response = await self._response(
                reader, parser, self._late_s + (hold_ms / 1000 if watch else 0.0)
            )
            if response.status != 200:
                raise EndpointListError(f"answered {response.status}")
            pieces.finish()
            update, endpoints = sink.result()
            if update.kind is UpdateKind.CHANGES and (since is None or update.version < since):
                raise EndpointListError(f"changes up to version {update.version} do not fit")
        except (EndpointListError, ResponseError):
            # whatever it tried to say, the whole list holds it; the changes do, where that can't be read
            self._whole = since is not None and (self._whole_size <= SMALL_LIST or self._vain > 0)
            raise
        self._read.adopt(sink, update)
        if self._down:
            log.info("discovery: back, at version %d", update.version)
        self._down = False
        self._forgive()
        if update.kind is UpdateKind.FULL:
            self._whole_size = pieces.size
        self._version = None  # should the listener fail, it is to hear the whole list again
        if update.entries or update.kind is UpdateKind.FULL:
            await self._tell(update, endpoints)
        self._version, self._whole = update.version, self._read.needs_repartitioning
        return response.keep_alive

    async def _tell(self, update: EndpointListUpdate, endpoints: AddressByBackend) -> None:
        """Tell a long list bit by bit, then as the whole that it is: the loop is not to be held by it."""
        for first in range(0, len(update.entries) - TOLD_AT_ONCE, TOLD_AT_ONCE):
            await asyncio.sleep(0)
            some = update.entries[first : first + TOLD_AT_ONCE]
            self._told(
                replace(update, kind=UpdateKind.CHANGES, entries=some),
                {entry.backend: endpoints[entry.backend] for entry in some},
            )
        if len(update.entries) > TOLD_AT_ONCE:
            await asyncio.sleep(0)
        self._told(update, endpoints)

    async def _response(
        self, reader: asyncio.StreamReader, parser: ResponseReader, wait_s: float
    ) -> Response:
        """Read the answer piece by piece, with turns of the loop in between."""
        now = asyncio.get_running_loop().time
        whole = now() + wait_s + WHOLE_S
        async with asyncio.timeout_at(now() + wait_s) as limit:
            while data := await reader.read(PIECE):
                self._came += len(data)
                if (response := parser.feed(data)) is not None:
                    return response
                whole += len(data) / LEAST_RATE
                limit.reschedule(min(whole, now() + self._late_s))
                await asyncio.sleep(0)
        raise ConnectionResetError(
            f"closed after {self._came} bytes of an answer that was not whole"
        )
