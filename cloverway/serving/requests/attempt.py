"""One send of a request to an endpoint or to another host, and what became of it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import h11

from cloverway.core.calls import ForwardingContext
from cloverway.core.deployment import CallKind
from cloverway.core.prediction import RoutedCall
from cloverway.errors import Kind
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.http.client import (
    ClientExchange,
    ConnectError,
    ResponseError,
    ResponseHead,
    make_request,
)
from cloverway.serving.ports import ReplyFacts, SendTerms
from cloverway.serving.requests.placement import LEAST_S
from cloverway.serving.requests.targeting import Target

CONNECT_S = 0.4
"""Time to open a connection within the region: a lost opening packet is sent again only after a
second, and another endpoint answers sooner."""
FAR_CONNECT_S = 1.0
"""The same to another region: the way there and back, and one packet lost."""
PEER_IDLE_S = 8.0
"""How long connections between hosts are kept: under the time after which hosts close them, and
long, since a new one to another region takes as long as the request itself."""
BODY_LIMIT = 4 * 1024 * 1024
"""The longest answer that isn't a stream. It is read whole before it is passed on, so that one that
breaks off can be had elsewhere; a longer one counts as broken."""
HOLD_BYTES = 256 * 1024
"""The longest answer of an endpoint or a host that did not run a request."""
RETRY_STATUS = 500
"""From this status on an endpoint has failed, and one that may be repeated is run elsewhere."""
PASS_HEADER = b"cloverway-passed-on"
"""Says by which configuration, for which service and from where a request is passed on."""
RAN_HEADER = b"cloverway-ran"
"""What a host that could not serve a request knows of its run."""
KIND_HEADER = b"cloverway-kind"
"""Why a host could not serve a request, one of the closed list of kinds."""
ENDED_HEADER = b"cloverway-ended"
"""The lives of endpoints that ended while they ran it, with commas between them."""
ARRIVALS_HEADER = b"cloverway-arrivals"
"""How many sends a host wrote out to endpoints before it gave up: only those draw on the budget."""


class SilenceError(ResponseError):
    """Nothing was heard for longer than is borne; the other end may be there."""


class Declined(NamedTuple):
    """A send that did not run and never will."""

    reason: str
    blames_host: bool = True
    """Whether the place itself failed; otherwise it had no room, or isn't meant any more."""
    arrived: bool = True
    """Whether it reached an endpoint: only then it draws on the retry budget."""
    is_quarantined: bool = False
    """Whether the other host refuses this request, whatever room there is."""
    is_down: bool = False
    """Whether nobody listens at the endpoint's address."""


class Broken(NamedTuple):
    """A send that may have run."""

    reason: str
    blames_host: bool = True
    arrived: bool = True
    is_end: bool = False
    """Whether the connection broke, as it does when the endpoint ends."""
    ended: tuple[str, ...] = ()
    """The lives of endpoints that ended at the other host while they ran the request."""


class Answered(NamedTuple):
    """A send whose answer has begun."""

    sending: ClientExchange
    head: ResponseHead
    body: bytes | None
    """The whole body, where it was read; None for a stream."""
    arrived: bool = True


Outcome = Declined | Broken | Answered


class AttemptTerms(NamedTuple):
    """What one send may take. Times are seconds."""

    limit_at: float
    """When the answer is no longer wanted."""
    last_event_id: str
    patience_s: float | None
    """How long silence before the answer is borne; None for no limit."""


class Attempt:
    """One send of one request."""

    def __init__(
        self,
        context: Context,
        routed: RoutedCall,
        target: Target,
        terms: AttemptTerms,
        on_written: Callable[[], None],
    ) -> None:
        self._context = context
        self._routed = routed
        self._target = target
        self._terms = terms
        self._on_written = on_written
        """Called just before the first byte leaves: from then on the request may run."""

    async def run(self) -> Outcome:
        """Send the request and read the head of its answer, or all of it."""
        target = self._target
        timeout_s = CONNECT_S if target.peer is None else FAR_CONNECT_S
        pool = self._context.pool
        try:
            connection = await pool.acquire(target.place, timeout_s)
        except ConnectError as error:
            is_down = error.connection_refused and target.candidate is not None
            return Declined(f"no connection: {error}", arrived=False, is_down=is_down)
        objection = self._find_objection()
        if objection is not None:
            connection.abort()
            return Declined(objection, blames_host=False, arrived=False)
        request = self._make_request()
        if request is None:
            connection.abort()
            return Declined("no time is left", blames_host=False, arrived=False)
        sending = ClientExchange(connection, request, self._routed.call.body)
        kept = False
        try:
            sent_at = read_clock()
            self._on_written()
            sending.write()
            outcome = await self._read_answer(sending, sent_at)
            kept = isinstance(outcome, Answered) and outcome.body is None
            return outcome
        except ResponseError as error:
            return Broken(str(error), is_end=not isinstance(error, SilenceError))
        finally:
            if not kept:
                pool.release(target.place, sending, get_idle_s(target))

    def _find_objection(self) -> str | None:
        """Say why the endpoint must not get the request, by what has come since it was chosen."""
        candidate, now = self._target.candidate, read_clock()
        if candidate is None:
            return None
        if candidate.endpoint.is_leaving(now):
            return "the endpoint leaves"
        if self._context.directory.get_pause_s(candidate.endpoint, now) > 0:
            return "the endpoint asked for a pause"
        return None

    def _make_request(self) -> h11.Request | None:
        """Give the request as it is sent; None when the time is over.

        A process that was suspended between the choice and here wakes up with a request whose
        caller may have left: nothing was sent yet, so it is given up truthfully.
        """
        target = self._target
        call, route = self._routed.call, self._routed.route
        left_s = self._terms.limit_at - read_clock()
        if left_s < LEAST_S:
            return None
        dialect = self._context.dialect
        if target.candidate is not None:
            terms = SendTerms(
                target.candidate.endpoint.entry.id,
                left_s,
                route.priority,
                self._terms.last_event_id,
                target.fetch_from,
            )
            headers = dialect.encode_send(call, terms)
        else:
            resumed = call._replace(last_event_id=self._terms.last_event_id)
            headers = dialect.encode_pass(resumed, left_s)
            headers.append((PASS_HEADER, self._encode_pass()))
        return make_request(call.method, call.target, headers, call.body)

    def _encode_pass(self) -> bytes:
        version = self._context.get_configuration().version
        region = self._context.settings.region
        return f"{version};{self._routed.service.name};{region}".encode()

    async def _read_answer(self, sending: ClientExchange, sent_at: float) -> Outcome:
        dialect = self._context.dialect
        target = self._target
        call, route = self._routed.call, self._routed.route
        async with bear_silence(self._terms.patience_s):
            head = await sending.read_head(lambda head: dialect.is_answer_to(head, call))
        facts = dialect.decode_reply(head)
        said = head.get(RAN_HEADER) if target.peer is not None else None
        if said is not None:
            await sending.read_body(HOLD_BYTES)
            return self._read_refusal(head, said, sent_at)
        self._note_statement(facts, sent_at)
        if facts.elsewhere and target.candidate is not None:
            target.candidate.endpoint.misdirected_at = read_clock()
        if facts.not_run:
            await sending.read_body(HOLD_BYTES)
            why = f"the endpoint did not run it: {head.status}"
            return Declined(why, blames_host=False)
        if not facts.sealed:
            return Broken(f"an answer {head.status} without a signature")
        if route.kind is CallKind.STREAM and head.status < 300:
            return Answered(sending, head, None)
        body = await sending.read_body(BODY_LIMIT)
        if target.candidate is not None and head.status < RETRY_STATUS:
            target.candidate.endpoint.load.note_service_time(read_clock() - sent_at)
        return Answered(sending, head, body)

    def _note_statement(self, facts: ReplyFacts, sent_at: float) -> None:
        """Note what an endpoint says of itself in an answer."""
        target, now = self._target, read_clock()
        if target.candidate is None or facts.elsewhere:
            return
        call_id = self._routed.call.id
        self._context.statements.note_answer(
            target.name, facts, request_id=call_id, sent_at=sent_at, now=now
        )

    def _read_refusal(self, head: ResponseHead, said: bytes, sent_at: float) -> Outcome:
        """Read why another host could not serve the request; `said` is what it knows of its run."""
        target = self._target
        why = f"host {target.name} could not serve it: {head.status}"
        if said != b"no":
            ended = (head.get(ENDED_HEADER) or b"").decode("latin-1")
            return Broken(why, blames_host=False, ended=tuple(filter(None, ended.split(","))))
        arrived = head.get(ARRIVALS_HEADER) != b"0"
        if head.get(KIND_HEADER) == Kind.QUARANTINED.encode():
            # That says nothing of the room in its region, which stays offered to other requests.
            return Declined(why, blames_host=False, arrived=arrived, is_quarantined=True)
        service = self._routed.service.name
        self._context.targeting.withdraw_offer(target.region, service, sent_at)
        return Declined(why, blames_host=False, arrived=arrived)


@asynccontextmanager
async def bear_silence(seconds: float | None) -> AsyncIterator[None]:
    """Raise SilenceError when what is awaited inside takes longer; None for no limit."""
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError:
        if seconds is None:
            raise
        raise SilenceError(f"nothing was heard for {seconds:g} s") from None


def get_idle_s(target: Target) -> float | None:
    """Give how long a connection is kept where the other end doesn't say."""
    return PEER_IDLE_S if target.peer is not None else None


def decode_pass(value: bytes) -> ForwardingContext | None:
    """Decode what the host says that passed a request on; None when it can't be read."""
    parts = value.decode("latin-1").split(";")
    if len(parts) != 3 or not parts[0].isdigit():
        return None
    return ForwardingContext(int(parts[0]), parts[1], parts[2])
