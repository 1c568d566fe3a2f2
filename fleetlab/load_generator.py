"""An open-loop load generator: its schedule does not depend on the responses."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from fleetlab.http_connection import HTTP_OK, HttpConnection
from fleetlab.latency import MAX_LATENCY_US, new_histogram

MAX_CONNECTIONS = 256
REQUEST_TIMEOUT_S = 2.0
TIMEOUT_GRACE_S = 1.0  # time for which the generator waits beyond the timeout of a request
NO_RESPONSE = 0  # counted in place of a status


class LoadGenerator:
    """Sends requests of many customers at a mean rate, at exponentially distributed intervals.

    The latency of a response with status 200 is measured from the scheduled time of its request.
    A stall therefore shows in the latency of all requests that it delays, including those that are
    sent late because of it. `statuses` counts the requests by the status of their response, or as
    NO_RESPONSE.

    address: host and port. rate: requests per second. seed: determines the intervals, the customers
    and the ids of the requests. first_gateway, gateway_spread: index of the first gateway that
    receives a customer's requests, and number of such gateways, as each request states them.
    """

    def __init__(
        self,
        address: str,
        rate: float,
        seed: int = 0,
        customers: int = 1000,
        first_gateway: int = 0,
        gateway_spread: int = 3,
    ) -> None:
        self.latency = new_histogram()
        self.statuses: Counter[int] = Counter()
        self._address = address
        self._rate = rate
        self._random = Random(seed)
        self._customers = customers
        self._gateway_set = f"spread={gateway_spread},first={first_gateway}"
        self._idle: list[HttpConnection] = []
        self._connection_slots = asyncio.Semaphore(MAX_CONNECTIONS)
        self._open_requests: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send for `seconds`, wait for the outstanding responses, and close all connections."""
        loop = asyncio.get_running_loop()
        intended_at = loop.time()
        end = intended_at + seconds
        try:
            while (intended_at := intended_at + self._random.expovariate(self._rate)) < end:
                wait_s = intended_at - loop.time()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self._start_request(intended_at)
            await asyncio.gather(*self._open_requests)
        finally:
            for task in list(self._open_requests):
                task.cancel()
            await asyncio.gather(*self._open_requests, return_exceptions=True)
            for connection in self._idle:
                connection.close()

    def _start_request(self, intended_at: float) -> None:
        task = asyncio.create_task(self._request(intended_at, self._next_message()))
        self._open_requests.add(task)
        task.add_done_callback(self._open_requests.discard)

    def _next_message(self) -> bytes:
        request_id = self._random.getrandbits(64)
        customer = self._random.randrange(self._customers)
        return (
            f"GET /r0/1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {request_id:016x}\r\n"
            f"Plan: plus\r\nAccount: {customer:016x}\r\n"
            f"Request-Timeout: {REQUEST_TIMEOUT_S:.3f}\r\n"
            f"Quota-Info: units=1,{self._gateway_set}\r\n\r\n"
        ).encode()

    async def _request(self, intended_at: float, message: bytes) -> None:
        async with self._connection_slots:
            status = await self._exchange(intended_at, message)
        self.statuses[status] += 1
        if status == HTTP_OK:
            latency_us = int((asyncio.get_running_loop().time() - intended_at) * 1e6)
            self.latency.record_value(max(1, min(MAX_LATENCY_US, latency_us)))

    async def _exchange(self, intended_at: float, message: bytes) -> int:
        """Send a request on an idle or new connection; return the status or NO_RESPONSE."""
        connection = None
        try:
            async with asyncio.timeout_at(intended_at + REQUEST_TIMEOUT_S + TIMEOUT_GRACE_S):
                connection = await self._acquire_connection()
                status = await connection.request(message)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            if connection is not None:
                connection.close()
            return NO_RESPONSE
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self._idle.append(connection)
        return status

    async def _acquire_connection(self) -> HttpConnection:
        if self._idle:
            return self._idle.pop()
        return await HttpConnection.open(self._address)
