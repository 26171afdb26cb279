"""Run one request: claim its idempotency key, get a route, send, retry where safe, settle the key.

The guarantees depend on the order: the key is claimed before a route is requested, and `ran` in
the answer covers all attempts.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple, Protocol

from cloverway.config.published import Published
from cloverway.config.schema import Profile
from cloverway.dispatch import residency
from cloverway.errors import (
    EndpointLostError,
    EndpointUnreachableError,
    Kind,
    PeerUnreachableError,
    Ran,
    RequestError,
    combine_ran,
)
from cloverway.membership.view import ViewHolder
from cloverway.messages import Admitted, LocalRoute, Outcome, Refused, RemoteRoute, Request, Verdict
from cloverway.once.claims import HeldGrant, Replayed
from cloverway.replies import Reply
from cloverway.upstream.streams import ObservedStream, RecordedStream

log = logging.getLogger(__name__)

PreSendCheck = Callable[[], None]

SETTLEMENT_OUTCOMES = {Ran.NO: Outcome.NOT_SENT, Ran.UNKNOWN: Outcome.FAILED, Ran.YES: Outcome.DONE}
"""The outcome that is reported to the issuer of a key, by what is known of the run."""

NOT_STARTED_KINDS = frozenset(
    {Kind.ENDPOINT_REFUSED, Kind.LEAVING, Kind.STARTING, Kind.NO_CAPACITY}
)
"""Refusals of a request that was not started, which may be retried elsewhere for any profile."""

IDEMPOTENT_RETRY_KINDS = NOT_STARTED_KINDS | {Kind.ENDPOINT_FAILED, Kind.TRUNCATED}
"""Failures of a request that may have been started; only an idempotent one is retried. A refusal is
among them if an earlier connection of the same attempt went silent."""


class RequestRecord(NamedTuple):
    """The data about a finished request that are logged and counted in metrics."""

    request: Request
    endpoint: str = ""
    attempts: int = 0
    first_byte_s: float | None = None
    queue_s: float = 0.0
    total_s: float = 0.0
    kind: Kind | None = None
    ran: Ran = Ran.YES


class KeyClaims(Protocol):
    """Claims the right to use an idempotency key from the host that issued it."""

    def claim(self, request: Request) -> HeldGrant | Replayed:
        """Return the right, or the recorded answer of the first use; raise RequestError."""
        ...

    def settle(self, grant: HeldGrant, outcome: Outcome, reply: Reply | None = None) -> None:
        """Report to the issuer how the use ended, without waiting."""
        ...


class RequestDispatcher(Protocol):
    """The part of the dispatcher that the gateway uses."""

    def submit(self, request: Request) -> Verdict:
        """Wait for a route or a refusal, and return it."""
        ...

    def report_started(self, ticket: int, at: float) -> None:
        """Report that the first byte of the answer arrived."""
        ...

    def report_finished(
        self,
        ticket: int,
        outcome: Outcome,
        at: float,
        retry: bool = False,
        requested_pause_s: float | None = None,
    ) -> Verdict | None:
        """Report how an attempt ended; with `retry`, wait for another route or a refusal.

        `requested_pause_s` is how long the endpoint asked this host to send no requests, if it did.
        """
        ...


class Endpoints(Protocol):
    """Sends requests to endpoints of this failure domain."""

    def send(
        self,
        url: str,
        request: Request,
        *,
        idempotent: bool,
        max_gap_s: float,
        priority: int,
        check_before_send: PreSendCheck,
    ) -> Reply:
        """Send a request; return once the header of the answer, or all of it, has arrived.

        `max_gap_s` is the longest allowed inter-token gap. `check_before_send` is called just
        before the first byte is sent; it raises if the request must not be sent any more. Raise
        RequestError with `ran` set.
        """
        ...


class Peers(Protocol):
    """Forwards requests to hosts of other failure domains."""

    def run(
        self,
        host: str,
        address: str,
        request: Request,
        *,
        idempotent: bool = False,
        start_by: float | None = None,
    ) -> Reply:
        """Forward a request and return the answer; raise RequestError with `ran` set."""
        ...


class GatewayDependencies(NamedTuple):
    """The parts of the daemon that the gateway uses."""

    holder: ViewHolder
    dispatcher: RequestDispatcher
    endpoints: Endpoints
    peers: Peers
    claims: KeyClaims


class RequestGateway:
    """Runs authenticated requests of callers and of other hosts."""

    def __init__(
        self,
        dependencies: GatewayDependencies,
        clock: Callable[[], float],
        observe: Callable[[RequestRecord], None],
        max_recorded_bytes: int,
    ) -> None:
        self.dependencies = dependencies
        self.clock = clock
        self.observe = observe
        self.max_recorded_bytes = max_recorded_bytes

    def run(self, request: Request) -> Reply:
        """Run a request; return once the header of its answer, or all of it, has arrived.

        Raise RequestError, whose `ran` covers all attempts.
        """
        request_run = _RequestRun(self, request)
        try:
            return request_run.run()
        except RequestError as error:
            request_run.end(error)
            raise
        except Exception as error:
            log.exception("a request failed inside the gateway", extra={"request_id": request.id})
            request_run.end(RequestError(Kind.INTERNAL))
            raise RequestError(Kind.INTERNAL) from error


class _RequestRun:
    """The state of one request while a worker thread runs it."""

    def __init__(self, gateway: RequestGateway, request: Request) -> None:
        self.gateway = gateway
        self.request = request
        self.grant: HeldGrant | None = None
        # An earlier request with the same key may have run. Until the issuer of the key has
        # answered, "no" could make the caller do the work again under another key.
        self.ran = Ran.UNKNOWN if request.key and not request.is_forwarded else Ran.NO
        self.record = RequestRecord(request)
        self.ended = False

    def run(self) -> Reply:
        published = self._get_published()
        if self.request.is_forwarded:
            residency.check_region_allowed(published, self.request, self._get_region())
        profile = published.profiles.get(self.request.profile)
        if profile is None:
            raise RequestError(Kind.FORBIDDEN, "the profile is not published")
        self.ran = Ran.NO
        if self.request.key and not profile.idempotent and not self.request.is_forwarded:
            claimed = self.gateway.dependencies.claims.claim(self.request)
            if isinstance(claimed, Replayed):
                self.end(None)
                return claimed.reply
            self.grant = claimed
        verdict: Verdict | None = self.gateway.dependencies.dispatcher.submit(self.request)
        while True:
            admitted = self._accept(verdict)
            try:
                reply = self._attempt(admitted, profile)
            except RequestError as error:
                verdict = self._finish_failed(admitted, profile, error)
                if verdict is None:
                    raise
            except Exception as error:
                log.exception("an attempt failed inside the gateway")
                self._finish_failed(admitted, profile, RequestError(Kind.INTERNAL))
                raise RequestError(Kind.INTERNAL) from error
            else:
                return self._finish_started(admitted, reply)

    def end(self, error: RequestError | None, reply: Reply | None = None) -> None:
        """Settle the key and report the request, once."""
        if self.ended:
            return
        self.ended = True
        if error is not None:
            error.ran = combine_ran(self.ran, error.ran)
        ran = error.ran if error is not None else Ran.YES
        if self.grant is not None:
            self.gateway.dependencies.claims.settle(self.grant, SETTLEMENT_OUTCOMES[ran], reply)
        total_s = self.gateway.clock() - self.request.arrived_at
        kind = error.kind if error is not None else None
        self.gateway.observe(self.record._replace(total_s=total_s, kind=kind, ran=ran))

    def _get_published(self) -> Published:
        view = self.gateway.dependencies.holder.current
        if view.published is None:
            raise RequestError(Kind.STARTING, retry_after=1.0)
        return view.published

    def _get_region(self) -> str:
        return self.gateway.dependencies.holder.current.region

    def _accept(self, verdict: Verdict | None) -> Admitted:
        assert verdict is not None
        if isinstance(verdict, Refused):
            raise verdict.as_error()
        queue_s = self.gateway.clock() - self.request.arrived_at
        attempts = self.record.attempts + 1
        if self.record.attempts == 0:
            self.record = self.record._replace(queue_s=queue_s)
        route = verdict.route
        endpoint = (
            route.endpoint if isinstance(route, LocalRoute) else f"{route.domain}/{route.host}"
        )
        self.record = self.record._replace(attempts=attempts, endpoint=endpoint)
        return verdict

    def _attempt(self, admitted: Admitted, profile: Profile) -> Reply:
        gateway = self.gateway
        route = admitted.route
        if isinstance(route, RemoteRoute):
            assert not self.request.is_forwarded, "a passed-on request is never passed on again"
            self._check_before_send(route.domain)
            return gateway.dependencies.peers.run(
                route.host,
                route.address,
                self.request,
                idempotent=profile.idempotent,
                start_by=self.grant.start_by if self.grant is not None else None,
            )
        return gateway.dependencies.endpoints.send(
            route.url,
            self.request,
            idempotent=profile.idempotent,
            max_gap_s=profile.gap_ms / 1000,
            priority=int(profile.priority),
            check_before_send=lambda: self._check_before_send(
                gateway.dependencies.holder.current.domain
            ),
        )

    def _check_before_send(self, domain: str) -> None:
        """Raise RequestError if the request may no longer run; called before the first byte.

        A process that was paused may resume here after the deadline, or after its right to use
        the key has expired. Without the check the work would run after the caller was told
        otherwise. Nothing has been sent yet, so `ran: no` is true.
        """
        now = self.gateway.clock()
        if now >= self.request.deadline:
            raise RequestError(Kind.DEADLINE, "the deadline passed before it was sent")
        if self.grant is not None:
            self.grant.check(now)
        published = self._get_published()
        residency.check_region_allowed(published, self.request, published.region_of(domain))

    def _finish_failed(
        self, admitted: Admitted, profile: Profile, error: RequestError
    ) -> Verdict | None:
        """Report a failed attempt; return another route, or None if the error is final."""
        self.ran = combine_ran(self.ran, error.ran)
        not_started = error.ran is Ran.NO and error.kind in NOT_STARTED_KINDS
        may_rerun = profile.idempotent and error.kind in IDEMPOTENT_RETRY_KINDS
        outcome = _classify_failure(error)
        now = self.gateway.clock()
        retry = (not_started or may_rerun) and now < self.request.deadline
        requested_pause_s = error.retry_after if error.kind is Kind.ENDPOINT_REFUSED else None
        verdict = self.gateway.dependencies.dispatcher.report_finished(
            admitted.ticket, outcome, now, retry, requested_pause_s
        )
        log.info(
            "attempt failed",
            extra={
                "request_id": self.request.id,
                "to": self.record.endpoint,
                "attempt": self.record.attempts,
                "outcome": str(outcome),
                "kind": str(error.kind),
                "ran": str(error.ran),
                "why": error.detail,
                "is_retried": isinstance(verdict, Admitted),
            },
        )
        if isinstance(verdict, Refused):
            return None
        return verdict

    def _finish_started(self, admitted: Admitted, reply: Reply) -> Reply:
        now = self.gateway.clock()
        self.gateway.dependencies.dispatcher.report_started(admitted.ticket, now)
        self.record = self.record._replace(first_byte_s=now - self.request.arrived_at)
        reply = self._add_headers(reply)
        if reply.stream is None:
            self._finish_answer(admitted, None, reply)
            return reply

        def end_stream(error: RequestError | None, body: bytes | None = None) -> None:
            recorded_reply = reply._replace(stream=None, body=body) if body is not None else None
            self._finish_answer(admitted, error, recorded_reply)

        if self.grant is not None:
            recorded = RecordedStream(reply.stream, self.gateway.max_recorded_bytes, end_stream)
            return reply._replace(stream=recorded)
        return reply._replace(stream=ObservedStream(reply.stream, end_stream))

    def _finish_answer(
        self, admitted: Admitted, error: RequestError | None, reply: Reply | None
    ) -> None:
        outcome = Outcome.DONE if error is None else _classify_failure(error, started=True)
        self.gateway.dependencies.dispatcher.report_finished(
            admitted.ticket, outcome, self.gateway.clock(), False
        )
        self.end(error, reply)

    def _add_headers(self, reply: Reply) -> Reply:
        names = {name for name, _ in reply.headers}
        if "Cloverway-Endpoint" in names:
            return reply
        view = self.gateway.dependencies.holder.current
        extra = (
            ("Cloverway-Endpoint", self.record.endpoint),
            ("Cloverway-Region", view.region),
            ("Cloverway-Attempts", str(self.record.attempts)),
        )
        return reply._replace(headers=reply.headers + extra)


def _classify_failure(error: RequestError, started: bool = False) -> Outcome:
    """Return the outcome of a failed attempt, before or after its answer had started."""
    if error.kind is Kind.CALLER_LEFT:
        return Outcome.CALLER_LEFT
    if error.ran is Ran.NO and not started:
        is_unreachable = isinstance(error, EndpointUnreachableError | PeerUnreachableError)
        return Outcome.NOT_SENT if is_unreachable else Outcome.REFUSED
    return Outcome.LOST if isinstance(error, EndpointLostError) else Outcome.FAILED
