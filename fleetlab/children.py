"""The processes of a run: started within bounds, and all ended by their id, whatever ends the run."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import deque
from collections.abc import Mapping

MOST = 300
END_S = 6.0  # from SIGTERM to SIGKILL
KEPT_LINES = 500


class Child:
    """One process; what it writes is read all the time, and the last lines are kept."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.out: deque[bytes] = deque(maxlen=KEPT_LINES)
        self.err: deque[bytes] = deque(maxlen=KEPT_LINES)
        self._readers = [
            asyncio.create_task(self._read(process.stdout, self.out)),
            asyncio.create_task(self._read(process.stderr, self.err)),
        ]

    @property
    def pid(self) -> int:
        """Its id, for /proc and signals."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """It has not ended."""
        return self.process.returncode is None

    @staticmethod
    async def _read(stream: asyncio.StreamReader | None, lines: deque[bytes]) -> None:
        while stream is not None and (line := await stream.readline()):
            lines.append(line)

    async def ended(self) -> None:
        """Wait for its end and for the end of what it wrote."""
        await self.process.wait()
        await asyncio.gather(*self._readers, return_exceptions=True)


class Children:
    """Starts processes of this Python; end() leaves none."""

    def __init__(self) -> None:
        self._children: list[Child] = []

    @property
    def pids(self) -> list[int]:
        """Those that still run."""
        return [child.pid for child in self._children if child.running]

    async def start(
        self, module: str, env: Mapping[str, str] | None = None, first: bytes = b""
    ) -> Child:
        """python -m module, with these bytes on its standard input; RuntimeError past the bound on processes.

        Its standard input stays open as long as the run lasts: a process that reads it sees the run's end.
        """
        if len(self.pids) >= MOST:
            raise RuntimeError(f"{MOST} processes are enough")
        pipe = asyncio.subprocess.PIPE
        made = asyncio.ensure_future(
            asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                stdin=pipe,
                stdout=pipe,
                stderr=pipe,
                env={**os.environ, **(env or {})},
                start_new_session=True,
            )
        )  # a ^C is ours to handle, not theirs
        try:
            process = await asyncio.shield(made)
        except asyncio.CancelledError:
            self._children.append(
                Child(await made)
            )  # it may run already, and is to be ended like the others
            raise
        child = Child(process)
        self._children.append(child)
        if first and process.stdin is not None:
            process.stdin.write(first)
        return child

    async def end(self) -> None:
        """SIGTERM to each by its id, SIGKILL to what is left after a while."""
        for child in self._children:
            if child.running:
                child.process.terminate()
        try:
            async with asyncio.timeout(END_S):
                await asyncio.gather(*(child.ended() for child in self._children))
        except TimeoutError:
            for child in self._children:
                if child.running:
                    child.process.kill()
            await asyncio.gather(*(child.ended() for child in self._children))
        self._children.clear()
