"""The bridge between sockets and gateway: failures, ids, figures, the counter."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sumacpost.model import AddToCounter, CheckHealth, CounterReplied, Send
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.load_balancing import LoadBalancer
from tests.support.configuration import SETTINGS
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, request
from tests.support.ingress import running_ingress
from tests.support.peers import OK_RESPONSE, Peer, never_respond, respond, send_bytes


def test_an_exception_fails_its_own_request_only(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            with monkeypatch.context() as patched:
                patched.setattr(LoadBalancer, "choose", lambda *_: 1 / 0)
                assert (await ingress.send(request())).status == 500
            assert (await ingress.send(request(number=2))).status == 200

    run(test())
    assert "ZeroDivisionError" in caplog.text


def test_an_action_that_cannot_be_carried_out_is_a_loud_error(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            monkeypatch.setattr(Gateway, "handle", lambda *_: [CheckHealth(7)])
            assert (await ingress.send(request())).status == 500

    run(test())
    assert "CheckHealth(backend=7)" in caplog.text


def test_an_exception_on_the_counters_answer_fails_the_held_request_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The event names no request, but the action that failed does."""

    async def test() -> None:
        async with running_ingress(
            respond(),
            counter=send_bytes(b"$1\r\n0\r\n", close=False),
        ) as ingress:

            def to_nowhere(gateway: Gateway, now: float, event: Any) -> list[Any]:
                return (
                    [Send(1, 404)]
                    if isinstance(event, CounterReplied)
                    else [AddToCounter(7, 1.0, 1000.0)]
                )

            monkeypatch.setattr(Gateway, "handle", to_nowhere)
            assert (await ingress.send(request(Request_Timeout="25.000"))).status == 500

    run(test())


def test_an_id_of_an_open_request_is_refused_and_never_sent_on() -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            first = await ingress.client()
            first.writer.write(request())
            await until(lambda: len(ingress.backends[0].requests) == 1)
            assert (await ingress.send(request())).status == 409
            assert (await ingress.send(request(Account="0000000000000008"))).status == 409
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await first.read_response()).status == 200
            ingress.backends[0].script = respond()
            assert (await ingress.send(request())).status == 200  # it is open no more
            assert len(ingress.backends[0].requests) == 2

    run(test())


@pytest.mark.parametrize(
    "quota",
    [
        "units=8.1,spread=2,first=0",
        "units=999999,spread=2,first=0",
        "units=2,spread=9,first=0",
        "units=2,spread=2,first=7",
    ],
)
def test_a_figure_that_no_request_has_moves_nothing(quota: str) -> None:
    async def test() -> None:
        async with running_ingress(
            respond(),
            settings={
                "plans": [
                    {
                        "name": "plus",
                        "per_second": 0.01,
                        "peak_units": 64.0,
                        "price": 1,
                        "over_worth": 0,
                        "excess_cost": 0,
                    }
                ]
            },
        ) as ingress:
            gateway = ingress.gateway
            before = gateway.estimate.mean_work
            assert (await ingress.send(request(Quota_Info=quota))).status == 400
            assert gateway.estimate.mean_work == before
            assert not gateway.customers.by_number

    run(test())


@pytest.mark.parametrize(
    ("billed", "believed"),
    [
        ("5", 5.0),
        ("8", 8.0),
        ("9", 2.0),
        ("999999", 2.0),
        ("nan", 2.0),
        ("-3", 2.0),
        ("5\r\nBilled-Units: 6", 2.0),
        ("1_0", 2.0),
        ("", 2.0),
    ],
)
def test_billed_units_beyond_what_a_request_has_are_not_believed(
    billed: str, believed: float
) -> None:
    async def test() -> None:
        async with running_ingress(respond(head=f"Billed-Units: {billed}\r\n".encode())) as ingress:
            assert (await ingress.send(request())).status == 200
            (customer,) = ingress.gateway.customers.by_number.values()
            assert customer.return_queue.unit_sum == believed

    run(test())


def test_without_any_backend_the_ingress_is_not_ready() -> None:
    async def test() -> None:
        async with running_ingress() as ingress:
            assert (await ingress.send(HEALTH_REQUEST)).status == 503

    run(test())


def test_a_reply_of_the_counter_is_waited_for_past_the_stated_time_out() -> None:
    """A fleet's calls stand in one line; taken for lost, a late reply let through what is beyond the quota."""

    async def test() -> None:
        stated = SETTINGS["extra"] | {"count_wait": 500.0}

        async def late(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.6)
            writer.write(b"$4\r\n1000\r\n")  # others have used the whole quota

        async with running_ingress(respond(), counter=late, settings={"extra": stated}) as ingress:
            status, head, _ = await ingress.send(
                request(
                    Plan="basis", Request_Timeout="25.000", Quota_Info="units=3,spread=3,first=0"
                )
            )
            assert status == 429
            assert b"Retry-After" in head
            assert len(ingress.counter.requests) == 1
            assert not ingress.backends[0].requests

    run(test())
