"""Stand-ins for backends: a few listening sockets that answer for a list of any size (protocol page)."""

from __future__ import annotations

import asyncio
import re

_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)
_ID = re.compile(rb"\r\nrequest-id: *([0-9a-f]+)", re.I)


class BackendPool:
    """So many loopback ports; each entry of a list stands at one of them, and many may share it.

    work_s: how long a request takes. An answer's body is "done", and it carries a load report.
    """

    def __init__(self, ports: int = 8, work_s: float = 0.0) -> None:
        if not 1 <= ports <= 512:
            raise ValueError(f"{ports} ports are not between 1 and 512")
        self._ports, self._work_s = ports, work_s
        self.requests: dict[str, int] = {}  # by endpoint
        self.last_at: dict[str, float] = {}  # by endpoint, on the loop's clock: its last request
        self._open = 0
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen at all ports."""
        self._loop = asyncio.get_running_loop()
        for _ in range(self._ports):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self._servers.append(server)
            self.requests[f"127.0.0.1:{server.sockets[0].getsockname()[1]}"] = 0

    @property
    def endpoints(self) -> list[str]:
        """Host and port of each, in the order of their start."""
        return list(self.requests)

    async def stop(self) -> None:
        """Shut the ports and all connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        endpoint = "{}:{}".format(*writer.get_extra_info("sockname"))
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if (length := _LENGTH.search(head)) is not None:
                    await reader.readexactly(int(length[1]))
                if _ID.search(head) is None:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.requests[endpoint] += 1
                self.last_at[endpoint] = self._loop.time()
                self._open += 1
                try:
                    if self._work_s:
                        await asyncio.sleep(self._work_s)
                finally:
                    self._open -= 1
                if writer.transport.is_closing():
                    return  # nobody is there any more
                writer.write(
                    b"HTTP/1.1 200 OK\r\nServer-Load: inflight=%d,queue=0,util=%.2f\r\n"
                    b"Content-Length: 4\r\n\r\ndone" % (self._open, min(1.0, self._open / 100))
                )
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass  # stop
        finally:
            self._tasks.discard(task)
            writer.close()
