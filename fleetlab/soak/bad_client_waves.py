"""Bad clients that connect by hundreds, in a process of its own that runs at full speed.

Of each wave some clients send hundreds of requests at once, of a class that does not exist, and
read the responses; the others send nothing. The connections of a wave are closed after the next.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path

import msgspec

from fleetlab.stand_in import split_address

ROOT = Path(__file__).parents[2]
CONNECT_TIMEOUT_S = 1.0
READ_INTERVAL_S = 0.02  # between two reads of the responses
READ_BYTES = 1 << 20
_REQUEST = b"GET /no-such-class/7 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: bad\r\n\r\n"


class WaveSettings(msgspec.Struct, frozen=True):
    """What the process does; passed to it as JSON.

    Attributes:
        address: the host and port of the ingress.
        seconds: for how long waves begin, in seconds.
        senders: the clients of a wave that send requests.
        requests: how many requests each of them sends at once.
        silent: the clients of a wave that send nothing.
        wave_s: for how long the responses to a wave are read, in seconds.
    """

    address: str
    seconds: float
    senders: int = 60
    requests: int = 100
    silent: int = 300
    wave_s: float = 0.8


async def run_waves(settings: WaveSettings) -> None:
    """Run the process to its end, or kill it if this is cancelled."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        __name__,
        msgspec.json.encode(settings).decode(),
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        stdin=asyncio.subprocess.DEVNULL,
        start_new_session=True,  # an interrupt at the terminal reaches the soak only
    )
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def _connect(address: tuple[str, int]) -> socket.socket:
    """Return a connection, or a socket without one if the ingress accepts none in time."""
    sock = socket.socket()
    sock.settimeout(CONNECT_TIMEOUT_S)
    with suppress(OSError):
        sock.connect(address)
    sock.setblocking(False)
    return sock


def _start_wave(settings: WaveSettings) -> tuple[list[socket.socket], list[socket.socket]]:
    """Return the connections that send requests, and the silent ones."""
    address = split_address(settings.address)
    senders = []
    for _ in range(settings.senders):
        sock = _connect(address)
        with suppress(OSError):
            sock.send(_REQUEST * settings.requests)
        senders.append(sock)
    return senders, [_connect(address) for _ in range(settings.silent)]


def _read_responses(senders: list[socket.socket], seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for sock in senders:
            with suppress(OSError):
                sock.recv(READ_BYTES)
        time.sleep(READ_INTERVAL_S)


def main() -> None:
    """Run waves as the settings in the first argument say."""
    settings = msgspec.json.decode(sys.argv[1], type=WaveSettings)
    end = time.monotonic() + settings.seconds
    previous: list[socket.socket] = []
    while time.monotonic() < end:
        senders, silent = _start_wave(settings)
        _read_responses(senders, settings.wave_s)
        for sock in previous:
            sock.close()
        previous = senders + silent


if __name__ == "__main__":
    main()
