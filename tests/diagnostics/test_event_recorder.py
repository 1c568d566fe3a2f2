"""The event recorder, alone and in a running ingress."""

from __future__ import annotations

import logging
import tracemalloc
import weakref
from typing import Any

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


class Connection:
    """Stands for all that the frames of a traceback refer to."""


def raise_error(connection: Connection) -> None:
    raise ValueError(f"invalid input on {type(connection).__name__}")


def test_a_recorded_exception_does_not_keep_the_frames_of_its_traceback() -> None:
    # Guards against refused input that stays in memory with its connection (review/1).
    recorder = EventRecorder()
    connection = Connection()
    freed = weakref.ref(connection)
    try:
        raise_error(connection)
    except ValueError as error:
        value: Any = error
        recorder.record(EventKind.REQUEST_REFUSED, "400", "", "error=%s", value)
        del value, connection
    assert freed() is None
    assert str(recorder._recent[0]).endswith("error=invalid input on Connection")


def test_the_kept_events_are_small_however_long_their_subjects_and_values_are() -> None:
    # Guards against the targets of refused requests, 16 KB each, that stay in memory.
    recorder = EventRecorder()
    tracemalloc.start()
    try:
        for number in range(2 * MAX_KEPT_EVENTS):
            target = b"/%d/" % number + b"x" * 16_000
            recorder.record(EventKind.REQUEST_REFUSED, "404", target, "error=%s", "y" * 100_000)
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < 1024 * 1024


def test_events_are_found_by_a_subject_that_was_cut_short(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    recorder = EventRecorder()
    subject = b"/search/" + b"x" * 1000
    recorder.record(EventKind.REQUEST_REFUSED, "404", subject)
    recorder.log_events_of(subject)
    assert len(caplog.messages) == 1


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
