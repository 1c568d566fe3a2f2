"""Options of the command line and their parsers; an invalid value raises a click error."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import click

from fleetlab.pairs import FleetSize
from fleetlab.plan import DEFAULT_POINTS, MAX_POINTS

MAX_SECONDS = 600.0
MAX_POINT_COUNT = 64
MAX_SEED = 2**31
MAX_RATE = 2000  # requests per second
MAX_CHANGES_PER_S = 1000
MAX_REPLACEMENTS = 1000
MAX_GATEWAYS = 20_000
MAX_SOAK_INGRESSES = 40
MAX_SOAK_SEEDS = 1000
MAX_BACKENDS = 200_000


def _parse_points(
    _context: click.Context, _parameter: click.Parameter, text: str | None
) -> tuple[int, ...]:
    if text is None:
        return ()
    try:
        points = tuple(int(word) for word in text.split(","))
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a comma-separated list of integers") from None
    if len(points) > MAX_POINT_COUNT or any(point < 0 for point in points):
        raise click.BadParameter(
            f"{text!r} has a negative size, or more than {MAX_POINT_COUNT} sizes"
        )
    return points


def _check_folder(_context: click.Context, _parameter: click.Parameter, path: Path) -> Path:
    if path.exists() and not path.is_dir():
        raise click.BadParameter(f"{str(path)!r} is not a folder")
    return path


SECONDS_RANGE = click.FloatRange(0, MAX_SECONDS, min_open=True)
OUT_OPTION = click.option(
    "--out",
    required=True,
    type=click.Path(path_type=Path),
    callback=_check_folder,
    help="Folder for the result files; created if it does not exist.",
)
POINTS_OPTION = click.option(
    "--points", callback=_parse_points, help="Comma-separated sizes; requires exactly one --axis."
)
SEED_OPTION = click.option(
    "--seed",
    default=0,
    type=click.IntRange(0, MAX_SEED),
    help="Seed of the generated lists and requests.",
)


@dataclass(frozen=True, slots=True)
class GridPoint:
    """A size on an axis, to be measured by a sweep."""

    axis: str
    size: int


def make_grid(axes: Sequence[str], points: Sequence[int]) -> list[GridPoint]:
    """Return the points of a sweep, by default on all axes and with the default sizes of each axis.

    Raise UsageError if sizes are given without exactly one axis, or if one is out of range.
    """
    if points and len(axes) != 1:
        raise click.UsageError("--points requires exactly one --axis")
    grid = [
        GridPoint(axis, size)
        for axis in (axes or DEFAULT_POINTS)
        for size in (points or DEFAULT_POINTS[axis])
    ]
    for point in grid:
        axis = point.axis
        # A size of 0 is valid only on the axis of changes.
        if point.size > MAX_POINTS[axis] or (point.size < 1 and axis != "changes"):
            raise click.UsageError(
                f"--points: {point.size} {axis} is not between 1 and {MAX_POINTS[axis]}"
            )
    return grid


def parse_sizes(text: str) -> list[FleetSize]:
    """Return the sizes in a text such as 40x60,200x200; raise UsageError for an invalid one."""
    sizes = []
    for word in text.split(","):
        gateways, _, backends = word.partition("x")
        try:
            sizes.append(FleetSize(int(gateways), int(backends)))
        except ValueError:
            raise click.UsageError(
                f"--sizes: {text!r} is not a list of GATEWAYSxBACKENDS"
            ) from None
    if len(sizes) > MAX_POINT_COUNT or not all(_is_within_limits(size) for size in sizes):
        raise click.UsageError(
            f"--sizes: {text!r} has more than {MAX_POINT_COUNT} sizes, or one that is not between"
            f" 1x1 and {MAX_GATEWAYS}x{MAX_BACKENDS}"
        )
    return sizes


def _is_within_limits(size: FleetSize) -> bool:
    return 1 <= size.gateways <= MAX_GATEWAYS and 1 <= size.backends <= MAX_BACKENDS


def parse_seeds(text: str) -> range:
    """Return the seeds of a text FIRST:LAST or FIRST; raise UsageError if it is invalid."""
    first, _, last = text.partition(":")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        raise click.UsageError(f"--seeds: {text!r} is not FIRST:LAST") from None
    if not 1 <= len(seeds) <= MAX_SOAK_SEEDS or seeds[0] < 0:
        raise click.UsageError(
            f"--seeds: {text!r} is not a range of 1 to {MAX_SOAK_SEEDS} non-negative seeds"
        )
    return seeds
