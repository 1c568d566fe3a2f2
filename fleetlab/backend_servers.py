"""Stand-in backends: a few listening ports that serve an endpoint list of any size."""

from __future__ import annotations

import asyncio
import re

from fleetlab.stand_in import StandInServer, format_address

MAX_PORTS = 512
FULL_LOAD_REQUESTS = 100  # requests in flight that a load report gives as a utilization of 1

_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)
_REQUEST_ID = re.compile(rb"\r\nrequest-id: *([0-9a-f]+)", re.I)
_NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class BackendServers(StandInServer):
    """Stand-in backends on loopback ports; entries of an endpoint list may share a port.

    A response has the body "done" and carries a load report, which covers all ports together.
    ports: the number of ports, from 1 to MAX_PORTS; ValueError otherwise. service_time_s: the time
    from a request to its response.
    """

    def __init__(self, ports: int = 8, service_time_s: float = 0.0) -> None:
        if not 1 <= ports <= MAX_PORTS:
            raise ValueError(f"number of ports {ports} is not between 1 and {MAX_PORTS}")
        super().__init__()
        self.request_counts: dict[str, int] = {}  # requests received, by endpoint
        self.last_request_at: dict[str, float] = {}  # by endpoint, s on the event loop's clock
        self._ports = ports
        self._service_time_s = service_time_s
        self._in_flight = 0

    async def start(self) -> None:
        """Listen on all ports."""
        for _ in range(self._ports):
            self.request_counts[await self._listen()] = 0

    @property
    def endpoints(self) -> list[str]:
        """Host and port of each listener, in the order in which they were started."""
        return list(self.request_counts)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint = format_address(writer.get_extra_info("sockname"))
        while not writer.transport.is_closing():
            head = await reader.readuntil(b"\r\n\r\n")
            if (length := _CONTENT_LENGTH.search(head)) is not None:
                await reader.readexactly(int(length[1]))
            if _REQUEST_ID.search(head) is None:
                writer.write(_NOT_FOUND)
            else:
                await self._respond(endpoint, writer)

    async def _respond(self, endpoint: str, writer: asyncio.StreamWriter) -> None:
        self.request_counts[endpoint] += 1
        self.last_request_at[endpoint] = asyncio.get_running_loop().time()
        self._in_flight += 1
        try:
            if self._service_time_s:
                await asyncio.sleep(self._service_time_s)
        finally:
            self._in_flight -= 1
        if writer.transport.is_closing():
            return  # the client has closed the connection
        utilization = min(1.0, self._in_flight / FULL_LOAD_REQUESTS)
        writer.write(
            b"HTTP/1.1 200 OK\r\nServer-Load: inflight=%d,queue=0,util=%.2f\r\n"
            b"Content-Length: 4\r\n\r\ndone" % (self._in_flight, utilization)
        )
