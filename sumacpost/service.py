"""The ingress process: startup, signal handling, configuration reload and graceful shutdown."""

from __future__ import annotations

import asyncio
import errno
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable

import uvloop

from sumacpost.clock import Clock
from sumacpost.config import Config, load_config, load_config_in_steps
from sumacpost.diagnostics.log_stream import log_to_standard_error, reserve_standard_descriptors
from sumacpost.discovery.start_times import StartTimeConverter
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.errors import ConfigError
from sumacpost.ingress import Ingress
from sumacpost.server.request import RequestParser
from sumacpost.server.server import Server
from sumacpost.supervisor import SupervisedTask

log = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_S = 0.25  # between two checks for connections that have timed out

LISTEN_TIMEOUT_S = 20.0  # how long listening is retried while the system lacks resources
LISTEN_RETRY_DELAY_S = 0.05
RESOURCE_SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)
)

HANDLED_SIGNALS = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGHUP,
    signal.SIGUSR1,
    signal.SIGUSR2,
)

# Exit codes of the process.
EXIT_OK = 0
EXIT_CANNOT_SERVE = 1
EXIT_BAD_CONFIG = 2


class Service:
    """The ingress with its background tasks, from startup to the end of the graceful shutdown.

    Attributes:
        address: the address on which clients are served; has the actual port number once `run`
            listens on it.
    """

    def __init__(self, config: Config) -> None:
        self._config = config
        start_times = StartTimeConverter(Clock().now)
        start_times.convert(config.initial_endpoints, live=False)
        self._ingress = Ingress(config)
        self._ingress.update_endpoints(config.initial_endpoints, config.initial_addresses)
        self._server = Server(
            self._ingress, RequestParser(config.settings), config.max_connections_per_side
        )
        self._discovery = DiscoveryWatch(
            config.discovery,
            config.endpoint_list_reader,
            config.initial_endpoints.version,
            self._ingress.update_endpoints,
            config.settings.drain_grace_ms / 1000,
            start_times,
        )
        self._discovery_task: SupervisedTask | None = None
        self._counter_task: SupervisedTask | None = None
        self.address = config.listen

    async def run(self, stop: asyncio.Event, on_serving: Callable[[Service], object]) -> None:
        """Serve until `stop` is set, then drain.

        `on_serving` is called once clients can connect, and not at all if `stop` is set before
        that. Raise OSError if listening on the address fails.
        """
        self._discovery_task = SupervisedTask("discovery-watch", self._discovery.run)
        await self._start_counter()
        if stop.is_set():
            return  # no client has connected yet
        if not await self._listen(stop):
            return
        maintenance_task = SupervisedTask("maintenance", self._maintain)
        on_serving(self)
        self._log_serving()
        await stop.wait()
        log.info("drain started")
        started_at = time.monotonic()
        await self._server.drain()
        self._ingress.record_unanswered_requests()
        for task in (self._discovery_task, self._counter_task, maintenance_task):
            if task is not None:
                task.stop()
        self._ingress.pool_manager.close()
        log.info("drain finished: elapsed_s=%.3f", time.monotonic() - started_at)
        self._ingress.recorder.log_counts()

    def log_recent_events(self) -> None:
        """Log the most recent events and the counts of all events, to inspect a running ingress."""
        self._ingress.recorder.log_recent_events()

    def toggle_event_log(self) -> None:
        """Turn live logging of all events on or off; works outside a drain too."""
        recorder = self._ingress.recorder
        recorder.logs_live = not recorder.logs_live
        log.info("event log: live=%s", recorder.logs_live)

    def reload(self, config: Config) -> None:
        """Switch to the discovery and counter addresses of a new configuration.

        All other changes in the configuration need a restart.
        """
        log.info("configuration reloaded: discovery=%s:%d", *config.discovery)
        self._discovery.change_address(config.discovery)
        if self._discovery_task is not None:
            self._discovery_task.restart()
        counter = self._ingress.counter
        if counter is not None:
            counter.change_address(config.counter)
            if self._counter_task is not None:
                self._counter_task.restart()

    async def _start_counter(self) -> None:
        """Start the counter client, and wait until its first connection attempt has ended."""
        counter = self._ingress.counter
        if counter is None:
            return
        first_connect_attempted = asyncio.Event()
        self._counter_task = SupervisedTask(
            "counter-client", lambda: counter.run(first_connect_attempted)
        )
        await first_connect_attempted.wait()

    async def _listen(self, stop: asyncio.Event) -> bool:
        """Start to accept clients; return False if `stop` is set before that.

        A temporary shortage of descriptors or memory must not end the process, so listening is
        retried. Raise OSError if the shortage lasts for LISTEN_TIMEOUT_S, and immediately for any
        other error, such as an unusable address.
        """
        give_up_at = time.monotonic() + LISTEN_TIMEOUT_S
        while not stop.is_set():
            try:
                self.address = self._server.listen(self._config.listen)
            except OSError as error:
                if error.errno not in RESOURCE_SHORTAGE_ERRNOS or time.monotonic() >= give_up_at:
                    raise
                log.warning("listening failed: error=%s", error)
            else:
                return True
            await asyncio.sleep(LISTEN_RETRY_DELAY_S)
        return False

    def _log_serving(self) -> None:
        host, port = self.address
        log.info(
            "serving: name=%s address=%s:%d backends=%d",
            self._config.name,
            host,
            port,
            len(self._config.initial_addresses),
        )

    async def _maintain(self) -> None:
        """Close stale backend connections and enforce client timeouts at regular intervals."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._ingress.pool_manager.close_stale_connections()
            while self._server.enforce_timeouts():
                await asyncio.sleep(0)


class ConfigReloader:
    """Reloads the configuration on SIGHUP; an invalid configuration changes nothing.

    Create it at the very start of the process, because an unhandled SIGHUP would end the process. A
    signal that arrives before `attach` takes effect when `attach` is called.
    """

    def __init__(self) -> None:
        self._service: Service | None = None
        self._path = ""
        self._requested = False
        self._reading: asyncio.Task[None] | None = None
        signal.signal(signal.SIGHUP, lambda *_: self.request_reload())

    def attach(self, service: Service, path: str) -> None:
        """Reload the file at `path` into `service` on SIGHUP. Call this on the event loop."""
        self._service = service
        self._path = path
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.request_reload)
        if self._requested:
            self.request_reload()

    def request_reload(self) -> None:
        """Start to read the file, replacing a read in progress; deferred until `attach`."""
        self._requested = self._service is None
        if self._service is None:
            return
        if self._reading is not None:
            self._reading.cancel()
        self._reading = asyncio.get_running_loop().create_task(self._reload(self._service))

    async def _reload(self, service: Service) -> None:
        try:
            service.reload(await self._read())
        except ConfigError as error:
            # An error of the operator: the message is complete, and a traceback adds nothing.
            log.error("configuration rejected: error=%s", error)  # noqa: TRY400
        except Exception:
            # Nothing awaits this task, so without a log line the failure would go unnoticed.
            log.exception("configuration reload failed")

    async def _read(self) -> Config:
        """Read in steps, because a file with a long endpoint list would block the event loop."""
        steps = load_config_in_steps(self._path)
        while True:
            try:
                next(steps)
            except StopIteration as finished:
                config: Config = finished.value
                return config
            await asyncio.sleep(0)


async def serve(
    config: Config,
    stop: asyncio.Event,
    on_serving: Callable[[Service], object] = lambda _: None,
) -> None:
    """Serve until `stop` is set, then drain; see `Service.run`."""
    await Service(config).run(stop, on_serving)


async def _serve_until_signalled(config: Config, path: str, reloader: ConfigReloader) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)

    def attach(service: Service) -> None:
        reloader.attach(service, path)
        loop.add_signal_handler(signal.SIGUSR1, service.log_recent_events)
        loop.add_signal_handler(signal.SIGUSR2, service.toggle_event_log)

    await serve(config, stop, attach)
    _ignore_signals()


def _ignore_signals() -> None:
    """Ignore the handled signals until the process has exited.

    The interpreter restores the default action of handled signals before it exits, and a signal
    that arrives after that would end the process as if it had crashed. Blocking the signals would
    not prevent this: other threads, such as the event loop's resolvers, would receive them.
    """
    for signum in HANDLED_SIGNALS:
        signal.signal(signum, signal.SIG_IGN)


def main() -> int:
    """Run the ingress that RELAY_CONFIG configures, and return the exit status of the process.

    Return EXIT_OK after a graceful shutdown, EXIT_BAD_CONFIG if the configuration is invalid, and
    EXIT_CANNOT_SERVE if listening on the address fails. In the last two cases one line is written
    to standard error.
    """
    reserve_standard_descriptors()
    reloader = ConfigReloader()
    log_to_standard_error()
    path = os.environ.get("RELAY_CONFIG")
    if path is None:
        return _exit_with("RELAY_CONFIG is not set", EXIT_BAD_CONFIG)
    try:
        config = load_config(path)
    except ConfigError as error:
        return _exit_with(str(error), EXIT_BAD_CONFIG)
    gc.freeze()
    try:
        uvloop.run(_serve_until_signalled(config, path, reloader))
    except OSError as error:
        return _exit_with(f"can't serve: {error}", EXIT_CANNOT_SERVE)
    return EXIT_OK


def _exit_with(message: str, status: int) -> int:
    print(f"sumacpost: {message}", file=sys.stderr)
    return status
