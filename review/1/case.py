"""Case 1: bad clients whose heads do not end make an ingress exceed its memory limit."""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import suppress
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    Ask,
    Backend,
    CaseError,
    Clients,
    Counter,
    DiscoveryAgent,
    Ingress,
    Record,
    ingress_config,
    leith_settings,
    run_case,
    troubled,
)

MEMORY_MB = 192  # the most that the pages name for a scored day; the least is 32
SOCKETS = 512  # the days name 256 to 1,024 descriptors
CALM_S = 4.0  # usual clients alone
TROUBLE_S = 12.0  # bad clients beside them
BAD_CLIENTS = 240  # in all
BAD_AT_ONCE = 8
# One line of the head without end, and how many are sent: 288,000 bytes, at full speed.
HEAD_LINE = b"X-A: 1\r\n"
HEAD_LINES = 36_000
ERROR_WITHIN_S = 3.0  # a bad client is owed an error or a close
REQUESTS_PER_S = 20
SAMPLE_S = 0.02


class Platform:
    """Watches the memory of an ingress, and kills it over its limit, as DEPLOY says."""

    def __init__(self, ingress: Ingress, record: Record) -> None:
        self.killed = False
        self.most_mb = 0.0
        self._ingress = ingress
        self._record = record

    async def watch(self) -> None:
        """Look at the memory until the ingress is killed."""
        while not self.killed:
            held_mb = self._ingress.memory_mb()
            self.most_mb = max(self.most_mb, held_mb)
            if held_mb > MEMORY_MB:
                self._record.say(f"memory {held_mb:.1f} MB is over the limit of {MEMORY_MB} MB")
                self._ingress.signal(signal.SIGKILL)
                self.killed = True
            await asyncio.sleep(SAMPLE_S)


async def send_bad_head(ingress: Ingress, record: Record, number: int) -> None:
    """Send a head without end, and wait for the error or the close."""
    host, port = ingress.address.split(":")
    answer = b""
    try:
        async with asyncio.timeout(ERROR_WITHIN_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b"GET /search/1 HTTP/1.1\r\nHost: service.internal\r\n")
                writer.write(HEAD_LINE * HEAD_LINES)
                answer = await reader.read(64)
                while await reader.read(4096):
                    pass
            finally:
                writer.close()
    except (OSError, TimeoutError) as error:
        record.write(f"bad client {number}: {error!r}")
    record.write(f"bad client {number} got {answer[:30]!r}; memory {ingress.memory_mb():.1f} MB")


async def send_bad_heads(ingress: Ingress, record: Record, platform: Platform) -> None:
    """Let bad clients come, a few at a time, in quick succession."""
    pause_s = TROUBLE_S / 6 / (BAD_CLIENTS / BAD_AT_ONCE)
    for first in range(0, BAD_CLIENTS, BAD_AT_ONCE):
        if platform.killed:
            return
        numbers = range(first, first + BAD_AT_ONCE)
        await asyncio.gather(*(send_bad_head(ingress, record, number) for number in numbers))
        await asyncio.sleep(pause_s)


async def send_usual(clients: Clients, record: Record, seconds: float) -> None:
    """Send usual requests at an even rate, and wait for their answers."""
    tasks = []
    end = record.now() + seconds
    while record.now() < end:
        number = len(clients.requests)
        ask = Ask(f"{number:016x}", account=number % 50, timeout_s=2.0)
        tasks.append(asyncio.create_task(clients.send(ask)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def case(record: Record, folder: Path) -> int:
    """Run the case; return the exit status of the script."""
    attempts = []
    backends = [Backend(f"s-{n}", f"room-{'ab'[n % 2]}", record, attempts) for n in range(4)]
    for backend in backends:
        await backend.start()
    agent = DiscoveryAgent(record, [backend.entry() for backend in backends])
    await agent.start()
    counter = Counter(record)
    await counter.start()
    limits = {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
    config = ingress_config("n0", agent, counter, leith_settings(balancers=1), **limits)
    ingress = Ingress("n0", record, folder, config)
    try:
        await ingress.start()
        platform = Platform(ingress, record)
        watch = asyncio.create_task(platform.watch())
        clients = Clients(ingress.address, record)
        await send_usual(clients, record, CALM_S)
        if platform.killed or any(sent.lost for sent in clients.requests):
            raise CaseError("the calm part failed")
        record.say(f"after the calm part: memory {ingress.memory_mb():.1f} MB")
        usual = asyncio.create_task(send_usual(clients, record, TROUBLE_S))
        if troubled():
            await send_bad_heads(ingress, record, platform)
        await usual
        watch.cancel()
        with suppress(asyncio.CancelledError):
            await watch
        lost = [sent.request_id for sent in clients.requests if sent.lost]
        record.say(
            f"most memory {platform.most_mb:.1f} MB of {MEMORY_MB} MB;"
            f" {len(lost)} of {len(clients.requests)} usual requests without an answer"
        )
        clients.close()
        ended = ingress.process is not None and ingress.process.poll() is not None
        return BROKEN if platform.killed or ended or lost else HELD
    finally:
        ingress.end()
        for server in (agent, counter, *backends):
            server.stop()


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
