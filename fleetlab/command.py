"""The commands sweep, real, pairs, soak, planted and slopes, and the memory command."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import astuple, fields
from pathlib import Path
from typing import TypedDict, Unpack

import click
from rich.console import Console
from rich.table import Table

from fleetlab import pairs as pair_model
from fleetlab import real as real_ingress
from fleetlab import sweep as sweep_points
from fleetlab.command_options import (
    MAX_CHANGES_PER_S,
    MAX_RATE,
    MAX_REPLACEMENTS,
    MAX_SOAK_INGRESSES,
    OUT_OPTION,
    POINTS_OPTION,
    SECONDS_RANGE,
    SEED_OPTION,
    make_grid,
    parse_seeds,
    parse_sizes,
)
from fleetlab.discovery_server import ResponseMode
from fleetlab.interrupts import InterruptedRunError, run_interruptible
from fleetlab.memory.command import memory
from fleetlab.plan import DEFAULT_POINTS, INGRESSES, MAX_POINTS, REQUESTS_PER_S
from fleetlab.process_stats import MemoryLimitError
from fleetlab.real_environment import RealRun
from fleetlab.results import (
    Figures,
    Result,
    ResultError,
    append_result,
    current_commit,
    describe_machine,
    read_results,
)
from fleetlab.slopes import Slope, fit
from fleetlab.soak import planted_faults
from fleetlab.soak import runs as soak_runs

TABLE_WIDTH = 200  # columns, if standard output is not a terminal

EXIT_FAILURE = 2  # an error in the usage or in the run
EXIT_ABORTED = 130
EXIT_SIGNAL_BASE = 128


@click.group(no_args_is_help=False)
def cli() -> None:
    """Measure ingresses at several sizes, fit slopes and extrapolate them to the plan's size."""


cli.add_command(memory)


@cli.command()
@OUT_OPTION
@click.option(
    "--axis",
    "axes",
    multiple=True,
    type=click.Choice(list(DEFAULT_POINTS)),
    help="Axis to measure; may be repeated. All axes by default.",
)
@POINTS_OPTION
@click.option("--seconds", default=5.0, type=SECONDS_RANGE, help="Measured time at each point.")
@SEED_OPTION
def sweep(
    out: Path, axes: tuple[str, ...], points: tuple[int, ...], seconds: float, seed: int
) -> None:
    """Measure a grid of sizes with synthetic ingresses; write each result immediately."""
    grid = make_grid(axes, points)
    out.mkdir(parents=True, exist_ok=True)
    commit = current_commit()
    machine = describe_machine()
    console = Console(stderr=True)
    for point in grid:
        note = ""
        figures: Figures = {}
        try:
            figures = run_interruptible(sweep_points.measure(point.axis, point.size, seconds, seed))
        except MemoryLimitError as error:
            note = str(error)
        result = Result("sweep", point.axis, point.size, seed, figures, commit, machine, note)
        append_result(out / f"{point.axis}.jsonl", result)
        rounded = {name: round(value, 3) for name, value in figures.items() if value is not None}
        console.print(
            f"{point.axis} {point.size}: {note or rounded}", highlight=False, soft_wrap=True
        )


class _RealOptions(TypedDict):
    """Options of the command `real` that are fields of RealRun."""

    backends: int
    seconds: float
    known: int
    index: int
    rate: float
    changes_per_s: float
    seed: int


@cli.command()
@OUT_OPTION
@click.option(
    "--backends",
    default=200,
    type=click.IntRange(1, MAX_POINTS["backends"]),
    help="Number of backends listed by discovery.",
)
@click.option(
    "--mode",
    default=ResponseMode.GOOD.value,
    type=click.Choice([mode.value for mode in ResponseMode]),
    help="How discovery responds to polls.",
)
@click.option(
    "--seconds",
    default=10.0,
    type=SECONDS_RANGE,
    help="Maximum time until ready; the load also lasts this long, plus the time of the drain.",
)
@click.option(
    "--known",
    default=0,
    type=click.IntRange(0, MAX_POINTS["backends"]),
    help="Number of backends listed in the configuration file.",
)
@click.option(
    "--index",
    default=0,
    type=click.IntRange(0, INGRESSES - 1),
    help="Index of the ingress in the fleet.",
)
@click.option(
    "--rate",
    default=REQUESTS_PER_S / INGRESSES,
    type=click.FloatRange(1, MAX_RATE),
    help="Requests per second.",
)
@click.option(
    "--changes",
    "changes_per_s",
    default=1.0,
    type=click.FloatRange(0, MAX_CHANGES_PER_S),
    help="Changes of the endpoint list per second.",
)
@SEED_OPTION
def real(out: Path, mode: str, **options: Unpack[_RealOptions]) -> None:
    """Run one real ingress with stand-in servers, and measure it from outside its process."""
    out.mkdir(parents=True, exist_ok=True)
    run = RealRun(mode=ResponseMode(mode), **options)
    note = ""
    figures: Figures = {}
    try:
        figures = run_interruptible(real_ingress.measure_with_baseline(run))
    except (MemoryLimitError, RuntimeError, TimeoutError) as error:
        note = str(error) or "the ingress did not start to listen in time"
    else:
        if figures["ready_s"] is None:
            note = f"the ingress was not ready within {run.seconds:g} s"
    axis = "real" if run.mode is ResponseMode.GOOD else f"real-{mode}"
    append_result(
        out / f"{axis}.jsonl",
        Result(
            "real",
            axis,
            run.backends,
            run.seed,
            figures,
            current_commit(),
            describe_machine(),
            note,
        ),
    )
    if note:
        Console(stderr=True).print(note, highlight=False, soft_wrap=True)
    table = Table("figure", "value", title=f"one ingress, {run.backends} backends listed, {mode}")
    for name, value in figures.items():
        table.add_row(name, "-" if value is None else f"{value:,.3f}")
    Console().print(table)


@cli.command()
@OUT_OPTION
@click.option(
    "--sizes",
    "sizes_text",
    default=",".join(f"{size.gateways}x{size.backends}" for size in pair_model.DEFAULT_SIZES),
    help="Comma-separated fleet sizes, each as GATEWAYSxBACKENDS.",
)
@click.option(
    "--replacements",
    default=10,
    type=click.IntRange(1, MAX_REPLACEMENTS),
    help="Number of backends to replace, one after another.",
)
@SEED_OPTION
def pairs(out: Path, sizes_text: str, replacements: int, seed: int) -> None:
    """Model the subsets of all gateways by the former scheme, rank, and the current one, subset."""
    sizes = parse_sizes(sizes_text)
    out.mkdir(parents=True, exist_ok=True)
    commit = current_commit()
    machine = describe_machine()
    names = pair_model.PairFigures.__struct_fields__
    table = Table(*(name.replace("_", " ") for name in names), title=f"seed {seed}")
    for size in sizes:
        for scheme in pair_model.SCHEMES:
            pair_figures = pair_model.measure(
                scheme, size.gateways, size.backends, seed, replacements
            )
            figures: Figures = {
                name: float(getattr(pair_figures, name)) for name in names if name != "scheme"
            }
            axis = f"pairs-{scheme}"
            result = Result("pairs", axis, size.backends, seed, figures, commit, machine)
            append_result(out / f"{axis}.jsonl", result)
            table.add_row(scheme, *(f"{value:,.4g}" for value in figures.values()))
    _wide_console().print(table)


@cli.command()
@OUT_OPTION
@click.option("--seeds", default="1:3", help="Range of seeds, as FIRST:LAST; both are included.")
@click.option(
    "--ingresses",
    default=0,
    type=click.IntRange(0, MAX_SOAK_INGRESSES),
    help="Ingress processes in each run; 0: drawn from each seed.",
)
@click.option(
    "--seconds", default=12.0, type=SECONDS_RANGE, help="Duration of the load in each run."
)
def soak(out: Path, seeds: str, ingresses: int, seconds: float) -> None:
    """Run real ingresses under random faults, and check each run against the rules."""
    violations = 0
    for seed in parse_seeds(seeds):
        result = run_interruptible(soak_runs.run_seed(out, seed, ingresses, seconds))
        violations += len(result.violations)
        Console().print(soak_runs.format_summary(result), highlight=False, soft_wrap=True)
    if violations:
        raise click.ClickException(f"{violations} violations; see {out}")


@cli.command()
@click.option(
    "--only", default="", help="Run only the planted faults whose name contains this text."
)
def planted(only: str) -> None:
    """Run the soak on copies of the program with planted faults; each fault has to be found."""
    missed = 0
    for fault, violated_rules in planted_faults.run_all(only):
        missed += fault.rule not in violated_rules
        verdict = "found" if fault.rule in violated_rules else "MISSED"
        line = f"{verdict}: {fault.name} (seed {fault.seed}, {fault.rule}): {violated_rules}"
        Console().print(line, highlight=False, soft_wrap=True)
    if missed:
        raise click.ClickException(f"{missed} planted faults were not found")


@cli.command()
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
def slopes(folder: Path) -> None:
    """Fit a line through each figure of each axis, and show its value at the plan's size."""
    results = read_results(folder)
    if not results:
        raise click.UsageError(f"{str(folder)!r} contains no results")
    table = Table(*(field.name for field in fields(Slope)))
    for slope in fit(results):
        table.add_row(*(_format_cell(value) for value in astuple(slope)))
    _wide_console().print(table)


def _wide_console() -> Console:
    return Console(width=None if sys.stdout.isatty() else TABLE_WIDTH)


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code.

    0: success. 2: failure, after one line on standard error that describes it. 128 plus the number
    of the signal: interrupted by SIGINT or SIGTERM. 130: aborted by click, as on Ctrl-C outside a
    run.
    """
    try:
        cli.main(args=arguments, prog_name="fleetlab", standalone_mode=False)
    except click.ClickException as error:
        return _print_error(error.format_message())
    except (ResultError, OSError) as error:
        return _print_error(str(error))
    except InterruptedRunError as error:
        print(
            "fleetlab: interrupted; all started processes and servers have been stopped",
            file=sys.stderr,
        )
        return EXIT_SIGNAL_BASE + error.signum
    except click.exceptions.Abort:
        return EXIT_ABORTED
    return 0


def _print_error(message: str) -> int:
    """Print the message as one line on standard error; return the exit code."""
    print("fleetlab: " + " ".join(message.split()), file=sys.stderr)
    return EXIT_FAILURE
