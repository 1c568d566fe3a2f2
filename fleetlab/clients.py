"""Open-loop clients of one ingress: requests leave on a schedule, come what may (protocol page)."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from random import Random

from hdrh.histogram import HdrHistogram

MOST_US = 60_000_000  # the longest latency that the histograms hold
MOST_CONNECTIONS = 256
TIMEOUT_S = 2.0
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def histogram() -> HdrHistogram:
    """Microseconds from 1 to a minute, at three digits."""
    return HdrHistogram(1, MOST_US, 3)


def percentile_ms(recorded: HdrHistogram, percent: float) -> float | None:
    """Milliseconds; None where nothing was recorded."""
    return recorded.get_value_at_percentile(percent) / 1000 if recorded.get_total_count() else None


async def ask(stream: Stream, data: bytes) -> int:
    """The status of the answer to one message, once its body has come whole."""
    reader, writer = stream
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    if (length := _LENGTH.search(head)) is not None:
        await reader.readexactly(int(length[1]))
    return int(head.split(b" ", 2)[1])


class OpenLoop:
    """Requests of many customers at a stated rate a second, with exponential gaps from the seed.

    Latency counts from the moment at which a request should have been sent: a stall is felt by all that it
    delays, also by those that were sent late because of it. statuses counts answers; 0 stands for none.
    """

    def __init__(
        self,
        address: str,
        rate: float,
        seed: int = 0,
        customers: int = 1000,
        first: int = 0,
        spread: int = 3,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address, self._rate, self._random = (host, int(port)), rate, Random(seed)
        self._customers, self._set = customers, f"spread={spread},first={first}"
        self.latency = histogram()
        self.statuses: Counter[int] = Counter()
        self._idle: list[Stream] = []
        self._room = asyncio.Semaphore(MOST_CONNECTIONS)
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send for so long, then wait for what is still open; every connection is closed at the end."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        end = at + seconds
        try:
            while (at := at + self._random.expovariate(self._rate)) < end:
                if (wait := at - loop.time()) > 0:
                    await asyncio.sleep(wait)
                task = asyncio.create_task(self._one(at, self._message()))
                self._open.add(task)
                task.add_done_callback(self._open.discard)
            await asyncio.gather(*self._open)
        finally:
            for task in list(self._open):
                task.cancel()
            await asyncio.gather(*self._open, return_exceptions=True)
            for _, writer in self._idle:
                writer.close()

    def _message(self) -> bytes:
        random = self._random
        number, customer = random.getrandbits(64), random.randrange(self._customers)
        return (
            f"GET /r0/1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {number:016x}\r\n"
            f"Plan: plus\r\nAccount: {customer:016x}\r\n"
            f"Request-Timeout: {TIMEOUT_S:.3f}\r\nQuota-Info: units=1,{self._set}\r\n\r\n"
        ).encode()

    async def _one(self, intended: float, message: bytes) -> None:
        loop, status, stream = asyncio.get_running_loop(), 0, None
        async with self._room:
            try:
                async with asyncio.timeout_at(intended + TIMEOUT_S + 1):
                    stream = (
                        self._idle.pop()
                        if self._idle
                        else await asyncio.open_connection(*self._address)
                    )
                    status = await ask(stream, message)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                if stream is not None:
                    stream[1].close()
            except asyncio.CancelledError:
                if stream is not None:
                    stream[1].close()
                raise
            else:
                self._idle.append(stream)
        self.statuses[status] += 1
        if status == 200:
            self.latency.record_value(max(1, min(MOST_US, int((loop.time() - intended) * 1e6))))
