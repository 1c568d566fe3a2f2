"""Load reports in the responses of backends."""

from __future__ import annotations

import pytest

from sumacpost.upstream.load_report import LoadReportReader, read_billed_units
from tests.support.event_loop import run
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import respond


@pytest.mark.parametrize(
    ("report", "values"),
    [
        (b"backlog=2,throughput=8.50,utilization=0.61", (0.61, 2.0)),
        (b"utilization=1.020 , backlog=0", (1.02, 0.0)),
        (None, ()),
        (b"", ()),
        (b"backlog=2", ()),
        (b"backlog=2,utilization=nan", ()),
        (b"backlog=-2,utilization=1", ()),
        (b"backlog=1,backlog=2,utilization=1", ()),
        (b"backlog=2,utilization=1,", ()),
        (b"backlog=2,utilization=1e9", ()),
        (b"backlog=2,utilization=1," + b"x=1," * 99 + b"y=1", ()),
        (b"\xff=1,backlog=2,utilization=1", ()),
    ],
)
def test_load_report_is_read_completely_or_ignored(
    report: bytes | None, values: tuple[float, ...]
) -> None:
    assert LoadReportReader(("utilization", "backlog")).read(report) == values


@pytest.mark.parametrize(
    ("header", "units"),
    [
        (b"3", 3.0),
        (b"0.25", 0.25),
        (b"8", 8.0),
        (b"8.5", 0.0),  # exceeds max_units
        (b"", 0.0),
        (b"-1", 0.0),
        (b"1e1", 0.0),
        (b"nan", 0.0),
        (b" 3", 0.0),
    ],
)
def test_billed_units_are_unknown_unless_valid(header: bytes, units: float) -> None:
    assert read_billed_units(header, max_units=8.0) == units


@pytest.mark.parametrize("status", [200, 500])
def test_load_report_is_read_from_responses_of_any_status(status: int) -> None:
    async def test() -> None:
        report = respond(
            status=status, head=b"Server-Load: backlog=0,throughput=6.0,utilization=0.6\r\n"
        )
        telemetry = {"via": "inline", "fields": ["backlog", "throughput", "utilization"]}
        async with running_ingress(report, settings={"telemetry": telemetry}) as ingress:
            await ingress.send(request())
            (backend,) = ingress.gateway.endpoints.backends.values()
            history = ingress.gateway.estimate.capacity.history(backend.endpoint)
            assert history is not None
            assert history.latest_report == (6.0, 0.6)

    run(test())
