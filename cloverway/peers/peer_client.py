"""Calls other hosts over TCP; every wait is bounded."""

from __future__ import annotations

import logging
import math
import threading
import time
from typing import NamedTuple

from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.messages import Refused, Request
from cloverway.once.keys import ClaimCall, ClaimResult, Grant, Recorded, SettleCall
from cloverway.peers import wire
from cloverway.peers.channel import Channel, FrameKind, Identity
from cloverway.peers.peer_stream import PeerStream
from cloverway.peers.peering import Changes, PeerBounds
from cloverway.replies import Reply

log = logging.getLogger(__name__)

DATA_BYTES = 256 * 1024
MOST_DEAD = 4_096
MOST_CHANGES_BYTES = 64 * 1024 * 1024
CHANGES_S = 10.0


class _Idle(NamedTuple):
    """A connection that is open and not used."""

    channel: Channel
    since: float


class _Lost(NamedTuple):
    """The connection failed before the head of an answer came."""

    ran: Ran
    detail: str


class PeerClient:
    """Calls of one host to all others; safe to use from many threads."""

    def __init__(self, me: Identity, secret: bytes, bounds: PeerBounds) -> None:
        self._me = me
        self._secret = secret
        self._bounds = bounds
        self._lock = threading.Lock()
        self._idle: dict[str, list[_Idle]] = {}
        self._dead_until: dict[str, float] = {}

    def claim(self, host: str, address: str, call: ClaimCall) -> ClaimResult:
        """Claim a key that another host issued; raise PeerError when it can't be asked."""
        answer = self._ask(host, address, call, call.left_s)
        if isinstance(answer, Grant | Recorded | Refused):
            return answer
        raise PeerError("the peer does not keep to the protocol")

    def settle(self, host: str, address: str, call: SettleCall) -> None:
        """Settle a key that another host issued; raise PeerError when it can't be told."""
        self._ask(host, address, call)

    def changes(self, host: str, address: str, after: int) -> Changes:
        """Ask for the documents that changed after a revision; raise PeerError on failure."""
        deadline = time.monotonic() + CHANGES_S
        channel = self._connect(host, address)
        try:
            channel.send_message(wire.ChangesCall(after), deadline)
            changes = self._receive_changes(channel, deadline)
        except BaseException:
            channel.close()
            raise
        self._put_back(address, channel)
        return changes

    def run(
        self,
        host: str,
        address: str,
        request: Request,
        *,
        idempotent: bool = False,
        start_by: float | None = None,
    ) -> Reply:
        """Pass a request on; raise RequestError, with ran "no" only when that is certain.

        A request that is not idempotent goes on a new connection: on a stale one nobody could
        tell whether it arrived. `start_by` is the end of its key's grant.
        """
        channel = self._take(address) if idempotent else None
        lost = None
        if channel is not None:
            answer = self._exchange(channel, request, start_by, self._bounds.reused_answer_s)
            if not isinstance(answer, _Lost):
                return self._finish(channel, address, answer, request)
            lost = answer
            log.debug("a pooled connection was lost", extra={"peer": host})
        try:
            return self._run_anew(host, address, request, start_by)
        except RequestError as error:
            if lost is not None and error.ran is Ran.NO:
                # The second attempt did not run, but the lost one may have.
                error.ran = lost.ran
            raise

    def close(self) -> None:
        """Close the connections that are not used."""
        with self._lock:
            idle = [each.channel for pool in self._idle.values() for each in pool]
            self._idle.clear()
        for channel in idle:
            channel.close()

    def _run_anew(self, host: str, address: str, request: Request, start_by: float | None) -> Reply:
        try:
            channel = self._connect(host, address, request.deadline - time.monotonic())
        except PeerError as error:
            raise RequestError(Kind.ENDPOINT_REFUSED, str(error), ran=Ran.NO) from error
        answer = self._exchange(channel, request, start_by, self._bounds.silence_s)
        if not isinstance(answer, _Lost):
            return self._finish(channel, address, answer, request)
        if answer.ran is Ran.NO:
            raise RequestError(Kind.ENDPOINT_REFUSED, answer.detail, ran=Ran.NO)
        late = time.monotonic() >= request.deadline
        kind = Kind.TIMED_OUT if late else Kind.ENDPOINT_FAILED
        raise RequestError(kind, answer.detail, ran=Ran.UNKNOWN)

    def _exchange(
        self, channel: Channel, request: Request, start_by: float | None, first_s: float
    ) -> wire.ReplyHead | Refused | _Lost:
        """Send a request and wait for the head of its answer."""
        sent = False
        try:
            frames = _make_frames(request)
            send_by = min(request.deadline, time.monotonic() + self._bounds.send_s)
            for kind, payload in frames[:-1]:
                channel.send(kind, payload, send_by)
            # A process that slept wakes up here. The other host can run nothing until it has
            # the last frame, so up to now it is certain that the request did not run.
            if time.monotonic() >= _choose_end(request, start_by):
                channel.close()
                return Refused(Kind.DEADLINE)
            sent = True
            channel.send(*frames[-1], send_by)
            return self._wait_for_head(channel, request.deadline, first_s)
        except PeerError as error:
            channel.close()
            return _Lost(Ran.UNKNOWN if sent else Ran.NO, str(error))
        except BaseException:
            channel.close()
            raise

    def _wait_for_head(
        self, channel: Channel, deadline: float, first_s: float
    ) -> wire.ReplyHead | Refused:
        silence_s = first_s
        while True:
            frame = channel.receive(min(deadline, time.monotonic() + silence_s))
            silence_s = self._bounds.silence_s
            if frame.kind is FrameKind.PING:
                continue
            if frame.kind is FrameKind.MESSAGE:
                message = wire.decode(frame.payload)
                if isinstance(message, wire.ReplyHead | Refused):
                    return message
            raise PeerError("the peer does not keep to the protocol")

    def _finish(
        self, channel: Channel, address: str, answer: wire.ReplyHead | Refused, request: Request
    ) -> Reply:
        if isinstance(answer, Refused):
            self._put_back(address, channel)
            raise answer.as_error()
        stream = PeerStream(channel, self._bounds, lambda whole: self._put_back(address, whole))
        if answer.streamed:
            return Reply(answer.status, answer.content_type, stream=stream, headers=answer.headers)
        body = stream.read_all(request.deadline)
        return Reply(answer.status, answer.content_type, body, headers=answer.headers)

    def _ask(
        self, host: str, address: str, message: wire.Message, left_s: float = math.inf
    ) -> wire.Message:
        """Make a small call that does no harm when it is made twice, within some seconds in all."""
        end = time.monotonic() + left_s
        channel = self._take(address)
        if channel is not None:
            try:
                return self._call(
                    channel, address, message, min(left_s, self._bounds.reused_answer_s)
                )
            except PeerError:
                log.debug("a pooled connection was lost", extra={"peer": host})
        channel = self._connect(host, address, end - time.monotonic())
        answer_s = min(end - time.monotonic(), self._bounds.answer_s)
        return self._call(channel, address, message, answer_s)

    def _call(
        self, channel: Channel, address: str, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        deadline = time.monotonic() + timeout_s
        try:
            channel.send_message(message, deadline)
            answer = channel.receive_message(deadline)
        except BaseException:
            channel.close()
            raise
        self._put_back(address, channel)
        return answer

    def _receive_changes(self, channel: Channel, deadline: float) -> Changes:
        changes: list[wire.Change] = []
        size = 0
        while True:
            page = channel.receive_message(deadline)
            if not isinstance(page, wire.ChangesPage):
                raise PeerError("the peer does not keep to the protocol")
            changes += page.changes
            size += sum(len(change.value or "") for change in page.changes)
            if size > MOST_CHANGES_BYTES:
                raise PeerError("the peer sends too many changes")
            if not page.more:
                return Changes(page.top, tuple(changes), page.after, page.digest)

    def _connect(self, host: str, address: str, left_s: float = math.inf) -> Channel:
        """Open a connection, unless a new one to this address has failed a moment ago.

        Without that pause each caller's thread would wait out the timeout of a dead host.
        """
        if time.monotonic() < self._dead_until.get(address, 0.0):
            raise PeerError(f"{host} could not be reached a moment ago")
        if left_s <= 0:
            raise PeerError("there is no time left to connect")
        timeout_s = min(self._bounds.connect_s, left_s)
        try:
            channel = Channel.connect(address, self._me, host, self._secret, timeout_s)
        except PeerError:
            if timeout_s == self._bounds.connect_s:
                self._mark_dead(address)
            raise
        with self._lock:
            self._dead_until.pop(address, None)
        return channel

    def _mark_dead(self, address: str) -> None:
        now = time.monotonic()
        with self._lock:
            if len(self._dead_until) >= MOST_DEAD:
                self._dead_until.clear()
            self._dead_until[address] = now + self._bounds.dead_s

    def _take(self, address: str) -> Channel | None:
        """Give a connection that is not used, the latest first; stale ones are closed."""
        with self._lock:
            pool = self._idle.pop(address, [])
        oldest = time.monotonic() - self._bounds.idle_s
        usable = [each for each in pool if each.since > oldest and not each.channel.broken]
        for each in pool:
            if each not in usable:
                each.channel.close()
        if not usable:
            return None
        with self._lock:
            self._idle.setdefault(address, []).extend(usable[:-1])
        return usable[-1].channel

    def _put_back(self, address: str, channel: Channel) -> None:
        if channel.has_input or channel.broken:
            channel.close()
            return
        self._drop_idle()
        with self._lock:
            full = sum(map(len, self._idle.values())) >= self._bounds.pooled
            if not full:
                self._idle.setdefault(address, []).append(_Idle(channel, time.monotonic()))
        if full:
            channel.close()

    def _drop_idle(self) -> None:
        """Close what was not used for long, of all hosts: some are never called again."""
        oldest = time.monotonic() - self._bounds.idle_s
        with self._lock:
            old = [each for pool in self._idle.values() for each in pool if each.since <= oldest]
            if old:
                kept = {
                    address: [each for each in pool if each.since > oldest]
                    for address, pool in self._idle.items()
                }
                self._idle = {address: pool for address, pool in kept.items() if pool}
        for each in old:
            each.channel.close()


def _choose_end(request: Request, start_by: float | None) -> float:
    return request.deadline if start_by is None else min(request.deadline, start_by)


def _make_frames(request: Request) -> list[tuple[FrameKind, bytes]]:
    call = wire.RunCall(
        id=request.id,
        team=request.team,
        profile=request.profile,
        path=request.path,
        method=request.method,
        content_type=request.content_type,
        stream=request.stream,
        key=request.key,
        revision=request.revision,
        left_s=request.deadline - time.monotonic(),
        body_bytes=len(request.body),
    )
    body = request.body
    pieces = [body[at : at + DATA_BYTES] for at in range(0, len(body), DATA_BYTES)]
    return [
        (FrameKind.MESSAGE, wire.encode(call)),
        *((FrameKind.DATA, piece) for piece in pieces),
    ]
