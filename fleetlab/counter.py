"""A stand-in for the shared counter: ADDGET over RESP2, at a finite rate in parts by name (protocol page)."""

from __future__ import annotations

import asyncio
import zlib

MOST_TTL_MS = 60_000.0
MOST_NAME, MOST_AMOUNT = 64, 1e9
FORGET_EVERY = 10_000  # calls between looks for names whose life is over


class CounterServer:
    """Serves numbers on a loopback port of the system's choice.

    rate: calls a second of all parts together; line_s: a call that would wait longer is turned away (-BUSY).
    """

    def __init__(self, rate: float = 100_000.0, parts: int = 4, line_s: float = 0.2) -> None:
        if rate <= 0 or parts < 1:
            raise ValueError(f"a counter of {rate} calls a second in {parts} parts")
        self.calls = self.busy = self.bytes_written = 0
        self.totals: dict[bytes, tuple[float, float]] = {}  # name: total, when its life is over
        self._turn_s, self._line_s = parts / rate, line_s
        self._free_at = [0.0] * parts
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Shut the port and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        replies: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(10_000)
        writing = asyncio.create_task(self._write(replies, writer))
        try:
            while True:
                await replies.put(self._turn(await self._read(reader)))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # stop
        finally:
            self._tasks.discard(task)
            writing.cancel()
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> list[bytes]:
        """The words of one call; ValueError if it is none."""
        count = (await reader.readuntil(b"\r\n"))[:-2]
        if count[:1] != b"*" or not 1 <= int(count[1:]) <= 16:
            raise ValueError("not an array of words")
        words = []
        for _ in range(int(count[1:])):
            size = (await reader.readuntil(b"\r\n"))[:-2]
            if size[:1] != b"$" or not 0 <= int(size[1:]) <= 1024:
                raise ValueError("not a word")
            words.append((await reader.readexactly(int(size[1:]) + 2))[:-2])
        return words

    def _turn(self, words: list[bytes]) -> tuple[float, bytes]:
        """When the call has had its turn, and its reply; what is turned away adds nothing."""
        now, verb = self._loop.time(), words[0].upper()
        if verb == b"PING":
            return now, b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return now, b"+OK\r\n"
        try:
            _, name, amount_text, ttl_text = words
            amount, ttl_ms = float(amount_text), min(float(ttl_text), MOST_TTL_MS)
        except ValueError:
            return now, b"-ERR no such call\r\n"
        named = verb == b"ADDGET" and 1 <= len(name) <= MOST_NAME
        if not (named and abs(amount) <= MOST_AMOUNT and ttl_ms >= 1):
            return now, b"-ERR no such call\r\n"
        part = zlib.crc32(name) % len(self._free_at)
        due = max(now, self._free_at[part]) + self._turn_s
        if due - now > self._line_s:
            self.busy += 1
            return now, b"-BUSY\r\n"
        self._free_at[part] = due
        self.calls += 1
        total, over_at = self.totals.get(name, (0.0, 0.0))
        if over_at <= now:
            total, over_at = 0.0, now + ttl_ms / 1000
        self.totals[name] = total + amount, over_at
        if self.calls % FORGET_EVERY == 0:
            self.totals = {n: held for n, held in self.totals.items() if held[1] > now}
        text = b"%.7g" % (total + amount)
        return due, b"$%d\r\n%b\r\n" % (len(text), text)

    async def _write(
        self, replies: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                due, reply = await replies.get()
                if (wait := due - self._loop.time()) > 0:
                    await asyncio.sleep(wait)
                if writer.transport.is_closing():
                    return  # nobody is there any more
                writer.write(reply)
                await writer.drain()
                self.bytes_written += len(reply)
        except ConnectionError:
            writer.close()
