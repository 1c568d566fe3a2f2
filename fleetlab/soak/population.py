"""The clients of one ingress, whose behaviour is drawn at random."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, replace
from random import Random

from fleetlab.soak.client import ClientConnection, RequestSpec
from fleetlab.soak.ingress_process import IngressProcess
from fleetlab.soak.records import BadClient, ClientRequest, RunRecord
from fleetlab.soak.site import SoakClass, SoakSite
from fleetlab.stand_in import split_address

CONNECT_AFTER_SIGTERM_S = 0.3  # time after SIGTERM for which clients still open connections
RECONNECT_DELAY_S = 0.1  # delay before a client that could not connect tries again
MAX_THINK_S = 0.25  # longest pause of a client between two requests
MAX_IDLE_S = 2.5  # longest time for which a client's connection is idle before a request
RAMP_S = 1.5  # time over which the clients start
MAX_PIPELINED = 4  # most requests in flight of an occasionally pipelining client
PIPELINE_DEPTH = 6  # requests in flight on the connection of a continuously pipelining client
BAD_CLIENT_DEADLINE_S = 3.0  # time within which a bad client has to get an error or a close
BAD_CLIENT_WAIT_S = 4.0  # time for which a bad client waits for an error or a close


@dataclass(frozen=True, slots=True)
class ClientMix:
    """The probabilities of client behaviours, per request.

    Attributes:
        disconnect: the client closes the connection before the response.
        reset: a client that disconnects resets the connection instead of closing it with a FIN.
        slow_writer: the client writes its request in pieces.
        idle: the connection is idle for some time before the request.
        pipeline: the client sends several requests before it reads their responses.
        shorter_timeout: the client sets a shorter timeout than the deadline of the class.
        new_connection: the client closes its connection after the response.
    """

    disconnect: float = 0.08
    reset: float = 0.5
    slow_writer: float = 0.08
    idle: float = 0.1
    pipeline: float = 0.08
    shorter_timeout: float = 0.3
    new_connection: float = 0.0


class Population:
    """The clients of one ingress."""

    def __init__(
        self,
        site: SoakSite,
        process: IngressProcess,
        random: Random,
        record: RunRecord,
        mix: ClientMix,
    ) -> None:
        self._site = site
        self._process = process
        self._random = random
        self._record = record
        self._mix = mix

    async def run_client(self, stop: asyncio.Event) -> None:
        """Send requests one after another on persistent connections, until stopped."""
        connection: ClientConnection | None = None
        await asyncio.sleep(self._random.uniform(0.0, RAMP_S))
        while not stop.is_set():
            await asyncio.sleep(self._random.uniform(0.0, MAX_THINK_S))
            if connection is not None and connection.is_closed():
                connection.close()
                connection = None
            if connection is None:
                connection = await self._connect()
            if connection is None:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._send_drawn_requests(connection)
            if self._mix.new_connection and self._random.random() < self._mix.new_connection:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    async def _connect(self) -> ClientConnection | None:
        """Connect, if a load balancer in front of the ingress would still route clients to it."""
        process_record = self._process.process_record
        terminated_at = process_record.signalled_at("SIGTERM")
        elapsed_s = 0.0 if terminated_at is None else time.monotonic() - terminated_at
        if (
            not self._process.running
            or process_record.ready_at is None
            or elapsed_s > CONNECT_AFTER_SIGTERM_S
        ):
            return None
        try:
            return await ClientConnection.connect(
                self._process.name, self._process.address, self._record.requests
            )
        except (OSError, TimeoutError):
            return None

    async def _send_drawn_requests(self, connection: ClientConnection) -> None:
        """Send one request, or several pipelined ones, with a behaviour drawn from the mix."""
        draw = self._random.random()
        mix = self._mix
        if draw < mix.disconnect:
            record = await connection.send(self._draw_request())
            if record.sent_at is not None:
                reset = self._random.random() < mix.reset
                await connection.disconnect(record, self._random.uniform(0.0, 0.6), reset)
        elif draw < mix.disconnect + mix.slow_writer:
            await self._exchange(connection, pieces=4, pause_s=0.05)
        elif draw < mix.disconnect + mix.slow_writer + mix.idle:
            await asyncio.sleep(self._random.uniform(0.2, MAX_IDLE_S))
            if not connection.is_closed():
                await self._exchange(connection)
        elif draw < mix.disconnect + mix.slow_writer + mix.idle + mix.pipeline:
            await self._pipeline(connection)
        else:
            await self._exchange(connection)

    async def _exchange(
        self, connection: ClientConnection, pieces: int = 1, pause_s: float = 0.0
    ) -> None:
        record = await connection.send(self._draw_request(), pieces, pause_s)
        if record.sent_at is not None:
            await connection.receive(record)

    async def _pipeline(self, connection: ClientConnection) -> None:
        """Send several requests before reading their responses.

        All have the same timeout, since a response cannot precede that of an earlier request.
        """
        records: list[ClientRequest] = []
        timeout_s = self._draw_request().timeout_s
        for _ in range(self._random.randint(2, MAX_PIPELINED)):
            if connection.is_closed():
                break
            spec = replace(self._draw_request(), timeout_s=timeout_s)
            records.append(await connection.send(spec))
        for record in records:
            if record.sent_at is None or not connection.open:
                record.ended_at = record.ended_at or time.monotonic()
                continue
            await connection.receive(record)

    async def run_pipelining_client(self, stop: asyncio.Event) -> None:
        """Keep several requests in flight on one connection at a time, until stopped."""
        while not stop.is_set():
            connection = await self._connect()
            if connection is None:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._fill_pipeline(connection, stop)
            connection.close()

    async def _fill_pipeline(self, connection: ClientConnection, stop: asyncio.Event) -> None:
        timeout_s = min(request_class.deadline_s for request_class in self._site.classes)
        pending: deque[ClientRequest] = deque()
        while pending or not stop.is_set():
            while len(pending) < PIPELINE_DEPTH and not (stop.is_set() or connection.is_closed()):
                spec = replace(self._draw_request(), timeout_s=timeout_s)
                pending.append(await connection.send(spec))
            if not pending:
                return
            record = pending.popleft()
            if connection.open:
                await connection.receive(record)
            else:
                record.ended_at = time.monotonic()

    def _draw_request(self) -> RequestSpec:
        request_class = self._draw_class()
        timeout_s = request_class.deadline_s
        if self._random.random() < self._mix.shorter_timeout:
            timeout_s *= self._random.uniform(0.1, 1.0)
        return RequestSpec(
            f"{self._random.getrandbits(64):016x}",
            request_class.name,
            request_class.effect,
            round(timeout_s, 3),
            account=self._random.randrange(1, 50),
        )

    def _draw_class(self) -> SoakClass:
        return self._random.choice(self._site.classes)

    # ---- bad clients

    async def run_bad_clients(self, stop: asyncio.Event) -> None:
        """Send an invalid or incomplete request on a new connection at random intervals."""
        while not stop.is_set():
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            kind, data = self._draw_bad_input()
            await self._run_bad_client(kind, data)

    def _draw_bad_input(self) -> tuple[str, bytes]:
        valid_request = self._draw_request().encode()
        kinds = {
            "half a head": valid_request[: len(valid_request) // 3],
            "no HTTP": b"\x16\x03\x01 what is this\r\n\r\n",
            "no id": valid_request.replace(b"Request-Id", b"X-Request-Id"),
            "two lengths": valid_request.replace(
                b"Host:", b"Content-Length: 0\r\nTransfer-Encoding: chunked\r\nHost:"
            ),
            "unknown class": valid_request.replace(b" /", b" /nowhere"),
        }
        kind = self._random.choice(list(kinds))
        return kind, kinds[kind]

    async def _run_bad_client(self, kind: str, data: bytes) -> None:
        if await self._connect_allowed() is False:
            return
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    *split_address(self._process.address)
                )
        except (OSError, TimeoutError):
            return
        record = BadClient(self._process.name, kind, time.monotonic())
        self._record.bad_clients.append(record)
        try:
            writer.write(data)
            async with asyncio.timeout(BAD_CLIENT_WAIT_S):
                await reader.read(64)
            record.concluded_at = time.monotonic()
        except ConnectionError:
            record.concluded_at = time.monotonic()
        except TimeoutError:
            pass
        finally:
            writer.close()

    async def _connect_allowed(self) -> bool:
        return (
            self._process.running and self._process.process_record.signalled_at("SIGTERM") is None
        )

    async def open_idle_connections(self, size: int, seconds: float) -> None:
        """Open a number of idle connections, and close them after the given time."""
        writers = []
        try:
            for _ in range(size):
                try:
                    async with asyncio.timeout(0.5):
                        _, writer = await asyncio.open_connection(
                            *split_address(self._process.address)
                        )
                except (OSError, TimeoutError):
                    continue
                writers.append(writer)
            await asyncio.sleep(seconds)
        finally:
            for writer in writers:
                writer.close()
