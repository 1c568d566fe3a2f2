"""Requests during a drain and responses without a length, on real processes over loopback.

See docs/incidents/2026-12-02-requests-lost-at-shutdown.md.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from fleetlab.soak.behaviour import Behaviour
from fleetlab.soak.records import Effect
from fleetlab.soak.site import SoakClass, SoakSite
from tests.soak.support import running_ingress, send_late_in_drain
from tests.support.event_loop import run

SEARCH = SoakClass("search", Effect.IDEMPOTENT, 4.0)
UNSAFE_SEARCH = SoakClass("search", Effect.NOT_IDEMPOTENT, 2.3)
SHORT_SEARCH = SoakClass("search", Effect.IDEMPOTENT, 0.9)


@pytest.mark.parametrize("request_class", [SEARCH, UNSAFE_SEARCH, SHORT_SEARCH])
@pytest.mark.parametrize("send_after_s", [0.75, 0.9])
def test_request_that_arrives_in_a_drain_is_answered_before_the_earliest_sigkill(
    request_class: SoakClass, send_after_s: float, tmp_path: Path
) -> None:
    """Guards against requests that arrive during a drain and are lost at SIGKILL.

    All backends hang, so that the ingress itself has to respond. It once gave such requests a
    deadline after the earliest SIGKILL.
    """

    async def test() -> None:
        site = SoakSite((request_class,))
        async with running_ingress(tmp_path, site, Behaviour.HANG) as ingress:
            record = await send_late_in_drain(ingress, 0.3, send_after_s)
            assert ingress.attempts, "the request was not forwarded"
            assert record.status in (429, 502), ingress.process.log_tail()
            assert ingress.process.process_record.exit_code == 0

    run(test())


@pytest.mark.parametrize("behaviour", [Behaviour.UNBOUNDED, Behaviour.UNBOUNDED_IN_PIECES])
@pytest.mark.parametrize("effect", Effect)
def test_complete_response_without_a_length_is_forwarded(
    behaviour: Behaviour, effect: Effect, tmp_path: Path
) -> None:
    """Guards against complete responses that are withheld because they state no length.

    Such a response is complete when the backend closes the connection.
    """

    async def test() -> None:
        site = SoakSite((SoakClass("search", effect, 2.0),))
        async with running_ingress(tmp_path, site, behaviour) as ingress:
            record = await ingress.send_request()
            assert record.status == 200, ingress.process.log_tail()
            assert [record.body] == [attempt.body for attempt in ingress.attempts]

    run(test())


@pytest.mark.parametrize("effect", Effect)
def test_response_without_a_length_that_is_reset_is_not_forwarded(
    effect: Effect, tmp_path: Path
) -> None:
    """Guards against a truncated body that is forwarded as a complete response after a reset."""

    async def test() -> None:
        site = SoakSite((SoakClass("search", effect, 2.0),))
        async with running_ingress(tmp_path, site, Behaviour.UNBOUNDED_RESET) as ingress:
            record = await ingress.send_request()
            assert record.status in (429, 502)

    run(test())
