"""Which requests go out again."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sumacpost.model import Fail, Outcome, Reject, Send
from tests.support.builders import START, gateway
from tests.support.builders import ended as attempt_ended
from tests.support.builders import request as arrival


@pytest.mark.parametrize(("dial_ms", "again"), [(250.0, True), (1400.0, False)])
def test_a_keyed_request_is_not_repeated_where_its_connection_may_come_up_past_the_window(
    dial_ms: float, again: bool
) -> None:
    """The window is 3 s from the first send, and 1.6 s are gone: a repeat may take the dial time-out to arrive."""
    g = gateway(1, 2, 3, connect_timeout_ms=dial_ms)
    (send,) = (a for a in g.handle(START, arrival(1, cls=2)) if isinstance(a, Send))
    actions = g.handle(START + 1600, attempt_ended(1, send.backend, Outcome.RESET, took=1600.0))
    assert any(isinstance(a, Send) for a in actions) is again
    assert any(isinstance(a, Reject) for a in actions) is not again


@pytest.mark.parametrize("outcome", list(Outcome))
def test_an_unsafe_request_goes_out_again_only_where_it_surely_never_ran(outcome: Outcome) -> None:
    g = gateway(1, 2, 3, hedging=True)
    send, *timers = g.handle(START, arrival(1, cls=3))
    assert isinstance(send, Send) and not timers  # none for a second copy
    actions = g.handle(
        START + 5,
        replace(attempt_ended(1, send.backend, outcome, took=5.0), concluded=outcome is Outcome.OK),
    )
    assert any(isinstance(a, Send) for a in actions) is outcome.never_ran
    assert any(isinstance(a, Fail) for a in actions) is (
        outcome is not Outcome.OK and not outcome.never_ran
    )
