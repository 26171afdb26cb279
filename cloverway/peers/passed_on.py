"""Runs one request that another host passed on, and sends its answer back."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable

from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.messages import Refused, Request
from cloverway.peers import wire
from cloverway.peers.channel import Channel, FrameKind
from cloverway.peers.peering import PeerHandler, PeerLimits
from cloverway.replies import Reply

log = logging.getLogger(__name__)

DATA_FRAME_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
"""The largest that a host can be set to take."""


class ForwardedRun:
    """One passed-on request, from its call to the end of its answer."""

    def __init__(
        self, handler: PeerHandler, limits: PeerLimits, channel: Channel, reused: bool
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._channel = channel
        self._reused = reused

    def serve(self, call: wire.RunCall) -> None:
        """Run the request and send its answer; raise PeerError when the origin is gone."""
        # Tells the origin at once that this connection is not a silent one.
        self._channel.ping()
        request = self._receive(call)
        if len(request.body) < call.body_bytes:
            self._send_refusal(Refused(Kind.TOO_LARGE))
            return
        if time.monotonic() >= request.deadline:
            self._send_refusal(Refused(Kind.DEADLINE))
            return
        if self._channel.broken:
            raise PeerError("the origin has given the request up")
        try:
            reply = self._handler.run(request)
        except RequestError as error:
            self._send_refusal(make_refusal(error))
            return
        except Exception:
            log.exception("a passed-on request failed", extra={"request_id": request.id})
            self._send_refusal(Refused(Kind.INTERNAL, ran=Ran.UNKNOWN))
            return
        self._send_reply(reply)

    def _receive(self, call: wire.RunCall) -> Request:
        channel, now = self._channel, time.monotonic()
        # The origin stated the time left after it had our nonce. Counting from when that left
        # errs to the short side, also when this process slept before it read the call. A
        # re-used connection has no such moment; only idempotent requests come on one.
        reference = now if self._reused else channel.challenge_sent_at
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
            deadline=reference + call.left_s,
            stream=call.stream,
            key=call.key,
            is_forwarded=True,
            revision=call.revision,
        )

    def _receive_body(self, size: int) -> bytes:
        """Read the body; what is over the bound is read too, for the refusal, but not kept."""
        if not 0 <= size <= MAX_BODY_BYTES:
            raise PeerError("a body is too large")
        receive_deadline = self._get_send_deadline()
        body = bytearray()
        received = 0
        while received < size:
            frame = self._channel.receive(receive_deadline)
            received += len(frame.payload)
            if frame.kind is not FrameKind.DATA or received > size:
                raise PeerError("the peer does not keep to the protocol")
            if received <= self._limits.max_body_bytes:
                body += frame.payload
        return bytes(body)

    def _send_reply(self, reply: Reply) -> None:
        streamed = reply.stream is not None
        head = wire.ReplyHead(reply.status, reply.content_type, reply.headers, streamed)
        pieces: Iterable[bytes] = reply.stream if reply.stream is not None else (reply.body,)
        try:
            self._channel.send_message(head, self._get_send_deadline())
            sent = self._send_body(pieces)
        except RequestError as error:
            self._send_refusal(make_truncation(error))
        else:
            self._channel.send_message(wire.End(sent), self._get_send_deadline())
        finally:
            if reply.stream is not None:
                reply.stream.close()

    def _send_body(self, pieces: Iterable[bytes]) -> int:
        sent = 0
        for piece in pieces:
            for at in range(0, len(piece), DATA_FRAME_BYTES):
                data = piece[at : at + DATA_FRAME_BYTES]
                self._channel.send(FrameKind.DATA, data, self._get_send_deadline())
                sent += len(data)
        return sent

    def _send_refusal(self, refused: Refused) -> None:
        self._channel.send_message(refused, self._get_send_deadline())

    def _get_send_deadline(self) -> float:
        return time.monotonic() + self._limits.send_timeout_s


def make_refusal(error: RequestError) -> Refused:
    """Give the message that carries an error to the origin."""
    return Refused(error.kind, error.detail, error.retry_after, error.ran)


def make_truncation(error: RequestError) -> Refused:
    """Give the message for an answer that was cut after its head: it has been run, at least."""
    ran = Ran.UNKNOWN if error.ran is Ran.NO else error.ran
    return make_refusal(error)._replace(ran=ran)
