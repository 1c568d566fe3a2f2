"""The ingress as a process: start, signals, reload, and the order of start and stop."""

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
from sumacpost.ingress import Ingress, max_connections_per_side
from sumacpost.server.request import RequestParser
from sumacpost.server.server import Server
from sumacpost.supervisor import SupervisedTask

log = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_S = 0.25  # between the closings of connections that have been idle too long

LISTEN_TIMEOUT_S = 20.0  # for which a shortage of the system is waited out
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

# Exit statuses of the process.
EXIT_OK = 0
EXIT_CANNOT_SERVE = 1
EXIT_BAD_CONFIG = 2


class Service:
    """The ingress with the tasks around it, from its start to the end of its graceful shutdown.

    Attributes:
        address: where clients are served; its port is the actual one once `run` has begun to serve.
    """

    def __init__(self, config: Config) -> None:
        self._config = config
        start_times = StartTimeConverter(Clock().now)
        start_times.convert(config.initial_endpoints, live=False)
        self._ingress = Ingress(config)
        self._ingress.update_endpoints(config.initial_endpoints, config.initial_addresses)
        self._server = Server(
            self._ingress, RequestParser(config.settings), max_connections_per_side(config)
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

        `on_serving` is called once clients can connect; it never is if `stop` is set before that.
        Raise OSError if the address can't be listened on.
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
        self._ingress.backends.close()
        log.info("drain finished: elapsed_s=%.3f", time.monotonic() - started_at)
        self._ingress.recorder.log_counts()

    def log_recent_events(self) -> None:
        """Log the latest events and the counts of all, for a look at a running ingress."""
        self._ingress.recorder.log_recent_events()

    def toggle_event_log(self) -> None:
        """Begin or end to log each event as it comes, outside a drain too."""
        recorder = self._ingress.recorder
        recorder.logs_live = not recorder.logs_live
        log.info("event log: live=%s", recorder.logs_live)

    def reload(self, config: Config) -> None:
        """Use the addresses of another configuration; anything else in it needs a restart."""
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
        """Connect to the counter, and wait until the first attempt has succeeded or failed."""
        counter = self._ingress.counter
        if counter is None:
            return
        first_attempt_done = asyncio.Event()
        self._counter_task = SupervisedTask(
            "counter-client", lambda: counter.run(first_attempt_done)
        )
        await first_attempt_done.wait()

    async def _listen(self, stop: asyncio.Event) -> bool:
        """Begin to accept clients; return False if `stop` is set before that.

        A system that is short of descriptors or memory for a moment must not end the process; raise
        OSError once it has been so for long, and at once if the address is of no use.
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
        """Close idle connections at regular intervals, for ever."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._ingress.backends.close_stale_connections()
            self._server.enforce_timeouts()


class ConfigReloader:
    """Reads the configuration again at SIGHUP; an invalid one changes nothing.

    Create it at the very start of the process, as an unhandled SIGHUP would end that. A signal that
    comes before `attach` is remembered.
    """

    def __init__(self) -> None:
        self._service: Service | None = None
        self._path = ""
        self._requested = False
        self._reading: asyncio.Task[None] | None = None
        signal.signal(signal.SIGHUP, lambda *_: self.request_reload())

    def attach(self, service: Service, path: str) -> None:
        """Reload the file at `path` into `service` from now on. To be called on the event loop."""
        self._service = service
        self._path = path
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.request_reload)
        if self._requested:
            self.request_reload()

    def request_reload(self) -> None:
        """Read the file now, instead of a reading under way, or as soon as there is a service."""
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
            # the operator's error: its message says all, and a traceback would say nothing of it
            log.error("configuration rejected: error=%s", error)  # noqa: TRY400
        except Exception:
            # nobody awaits this task: without a line here the failure would show nowhere
            log.exception("configuration reload failed")

    async def _read(self) -> Config:
        """Read in steps, as a file with a long endpoint list would hold up the loop."""
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
    # The loop gives each signal its default action back as it closes, and a late one would end the
    # process as if it had crashed.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def main() -> int:
    """Run the ingress that RELAY_CONFIG configures, and return the exit status of the process.

    EXIT_OK after a graceful shutdown; with one line on stderr, EXIT_BAD_CONFIG if the configuration
    can't be used, and EXIT_CANNOT_SERVE if the address can't be listened on.
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
