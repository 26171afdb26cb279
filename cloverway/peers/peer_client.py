"""Client for the calls to other hosts over TCP; every wait has a timeout."""

from __future__ import annotations

import logging
import math
import threading
import time
from typing import NamedTuple

from cloverway.errors import Kind, PeerError, PeerUnreachableError, Ran, RequestError
from cloverway.messages import Refused, Request
from cloverway.once.keys import ClaimCall, ClaimResult, Grant, Recorded, SettleCall
from cloverway.peers import wire
from cloverway.peers.channel import Channel, FrameKind, Identity
from cloverway.peers.peer_stream import PeerStream
from cloverway.peers.peering import EncodedChanges, PeerLimits
from cloverway.replies import Reply

log = logging.getLogger(__name__)

DATA_FRAME_BYTES = 256 * 1024
MAX_BACKOFF_ENTRIES = 4_096
MAX_CHANGES_BYTES = 64 * 1024 * 1024
CHANGES_TIMEOUT_S = 10.0


class _IdleConnection(NamedTuple):
    """An open connection that is not in use."""

    channel: Channel
    since: float


class _LostConnection(NamedTuple):
    """The result of a request whose connection failed before the head of the response."""

    ran: Ran
    detail: str


class PeerClient:
    """Makes the calls of one host to all others, over pooled connections; thread-safe."""

    def __init__(self, local: Identity, secret: bytes, limits: PeerLimits) -> None:
        self._local = local
        self._secret = secret
        self._limits = limits
        self._lock = threading.Lock()
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._backoff_until: dict[str, float] = {}

    def claim(self, host: str, address: str, call: ClaimCall) -> ClaimResult:
        """Claim a key that another host issued; raise PeerError when the call fails."""
        response = self._call_with_retry(host, address, call, call.left_s)
        if isinstance(response, Grant | Recorded | Refused):
            return response
        raise PeerError("received an unexpected message from the peer")

    def settle(self, host: str, address: str, call: SettleCall) -> None:
        """Settle a key that another host issued; raise PeerError when the call fails."""
        self._call_with_retry(host, address, call)

    def fetch_changes(self, host: str, address: str, after: int) -> EncodedChanges:
        """Fetch the documents that changed after a revision; raise PeerError on failure."""
        deadline = time.monotonic() + CHANGES_TIMEOUT_S
        channel = self._connect(host, address)
        try:
            channel.send_message(wire.ChangesCall(after), deadline)
            changes = self._receive_changes(channel, deadline)
        except BaseException:
            channel.close()
            raise
        self._release(address, channel)
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
        """Forward a request; raise RequestError, with `ran` "no" only when that is certain.

        A request that is not idempotent is sent on a new connection, because on a stale one it
        would be unknown whether it arrived. `start_by` is the end of its key's grant.
        """
        channel = self._take_idle(address) if idempotent else None
        first_failure = None
        if channel is not None:
            response = self._exchange(
                channel, request, start_by, self._limits.reused_response_timeout_s
            )
            if not isinstance(response, _LostConnection):
                return self._make_reply(channel, address, response, request)
            first_failure = response
            log.debug("a pooled connection failed", extra={"peer": host})
        try:
            return self._run_on_new_connection(host, address, request, start_by)
        except RequestError as error:
            if first_failure is not None and error.ran is Ran.NO:
                # The second attempt did not run, but the first one may have.
                error.ran = first_failure.ran
            raise

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [each.channel for pool in self._idle.values() for each in pool]
            self._idle.clear()
        for channel in idle:
            channel.close()

    def _run_on_new_connection(
        self, host: str, address: str, request: Request, start_by: float | None
    ) -> Reply:
        try:
            channel = self._connect(host, address, request.deadline - time.monotonic())
        except PeerError as error:
            raise PeerUnreachableError(str(error)) from error
        response = self._exchange(channel, request, start_by, self._limits.silence_timeout_s)
        if not isinstance(response, _LostConnection):
            return self._make_reply(channel, address, response, request)
        if response.ran is Ran.NO:
            raise PeerUnreachableError(response.detail)
        deadline_passed = time.monotonic() >= request.deadline
        kind = Kind.TIMED_OUT if deadline_passed else Kind.ENDPOINT_FAILED
        raise RequestError(kind, response.detail, ran=Ran.UNKNOWN)

    def _exchange(
        self, channel: Channel, request: Request, start_by: float | None, head_timeout_s: float
    ) -> wire.ReplyHead | Refused | _LostConnection:
        """Send a request and wait for the head of its response."""
        sent = False
        try:
            frames = _make_frames(request)
            send_deadline = min(request.deadline, time.monotonic() + self._limits.send_timeout_s)
            for kind, payload in frames[:-1]:
                channel.send(kind, payload, send_deadline)
            # This process may have been paused until here. The other host runs nothing before it
            # has the last frame, so it is certain that the request has not run yet.
            if time.monotonic() >= _get_start_deadline(request, start_by):
                channel.close()
                return Refused(Kind.DEADLINE)
            sent = True
            channel.send(*frames[-1], send_deadline)
            return self._wait_for_head(channel, request.deadline, head_timeout_s)
        except PeerError as error:
            channel.close()
            return _LostConnection(Ran.UNKNOWN if sent else Ran.NO, str(error))
        except BaseException:
            channel.close()
            raise

    def _wait_for_head(
        self, channel: Channel, deadline: float, head_timeout_s: float
    ) -> wire.ReplyHead | Refused:
        frame_timeout_s = head_timeout_s
        while True:
            frame = channel.receive(min(deadline, time.monotonic() + frame_timeout_s))
            frame_timeout_s = self._limits.silence_timeout_s
            if frame.kind is FrameKind.PING:
                continue
            if frame.kind is FrameKind.MESSAGE:
                message = wire.decode(frame.payload)
                if isinstance(message, wire.ReplyHead | Refused):
                    return message
            raise PeerError("received an unexpected message from the peer")

    def _make_reply(
        self, channel: Channel, address: str, response: wire.ReplyHead | Refused, request: Request
    ) -> Reply:
        if isinstance(response, Refused):
            self._release(address, channel)
            raise response.as_error()
        stream = PeerStream(channel, self._limits, lambda done: self._release(address, done))
        if response.streamed:
            return Reply(
                response.status, response.content_type, stream=stream, headers=response.headers
            )
        body = stream.read_all(request.deadline)
        return Reply(response.status, response.content_type, body, headers=response.headers)

    def _call_with_retry(
        self, host: str, address: str, message: wire.Message, remaining_s: float = math.inf
    ) -> wire.Message:
        """Make a small idempotent call within `remaining_s`.

        The call is repeated on a new connection when a pooled one fails.
        """
        end = time.monotonic() + remaining_s
        channel = self._take_idle(address)
        if channel is not None:
            try:
                return self._call(
                    channel,
                    address,
                    message,
                    min(remaining_s, self._limits.reused_response_timeout_s),
                )
            except PeerError:
                log.debug("a pooled connection failed", extra={"peer": host})
        channel = self._connect(host, address, end - time.monotonic())
        timeout_s = min(end - time.monotonic(), self._limits.response_timeout_s)
        return self._call(channel, address, message, timeout_s)

    def _call(
        self, channel: Channel, address: str, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        deadline = time.monotonic() + timeout_s
        try:
            channel.send_message(message, deadline)
            response = channel.receive_message(deadline)
        except BaseException:
            channel.close()
            raise
        self._release(address, channel)
        return response

    def _receive_changes(self, channel: Channel, deadline: float) -> EncodedChanges:
        changes: list[wire.Change] = []
        size = 0
        while True:
            page = channel.receive_message(deadline)
            if not isinstance(page, wire.ChangesPage):
                raise PeerError("received an unexpected message from the peer")
            changes += page.changes
            size += sum(len(change.value or "") for change in page.changes)
            if size > MAX_CHANGES_BYTES:
                raise PeerError("the changes of the peer are too large")
            if not page.more:
                return EncodedChanges(page.top, tuple(changes), page.after, page.digest)

    def _connect(self, host: str, address: str, remaining_s: float = math.inf) -> Channel:
        """Open a connection, unless connecting to this address failed a moment ago.

        Without this backoff each caller's thread would wait for the timeout of a dead host.
        """
        if time.monotonic() < self._backoff_until.get(address, 0.0):
            raise PeerError(f"connecting to {host} failed a moment ago")
        if remaining_s <= 0:
            raise PeerError("no time is left to connect")
        timeout_s = min(self._limits.connect_timeout_s, remaining_s)
        try:
            channel = Channel.connect(address, self._local, host, self._secret, timeout_s)
        except PeerError:
            if timeout_s == self._limits.connect_timeout_s:
                self._start_backoff(address)
            raise
        with self._lock:
            self._backoff_until.pop(address, None)
        return channel

    def _start_backoff(self, address: str) -> None:
        now = time.monotonic()
        with self._lock:
            if len(self._backoff_until) >= MAX_BACKOFF_ENTRIES:
                self._backoff_until.clear()
            self._backoff_until[address] = now + self._limits.backoff_s

    def _take_idle(self, address: str) -> Channel | None:
        """Return the most recently used idle connection, or None; close stale ones."""
        with self._lock:
            pool = self._idle.pop(address, [])
        oldest = time.monotonic() - self._limits.idle_timeout_s
        usable = [each for each in pool if each.since > oldest and not each.channel.is_broken]
        for each in pool:
            if each not in usable:
                each.channel.close()
        if not usable:
            return None
        with self._lock:
            self._idle.setdefault(address, []).extend(usable[:-1])
        return usable[-1].channel

    def _release(self, address: str, channel: Channel) -> None:
        if channel.has_input or channel.is_broken:
            channel.close()
            return
        self._close_expired()
        with self._lock:
            full = sum(map(len, self._idle.values())) >= self._limits.max_pooled
            if not full:
                self._idle.setdefault(address, []).append(
                    _IdleConnection(channel, time.monotonic())
                )
        if full:
            channel.close()

    def _close_expired(self) -> None:
        """Close expired connections to all hosts, since some hosts are never called again."""
        oldest = time.monotonic() - self._limits.idle_timeout_s
        with self._lock:
            expired = [
                each for pool in self._idle.values() for each in pool if each.since <= oldest
            ]
            if expired:
                kept = {
                    address: [each for each in pool if each.since > oldest]
                    for address, pool in self._idle.items()
                }
                self._idle = {address: pool for address, pool in kept.items() if pool}
        for each in expired:
            each.channel.close()


def _get_start_deadline(request: Request, start_by: float | None) -> float:
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
    pieces = [body[at : at + DATA_FRAME_BYTES] for at in range(0, len(body), DATA_FRAME_BYTES)]
    return [
        (FrameKind.MESSAGE, wire.encode(call)),
        *((FrameKind.DATA, piece) for piece in pieces),
    ]
