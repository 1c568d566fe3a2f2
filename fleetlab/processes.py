"""The child processes of a run: limited in number, and terminated by id however the run ends."""

from __future__ import annotations

import asyncio
import os
import sys
from asyncio.subprocess import PIPE, Process
from collections import deque
from collections.abc import Mapping

MAX_PROCESSES = 300
TERMINATION_GRACE_S = 6.0  # time from SIGTERM to SIGKILL
MAX_OUTPUT_LINES = 500  # last lines kept of each output stream of a process


class ChildProcess:
    """A process whose output is read continuously; the last lines of it are kept."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.stdout_lines: deque[bytes] = deque(maxlen=MAX_OUTPUT_LINES)
        self.stderr_lines: deque[bytes] = deque(maxlen=MAX_OUTPUT_LINES)
        self._readers = [
            asyncio.create_task(self._read_lines(process.stdout, self.stdout_lines)),
            asyncio.create_task(self._read_lines(process.stderr, self.stderr_lines)),
        ]

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.process.returncode is None

    @staticmethod
    async def _read_lines(stream: asyncio.StreamReader | None, lines: deque[bytes]) -> None:
        while stream is not None and (line := await stream.readline()):
            lines.append(line)

    async def wait(self) -> None:
        """Wait until the process has exited and all of its output has been read."""
        await self.process.wait()
        await asyncio.gather(*self._readers, return_exceptions=True)


class ChildProcesses:
    """Starts processes of this Python interpreter; `terminate_all` leaves none running."""

    def __init__(self) -> None:
        self._children: list[ChildProcess] = []

    @property
    def pids(self) -> list[int]:
        """The ids of the processes that are running."""
        return [child.pid for child in self._children if child.running]

    async def start(
        self, module: str, env: Mapping[str, str] | None = None, first_input: bytes = b""
    ) -> ChildProcess:
        """Start `python -m module`, and write `first_input` to its standard input.

        Standard input remains open until the run ends, so a child that reads it detects that end.
        Raise RuntimeError if the maximum number of processes is running.
        """
        if len(self.pids) >= MAX_PROCESSES:
            raise RuntimeError(f"the limit of {MAX_PROCESSES} processes is reached")
        starting = asyncio.ensure_future(_spawn(module, env or {}))
        try:
            process = await asyncio.shield(starting)
        except asyncio.CancelledError:
            # The process may already be running; it is kept, to be terminated with the others.
            self._children.append(ChildProcess(await starting))
            raise
        child = ChildProcess(process)
        self._children.append(child)
        if first_input and process.stdin is not None:
            process.stdin.write(first_input)
        return child

    async def terminate_all(self) -> None:
        """Terminate each process by its id; kill those still running after the grace period."""
        for child in self._children:
            if child.running:
                child.process.terminate()
        try:
            async with asyncio.timeout(TERMINATION_GRACE_S):
                await self._wait_for_all()
        except TimeoutError:
            for child in self._children:
                if child.running:
                    child.process.kill()
            await self._wait_for_all()
        self._children.clear()

    async def _wait_for_all(self) -> None:
        await asyncio.gather(*(child.wait() for child in self._children))


async def _spawn(module: str, env: Mapping[str, str]) -> Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        stdin=PIPE,
        stdout=PIPE,
        stderr=PIPE,
        env={**os.environ, **env},
        start_new_session=True,  # Ctrl-C in the terminal interrupts only this process
    )
