"""Load reports in the responses of backends."""

from __future__ import annotations

import pytest

from sumacpost.upstream.load_report import LoadReportReader
from tests.support.event_loop import run
from tests.support.http_client import request
from tests.support.ingress import world
from tests.support.peers import answer


@pytest.mark.parametrize(
    ("text", "figures"),
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
def test_a_load_report_is_read_completely_or_not_at_all(
    text: bytes | None, figures: tuple[float, ...]
) -> None:
    assert LoadReportReader(("utilization", "backlog")).read(text) == figures


@pytest.mark.parametrize("status", [200, 500])
def test_any_response_may_bring_a_load_report(status: int) -> None:
    async def test() -> None:
        report = answer(
            status=status, head=b"Server-Load: backlog=0,throughput=6.0,utilization=0.6\r\n"
        )
        told = {"via": "inline", "fields": ["backlog", "throughput", "utilization"]}
        async with world(report, settings={"telemetry": told}) as w:
            await w.ask(request())
            (backend,) = w.service._ingress._gateway.endpoints.backends.values()
            assert 0 < backend.measured_capacity <= 10

    run(test())
