"""The ingress, which connects sockets and gateway."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.model import Action, AddToCounter, CheckHealth, CounterReplied, Event, Send
from sumacpost.policy.gateway import Gateway
from sumacpost.policy.load_balancing import LoadBalancer
from sumacpost.policy.quota import CustomerQuota
from sumacpost.policy.quota_sync import NAME_TTL_MS
from tests.support.configuration import SETTINGS
from tests.support.event_loop import run
from tests.support.http_client import HEALTH_REQUEST, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import OK_RESPONSE, Peer, never_respond, respond, send_bytes


def test_exception_fails_only_its_own_request(
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


def test_unsupported_action_is_logged_as_an_error(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            monkeypatch.setattr(Gateway, "handle", lambda *_: [CheckHealth(7)])
            assert (await ingress.send(request())).status == 500

    run(test())
    assert "CheckHealth(backend=7)" in caplog.text


def test_exception_on_a_counter_reply_fails_the_waiting_request_immediately(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The event refers to no request, but the action that fails does."""

    def send_to_unknown_backend(gateway: Gateway, now: float, event: Event) -> list[Action]:
        if isinstance(event, CounterReplied):
            return [Send(1, 404)]
        return [AddToCounter(7, 1.0, 1000.0)]

    async def test() -> None:
        reply = send_bytes(b"$1\r\n0\r\n", close=False)
        async with running_ingress(respond(), counter=reply) as ingress:
            monkeypatch.setattr(Gateway, "handle", send_to_unknown_backend)
            assert (await ingress.send(request(Request_Timeout="25.000"))).status == 500

    run(test())


def test_duplicate_id_of_a_pending_request_is_rejected_and_not_forwarded() -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            (backend,) = ingress.backends
            first = await ingress.client()
            first.write(request())
            await ingress.wait_for_requests(1)
            assert (await ingress.send(request())).status == 409
            assert (await ingress.send(request(Account="0000000000000008"))).status == 409
            backend.writers[0].write(OK_RESPONSE)
            assert (await first.read_response()).status == 200
            backend.script = respond()
            # The first request is no longer pending, so its id may be used again.
            assert (await ingress.send(request())).status == 200
            assert len(backend.requests) == 2

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
def test_invalid_quota_info_leaves_estimates_unchanged(quota: str) -> None:
    plan = {
        "name": "plus",
        "per_second": 0.01,
        "peak_units": 64.0,
        "price": 1,
        "over_worth": 0,
        "excess_cost": 0,
    }

    async def test() -> None:
        async with running_ingress(respond(), settings={"plans": [plan]}) as ingress:
            before = ingress.gateway.estimate.mean_work_ms
            assert (await ingress.send(request(Quota_Info=quota))).status == 400
            assert ingress.gateway.estimate.mean_work_ms == before
            assert not ingress.gateway.customers.by_number

    run(test())


@pytest.mark.parametrize(
    ("billed_units", "counted_units"),
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
def test_billed_units_are_used_only_up_to_the_largest_request(
    billed_units: str, counted_units: float
) -> None:
    async def test() -> None:
        head = f"Billed-Units: {billed_units}\r\n".encode()
        async with running_ingress(respond(head=head)) as ingress:
            assert (await ingress.send(request())).status == 200
            (customer,) = ingress.gateway.customers.by_number.values()
            assert customer.return_queue.unit_sum == counted_units

    run(test())


def test_ingress_without_any_backend_is_not_ready() -> None:
    async def test() -> None:
        async with running_ingress() as ingress:
            assert (await ingress.send(HEALTH_REQUEST)).status == 503

    run(test())


def customer_with_lasting_name(ingress: RunningIngress) -> int:
    """Return the number of a customer whose name in the counter stays the same during a test.

    Names change once a minute, at a time of each customer, and a reply for the name before is
    ignored: see test_replies_for_the_previous_name_and_without_a_call_are_ignored.
    """
    now = ingress.instance._clock.now()

    def age_ms(number: int) -> float:
        customer = CustomerQuota(ingress.gateway.settings.plans[0], 1, now, number)
        return ingress.gateway.quota_sync.current_name(now, customer).age_ms

    return next(number for number in range(1, 100) if age_ms(number) < NAME_TTL_MS / 2)


def test_counter_reply_is_awaited_beyond_the_configured_timeout() -> None:
    """Calls that time out too early must not admit requests over quota.

    The calls of a whole fleet queue at the counter, so replies may arrive after the configured
    timeout.
    """

    async def report_exhausted_quota_late(
        peer: Peer, call: bytes, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.6)
        writer.write(b"$4\r\n1000\r\n")  # others have used the whole quota

    async def test() -> None:
        settings = {"extra": SETTINGS["extra"] | {"count_wait": 500.0}}
        async with running_ingress(
            respond(), counter=report_exhausted_quota_late, settings=settings
        ) as ingress:
            response = await ingress.send(
                request(
                    Plan="basis",
                    Account=f"{customer_with_lasting_name(ingress):016x}",
                    Request_Timeout="25.000",
                    Quota_Info="units=3,spread=3,first=0",
                )
            )
            assert response.status == 429
            assert b"Retry-After" in response.head
            assert len(ingress.counter.requests) == 1
            assert ingress.requests_received == 0

    run(test())
