"""Stand-ins for backends: a few listening ports that serve a list of any size."""

from __future__ import annotations

import asyncio
import re

from fleetlab.stand_in import StandInServer, format_address

MAX_PORTS = 512
FULL_LOAD_REQUESTS = 100  # open requests that a load report calls a utilization of 1

_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)
_REQUEST_ID = re.compile(rb"\r\nrequest-id: *([0-9a-f]+)", re.I)
_NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class BackendServers(StandInServer):
    """Backends on so many loopback ports; many entries of an endpoint list may share one.

    service_time_s: how long a request takes. A response has the body "done" and carries a load
    report.
    """

    def __init__(self, ports: int = 8, service_time_s: float = 0.0) -> None:
        if not 1 <= ports <= MAX_PORTS:
            raise ValueError(f"{ports} ports are not between 1 and {MAX_PORTS}")
        super().__init__()
        self.request_counts: dict[str, int] = {}  # by endpoint
        self.last_request_at: dict[str, float] = {}  # by endpoint, on the loop's clock
        self._ports = ports
        self._service_time_s = service_time_s
        self._in_flight = 0

    async def start(self) -> None:
        """Listen on all ports."""
        for _ in range(self._ports):
            self.request_counts[await self._listen()] = 0

    @property
    def endpoints(self) -> list[str]:
        """Host and port of each, in the order of their start."""
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
            return  # the client has left
        utilization = min(1.0, self._in_flight / FULL_LOAD_REQUESTS)
        writer.write(
            b"HTTP/1.1 200 OK\r\nServer-Load: inflight=%d,queue=0,util=%.2f\r\n"
            b"Content-Length: 4\r\n\r\ndone" % (self._in_flight, utilization)
        )
