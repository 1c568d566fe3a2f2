"""The event recorder, alone and in a running ingress."""

from __future__ import annotations

import logging

import pytest

from sumacpost.diagnostics.event_recorder import MAX_KEPT_EVENTS, EventKind, EventRecorder
from tests.support.event_loop import run
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import respond, send_bytes


def test_the_latest_events_are_kept_and_all_are_counted() -> None:
    recorder = EventRecorder()
    for number in range(MAX_KEPT_EVENTS + 5):
        recorder.record(EventKind.REQUEST_ACCEPTED, "serving", b"%d" % number)
    assert recorder.counts[EventKind.REQUEST_ACCEPTED, "serving"] == MAX_KEPT_EVENTS + 5
    assert next(event.subject for event in recorder._recent) == b"5"


def test_events_are_logged_immediately_only_if_live_logging_is_on(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    recorder = EventRecorder()
    recorder.record(EventKind.ATTEMPT_ENDED, "reset", b"a1", "attempt=%d", 0)
    assert not caplog.messages
    recorder.logs_live = True
    recorder.record(EventKind.ATTEMPT_ENDED, "ok", b"a1", "attempt=%d", 1)
    assert caplog.messages == ["attempt ended: subject=a1 reason=ok attempt=1"]
    recorder.log_events_of(b"a1")
    assert len(caplog.messages) == 3


def test_the_transitions_of_a_request_are_recorded_with_their_reasons(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def test() -> None:
        async with running_ingress(
            send_bytes(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), respond()
        ) as ingress:
            ingress.backends[1].script = ingress.backends[0].script
            assert (await ingress.send(request("ledger-read"))).status == 429
            counts = ingress.instance.recorder.counts
            assert counts[EventKind.REQUEST_ACCEPTED, "serving"] == 1
            assert counts[EventKind.ATTEMPT_STARTED, "first"] == 1
            assert counts[EventKind.ATTEMPT_STARTED, "retry"] == 1
            assert counts[EventKind.ATTEMPT_ENDED, "error"] == 2
            assert counts[EventKind.REQUEST_CONCLUDED, "no_backend"] == 1
            ingress.service.log_recent_events()

    run(test())
    text = "\n".join(caplog.messages)
    assert "request concluded: subject=0000000000000001 reason=no_backend status=429" in text
    assert "event counts: " in text
