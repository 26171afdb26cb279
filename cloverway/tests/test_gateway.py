from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from cloverway.config.published import Published
from cloverway.errors import (
    EndpointLostError,
    EndpointUnreachableError,
    Kind,
    PeerUnreachableError,
    Ran,
    RequestError,
)
from cloverway.gateway import GatewayDependencies, RequestGateway, RequestRecord
from cloverway.membership.view import View, ViewHolder
from cloverway.messages import Admitted, LocalRoute, Outcome, Refused, RemoteRoute, Request, Verdict
from cloverway.once.claims import HeldGrant, Replayed
from cloverway.replies import Reply

PUBLISHED = Published.from_documents(
    {
        "revision": 1,
        "organisation": {"name": "test"},
        "regions": {"north": {}, "south": {}},
        "domains": {"north-a": {"region": "north"}, "south-a": {"region": "south"}},
        "profiles": {
            "lookup": {"service": "stock", "idempotent": True},
            "allocate": {"service": "stock"},
        },
        "teams": {
            "free": {"home": "north", "profiles": ["lookup", "allocate"]},
            "bound": {"home": "south", "bound": True, "profiles": ["lookup"]},
        },
    }
)
LOCAL_ROUTE = LocalRoute("stock-1", "http://127.0.0.1:1")
OTHER_LOCAL_ROUTE = LocalRoute("stock-2", "http://127.0.0.1:2")
REMOTE_ROUTE = RemoteRoute("south-a", "s1", "127.0.0.1:3")
DONE = Reply(200, "application/json", b"{}")


class FakeDispatcher:
    def __init__(self, *verdicts: Verdict) -> None:
        self.verdicts = list(verdicts)
        self.ended: list[tuple[int, Outcome, bool]] = []
        self.pauses: list[float | None] = []

    def submit(self, request: Request) -> Verdict:
        return self.verdicts.pop(0)

    def report_started(self, ticket: int, at: float) -> None:
        pass

    def report_finished(
        self,
        ticket: int,
        outcome: Outcome,
        at: float,
        retry: bool,
        requested_pause_s: float | None = None,
    ) -> Verdict | None:
        self.ended.append((ticket, outcome, retry))
        self.pauses.append(requested_pause_s)
        return self.verdicts.pop(0) if retry else None


class FakeEndpoints:
    """Returns or raises the next of its answers after the check, and counts sent requests."""

    def __init__(self, *answers: Reply | RequestError) -> None:
        self.answers = list(answers)
        self.sent = 0
        self.before_check: Callable[[], None] = lambda: None

    def send(
        self, url: str, request: Request, *, check_before_send: Callable[[], None], **_: Any
    ) -> Reply:
        self.before_check()
        check_before_send()
        self.sent += 1
        return self._answer()

    def run(self, host: str, address: str, request: Request, **_: Any) -> Reply:
        self.sent += 1
        return self._answer()

    def _answer(self) -> Reply:
        answer = self.answers.pop(0)
        if isinstance(answer, RequestError):
            raise answer
        return answer


class FakeClaims:
    def __init__(self, answer: HeldGrant | Replayed) -> None:
        self.answer = answer
        self.settled: list[tuple[Outcome, Reply | None]] = []

    def claim(self, request: Request) -> HeldGrant | Replayed:
        return self.answer

    def settle(self, grant: HeldGrant, outcome: Outcome, reply: Reply | None = None) -> None:
        self.settled.append((outcome, reply))


class FakeStream:
    def __init__(self, *pieces: bytes, error: RequestError | None = None) -> None:
        self.pieces = pieces
        self.error = error
        self.closed = False

    def __iter__(self) -> Iterator[bytes]:
        yield from self.pieces
        if self.error is not None:
            raise self.error

    def relay_to(self, caller: socket.socket) -> None:
        for piece in self:
            caller.sendall(piece)

    def close(self) -> None:
        self.closed = True


class GatewayHarness:
    def __init__(
        self, dispatcher: FakeDispatcher, endpoints: FakeEndpoints, claims: FakeClaims
    ) -> None:
        self.now = 100.0
        self.records: list[RequestRecord] = []
        view = View("n1", "i1", "north-a", "north", published=PUBLISHED)
        self.holder = ViewHolder(view)
        self.gateway = RequestGateway(
            GatewayDependencies(self.holder, dispatcher, endpoints, endpoints, claims),
            lambda: self.now,
            self.records.append,
            max_recorded_bytes=64,
        )


def make_request(profile: str = "lookup", **changes: Any) -> Request:
    request = Request(
        id="r1",
        team="free",
        profile=profile,
        path="/stock",
        method="POST",
        body=b"{}",
        content_type="application/json",
        arrived_at=100.0,
        deadline=110.0,
    )
    return request._replace(**changes)


def make_grant(start_by: float) -> HeldGrant:
    return HeldGrant("k", "free", "allocate", "n1/i1/1/r1", "n1", start_by)


def make_harness(
    *answers: Reply | RequestError,
    verdicts: tuple[Verdict, ...] = (Admitted(1, LOCAL_ROUTE), Admitted(2, OTHER_LOCAL_ROUTE)),
    grant: HeldGrant | Replayed | None = None,
) -> tuple[GatewayHarness, FakeDispatcher, FakeEndpoints, FakeClaims]:
    dispatcher = FakeDispatcher(*verdicts)
    endpoints = FakeEndpoints(*answers)
    claims = FakeClaims(grant if grant is not None else make_grant(1000.0))
    return GatewayHarness(dispatcher, endpoints, claims), dispatcher, endpoints, claims


def test_complete_answer() -> None:
    harness, dispatcher, _, _ = make_harness(DONE)
    reply = harness.gateway.run(make_request())
    assert reply.body == b"{}"
    assert ("Cloverway-Endpoint", "stock-1") in reply.headers
    assert dispatcher.ended == [(1, Outcome.DONE, False)]
    assert harness.records[0].ran is Ran.YES


def test_a_requested_pause_is_reported_to_the_dispatcher() -> None:
    """Guard against a requested pause that reaches one caller but not the endpoint selection."""
    harness, dispatcher, *_ = make_harness(
        RequestError(Kind.ENDPOINT_REFUSED, ran=Ran.NO, retry_after=7.0),
        verdicts=(Admitted(1, LOCAL_ROUTE), Refused(Kind.NO_CAPACITY, retry_after=1.0)),
    )
    with pytest.raises(RequestError):
        harness.gateway.run(make_request())
    assert dispatcher.pauses == [7.0]


def test_a_refused_retry_after_a_failed_attempt_is_not_reported_as_not_run() -> None:
    """The first attempt fails after its first byte was sent; the retry finds no endpoint.

    The dispatcher refuses the retry with `ran: no`, which is true of the retry only. The caller
    must not get it for a request that the first endpoint may have run.
    """
    harness, *_ = make_harness(
        RequestError(Kind.ENDPOINT_FAILED),
        verdicts=(Admitted(1, LOCAL_ROUTE), Refused(Kind.NO_CAPACITY, retry_after=1.0)),
    )
    with pytest.raises(RequestError) as caught:
        harness.gateway.run(make_request())
    assert caught.value.ran is Ran.UNKNOWN


def test_ran_covers_all_attempts() -> None:
    """The first attempt may have run, the second certainly did not.

    The last error has `ran: no`. The answer must cover both attempts, so it has `ran: unknown`.
    """
    harness, *_ = make_harness(
        RequestError(Kind.ENDPOINT_FAILED),
        RequestError(Kind.DEADLINE, ran=Ran.NO),
    )
    with pytest.raises(RequestError) as caught:
        harness.gateway.run(make_request())
    assert caught.value.ran is Ran.UNKNOWN


def test_a_non_idempotent_request_is_not_retried_after_a_failure() -> None:
    """The endpoint fails after the first byte was sent, while another endpoint is free.

    A second attempt could run an allocation twice. The caller and the issuer of the key get an
    unknown outcome.
    """
    harness, dispatcher, endpoints, claims = make_harness(RequestError(Kind.ENDPOINT_FAILED), DONE)
    with pytest.raises(RequestError) as caught:
        harness.gateway.run(make_request("allocate", key="k"))
    assert caught.value.ran is Ran.UNKNOWN
    assert endpoints.sent == 1
    assert dispatcher.ended == [(1, Outcome.FAILED, False)]
    assert claims.settled == [(Outcome.FAILED, None)]


def test_a_lost_connection_is_distinguished_from_a_failure() -> None:
    """The dispatcher counts endpoints that crash during a request; an answer 500 is not a crash."""
    lost = EndpointLostError(Kind.ENDPOINT_FAILED)
    harness, dispatcher, _, claims = make_harness(lost, DONE)
    with pytest.raises(RequestError):
        harness.gateway.run(make_request("allocate", key="k"))
    assert dispatcher.ended == [(1, Outcome.LOST, False)]
    assert claims.settled == [(Outcome.FAILED, None)]
    stream = FakeStream(b"a", error=EndpointLostError(Kind.TRUNCATED))
    harness, dispatcher, _, _ = make_harness(Reply(200, "text/event-stream", stream=stream))
    reply = harness.gateway.run(make_request())
    assert reply.stream is not None
    with pytest.raises(RequestError):
        list(reply.stream)
    assert dispatcher.ended == [(1, Outcome.LOST, False)]


def test_a_request_that_was_not_started_is_retried_for_any_profile() -> None:
    harness, _, endpoints, claims = make_harness(
        RequestError(Kind.ENDPOINT_REFUSED, ran=Ran.NO),
        DONE,
    )
    reply = harness.gateway.run(make_request("allocate", key="k"))
    assert endpoints.sent == 2
    assert claims.settled == [(Outcome.DONE, reply)]


def test_an_unreachable_host_is_not_reported_as_a_refusal_of_its_failure_domain(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against refusing the requests of a whole region because one of its hosts is silent.

    Nothing was sent, so the request may go to another host there.
    """
    caplog.set_level("INFO")
    harness, dispatcher, _, _ = make_harness(
        PeerUnreachableError("the peer did not respond in time"),
        DONE,
        verdicts=(Admitted(1, REMOTE_ROUTE), Admitted(2, REMOTE_ROUTE)),
    )
    assert harness.gateway.run(make_request(team="bound")).status == 200
    assert dispatcher.ended[0] == (1, Outcome.NOT_SENT, True)
    (line,) = [vars(record) for record in caplog.records if record.msg == "attempt failed"]
    assert (line["request_id"], line["to"]) == ("r1", "south-a/s1")
    assert (line["outcome"], line["why"]) == ("not_sent", "the peer did not respond in time")
    assert line["is_retried"]


def test_a_request_that_an_endpoint_did_not_accept_counts_as_not_sent() -> None:
    """Guards against limiting retries of what no endpoint has received, as if it were load."""
    harness, dispatcher, _, _ = make_harness(
        EndpointUnreachableError("connecting to the endpoint failed"),
        DONE,
        verdicts=(Admitted(1, LOCAL_ROUTE), Admitted(2, OTHER_LOCAL_ROUTE)),
    )
    assert harness.gateway.run(make_request()).status == 200
    assert dispatcher.ended[0] == (1, Outcome.NOT_SENT, True)


@pytest.mark.parametrize("kind", [Kind.ENDPOINT_REFUSED, Kind.NO_CAPACITY])
def test_an_idempotent_request_is_retried_after_a_refusal_that_leaves_open_whether_it_ran(
    kind: Kind,
) -> None:
    """Guards against refusing a request that is safe to repeat.

    Its first connection went silent after it was sent, and the second one was refused.
    """
    harness, dispatcher, _, _ = make_harness(
        RequestError(kind, ran=Ran.UNKNOWN), DONE, verdicts=(Admitted(1, REMOTE_ROUTE),) * 2
    )
    assert harness.gateway.run(make_request(team="bound")).status == 200
    assert dispatcher.ended[0] == (1, Outcome.FAILED, True)


def test_a_request_resumed_after_its_deadline_is_not_sent() -> None:
    """The process is paused between the route and the send, and resumes after the deadline.

    The caller has timed out by then and may have retried elsewhere. Nothing was sent, so the key
    is settled as not run, and `ran: no` is true.
    """
    harness, _, endpoints, claims = make_harness(DONE)
    endpoints.before_check = lambda: setattr(harness, "now", 111.0)
    with pytest.raises(RequestError) as caught:
        harness.gateway.run(make_request("allocate", key="k"))
    assert caught.value.kind is Kind.DEADLINE
    assert (endpoints.sent, caught.value.ran) == (0, Ran.NO)
    assert claims.settled == [(Outcome.NOT_SENT, None)]


def test_a_grant_that_expired_during_a_pause_is_not_used() -> None:
    """The host is paused after the grant until the grant has expired at the issuer.

    The deadline of the request has not passed yet. Without the second check the work would run
    although the issuer already answers `unknown` for it.
    """
    harness, _, endpoints, _ = make_harness(DONE, grant=make_grant(104.0))
    endpoints.before_check = lambda: setattr(harness, "now", 105.0)
    with pytest.raises(RequestError):
        harness.gateway.run(make_request("allocate", key="k"))
    assert endpoints.sent == 0


def test_a_repeat_gets_the_recorded_answer_and_runs_nothing() -> None:
    harness, dispatcher, endpoints, _ = make_harness(grant=Replayed(DONE))
    assert harness.gateway.run(make_request("allocate", key="k")) == DONE
    assert endpoints.sent == 0
    assert len(dispatcher.verdicts) == 2


@pytest.mark.parametrize("published", [None, PUBLISHED._replace(profiles={})])
def test_a_repeat_refused_before_its_key_lookup_is_not_reported_as_not_run(
    published: Published | None,
) -> None:
    """The answer of an allocation was lost; its repeat reaches a host that can't look up the key.

    That host has no configuration yet, or the profile was withdrawn. With `ran: no`, the caller
    would send the allocation again with another key, and it would run twice.
    """
    harness, _, endpoints, _ = make_harness(DONE)
    harness.holder.current = harness.holder.current._replace(published=published)
    with pytest.raises(RequestError) as caught:
        harness.gateway.run(make_request("allocate", key="k"))
    assert (caught.value.ran, endpoints.sent) == (Ran.UNKNOWN, 0)


def test_a_bound_team_is_refused_where_it_must_not_run() -> None:
    """A host of region north gets a forwarded request of a team bound to south.

    The entry host may have an older configuration. The receiving host checks again, so that
    nothing is sent to an endpoint of north.
    """
    harness, dispatcher, endpoints, _ = make_harness(DONE)
    with pytest.raises(RequestError) as caught:
        harness.gateway.run(make_request(team="bound", is_forwarded=True))
    assert caught.value.kind is Kind.RESIDENCY
    assert caught.value.ran is Ran.NO
    assert endpoints.sent == 0
    assert len(dispatcher.verdicts) == 2


def test_a_bound_team_is_forwarded_to_its_home() -> None:
    """A host of region north gets a call of a team bound to south directly from the caller.

    The call may not run in north, but the host may forward it to south.
    """
    harness, _, endpoints, _ = make_harness(DONE, verdicts=(Admitted(1, REMOTE_ROUTE),))
    assert harness.gateway.run(make_request(team="bound")).body == DONE.body
    assert endpoints.sent == 1


def test_a_wrong_route_of_a_bound_team_is_not_used() -> None:
    """The dispatcher routes a call of a team bound to south to an endpoint of north.

    A configuration change between the route and the send has the same effect. The check just
    before the first byte refuses the call, so that no data reach an endpoint of north.
    """
    harness, _, endpoints, _ = make_harness(DONE)
    with pytest.raises(RequestError) as caught:
        harness.gateway.run(make_request(team="bound"))
    assert (caught.value.kind, endpoints.sent) == (Kind.RESIDENCY, 0)


def test_a_forwarded_request_is_not_forwarded_again() -> None:
    """The dispatcher wrongly routes a forwarded request to another domain.

    Two hosts that each see free capacity at the other would forward it back and forth. The
    assertion ends the request instead and releases the ticket.
    """
    harness, dispatcher, endpoints, _ = make_harness(DONE, verdicts=(Admitted(1, REMOTE_ROUTE),))
    with pytest.raises(RequestError) as caught:
        harness.gateway.run(make_request(is_forwarded=True))
    assert dispatcher.ended == [(1, Outcome.FAILED, False)]
    assert caught.value.kind is Kind.INTERNAL
    assert endpoints.sent == 0


def test_a_truncated_stream_is_reported_once() -> None:
    error = RequestError(Kind.TRUNCATED)
    harness, dispatcher, _, _ = make_harness(
        Reply(200, "text/event-stream", stream=FakeStream(b"a", error=error))
    )
    reply = harness.gateway.run(make_request())
    assert reply.stream is not None
    with pytest.raises(RequestError):
        list(reply.stream)
    reply.stream.close()
    assert dispatcher.ended == [(1, Outcome.FAILED, False)]
    assert [record.kind for record in harness.records] == [Kind.TRUNCATED]


def test_a_stream_with_a_key_is_recorded_after_the_caller_disconnected() -> None:
    """The caller of an allocation disconnects after the first piece, then repeats with its key.

    The run continues to its end and its answer is recorded, so that the repeat gets the answer of
    the only run.
    """
    harness, _, _, claims = make_harness(
        Reply(200, "text/event-stream", stream=FakeStream(b"one", b"two"))
    )
    reply = harness.gateway.run(make_request("allocate", key="k"))
    assert reply.stream is not None
    assert next(iter(reply.stream)) == b"one"
    reply.stream.close()
    outcome, recorded = claims.settled[0]
    assert outcome is Outcome.DONE
    assert recorded is not None and recorded.body == b"onetwo"
