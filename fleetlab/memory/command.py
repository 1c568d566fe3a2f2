"""The command memory: one real ingress beside hostile peers."""

from __future__ import annotations

from pathlib import Path
from typing import TypedDict, Unpack

import click
import msgspec
from rich.console import Console
from rich.table import Table

from fleetlab.callback_monitor import SLOW_CALLBACK_S, CallbackTimes
from fleetlab.command_options import OUT_OPTION, SECONDS_RANGE, SEED_OPTION
from fleetlab.interrupts import run_interruptible
from fleetlab.memory.hostile_backends import BackendKind
from fleetlab.memory.hostile_clients import ClientKind
from fleetlab.memory.run import MemoryRun, measure
from fleetlab.results import Result, append_result, current_commit, describe_machine

MAX_CLIENTS = 2000
MIN_MEMORY_MB = 24
MAX_MEMORY_MB = 2048
CALLBACK_TIMES_FILE = "callbacks.json"
SHOWN_CALLBACKS = 12


class _MemoryOptions(TypedDict):
    """Options of the command that are fields of MemoryRun."""

    client_count: int
    memory_mb: int
    seconds: float
    seed: int


@click.command()
@OUT_OPTION
@click.option(
    "--clients",
    default=ClientKind.NONE.value,
    type=click.Choice([kind.value for kind in ClientKind]),
    help="What the hostile clients send.",
)
@click.option(
    "--backends",
    default=BackendKind.NONE.value,
    type=click.Choice([kind.value for kind in BackendKind]),
    help="How backends respond to one of four requests.",
)
@click.option(
    "--count",
    "client_count",
    default=100,
    type=click.IntRange(1, MAX_CLIENTS),
    help="Number of hostile clients at a time.",
)
@click.option(
    "--memory-mb",
    default=64,
    type=click.IntRange(MIN_MEMORY_MB, MAX_MEMORY_MB),
    help="Memory limit in the configuration of the ingress.",
)
@click.option(
    "--seconds", default=8.0, type=SECONDS_RANGE, help="Time for which the peers are hostile."
)
@SEED_OPTION
@click.option(
    "--callbacks", is_flag=True, help="Measure the callbacks of the ingress's event loop as well."
)
def memory(
    out: Path, clients: str, backends: str, callbacks: bool, **options: Unpack[_MemoryOptions]
) -> None:
    """Measure the memory of one real ingress beside hostile peers; fail if it exceeds the limit."""
    out.mkdir(parents=True, exist_ok=True)
    run = MemoryRun(
        clients=ClientKind(clients),
        backends=BackendKind(backends),
        callback_times=(out / CALLBACK_TIMES_FILE).absolute() if callbacks else None,
        **options,
    )
    figures = run_interruptible(measure(run))
    axis = f"memory-{clients}-{backends}"
    append_result(
        out / "memory.jsonl",
        Result(
            "memory",
            axis,
            run.client_count,
            run.seed,
            figures,
            current_commit(),
            describe_machine(),
            f"limit {run.memory_mb} MB",
        ),
    )
    table = Table("figure", "value", title=f"one ingress, clients {clients}, backends {backends}")
    for name, value in figures.items():
        table.add_row(name, "-" if value is None else f"{value:,.1f}")
    Console().print(table)
    if run.callback_times is not None:
        Console().print(_callback_table(run.callback_times))
    if figures["over_limit"]:
        raise click.ClickException(f"the memory exceeded the limit of {run.memory_mb} MB")


def _callback_table(times_file: Path) -> Table:
    """Return the callbacks with the longest processor times."""
    times = msgspec.json.decode(times_file.read_bytes(), type=dict[str, CallbackTimes])
    slowest = sorted(times.items(), key=lambda item: -item[1].longest_ms)[:SHOWN_CALLBACKS]
    table = Table("callback", "longest ms", f"over {SLOW_CALLBACK_S * 1000:.0f} ms", "calls")
    for name, callback in slowest:
        table.add_row(
            name, f"{callback.longest_ms:.2f}", str(callback.slow_calls), str(callback.calls)
        )
    return table
