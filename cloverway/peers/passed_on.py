"""Runs one request that another host passed on, and sends its answer back."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable

from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.messages import Refused, Request
from cloverway.peers import wire
from cloverway.peers.channel import Channel, FrameKind
from cloverway.peers.peering import PeerBounds, PeerHandler
from cloverway.replies import Reply

log = logging.getLogger(__name__)

DATA_BYTES = 64 * 1024
LARGEST_BODY_BYTES = 64 * 1024 * 1024
"""The largest that a host can be set to take."""


class PassedOnRun:
    """One passed-on request, from its call to the end of its answer."""

    def __init__(
        self, handler: PeerHandler, bounds: PeerBounds, channel: Channel, reused: bool
    ) -> None:
        self._handler = handler
        self._bounds = bounds
        self._channel = channel
        self._reused = reused

    def serve(self, call: wire.RunCall) -> None:
        """Run the request and send its answer; raise PeerError when the origin is gone."""
        # Tells the origin at once that this connection is not a silent one.
        self._channel.ping()
        request = self._receive(call)
        if len(request.body) < call.body_bytes:
            self._refuse(Refused(Kind.TOO_LARGE))
            return
        if time.monotonic() >= request.deadline:
            self._refuse(Refused(Kind.DEADLINE))
            return
        if self._channel.broken:
            raise PeerError("the origin has given the request up")
        try:
            reply = self._handler.run(request)
        except RequestError as error:
            self._refuse(as_refused(error))
            return
        except Exception:
            log.exception("a passed-on request failed", extra={"request_id": request.id})
            self._refuse(Refused(Kind.INTERNAL, ran=Ran.UNKNOWN))
            return
        self._give(reply)

    def _receive(self, call: wire.RunCall) -> Request:
        channel, now = self._channel, time.monotonic()
        # The origin stated the time left after it had our nonce. Counting from when that left
        # errs to the short side, also when this process slept before it read the call. A
        # re-used connection has no such moment; only idempotent requests come on one.
        base = now if self._reused else channel.challenged_at
        body = self._receive_body(call.body_bytes)
        return Request(
            id=call.id,
            team=call.team,
            profile=call.profile,
            path=call.path,
            method=call.method,
            body=body,
            content_type=call.content_type,
            arrived_at=now,
            deadline=base + call.left_s,
            stream=call.stream,
            key=call.key,
            is_forwarded=True,
            revision=call.revision,
        )

    def _receive_body(self, size: int) -> bytes:
        """Read the body; what is over the bound is read too, for the refusal, but not kept."""
        if not 0 <= size <= LARGEST_BODY_BYTES:
            raise PeerError("a body is too large")
        read_by = self._send_by()
        body = bytearray()
        received = 0
        while received < size:
            frame = self._channel.receive(read_by)
            received += len(frame.payload)
            if frame.kind is not FrameKind.DATA or received > size:
                raise PeerError("the peer does not keep to the protocol")
            if received <= self._bounds.body_bytes:
                body += frame.payload
        return bytes(body)

    def _give(self, reply: Reply) -> None:
        streamed = reply.stream is not None
        head = wire.ReplyHead(reply.status, reply.content_type, reply.headers, streamed)
        pieces: Iterable[bytes] = reply.stream if reply.stream is not None else (reply.body,)
        try:
            self._channel.send_message(head, self._send_by())
            sent = self._give_body(pieces)
        except RequestError as error:
            self._refuse(as_cut(error))
        else:
            self._channel.send_message(wire.End(sent), self._send_by())
        finally:
            if reply.stream is not None:
                reply.stream.close()

    def _give_body(self, pieces: Iterable[bytes]) -> int:
        sent = 0
        for piece in pieces:
            for at in range(0, len(piece), DATA_BYTES):
                data = piece[at : at + DATA_BYTES]
                self._channel.send(FrameKind.DATA, data, self._send_by())
                sent += len(data)
        return sent

    def _refuse(self, refused: Refused) -> None:
        self._channel.send_message(refused, self._send_by())

    def _send_by(self) -> float:
        return time.monotonic() + self._bounds.send_s


def as_refused(error: RequestError) -> Refused:
    """Give the message that carries an error to the origin."""
    return Refused(error.kind, error.detail, error.retry_after, error.ran)


def as_cut(error: RequestError) -> Refused:
    """Give the message for an answer that was cut after its head: it has been run, at least."""
    ran = Ran.UNKNOWN if error.ran is Ran.NO else error.ran
    return as_refused(error)._replace(ran=ran)
