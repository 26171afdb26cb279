"""Runs a request that another host, the origin, forwarded, and sends the response back."""

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
"""The highest limit on request bodies that a host can be configured with."""


class ForwardedRun:
    """The run of one forwarded request, from its call to the end of its response."""

    def __init__(
        self, handler: PeerHandler, limits: PeerLimits, channel: Channel, reused: bool
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._channel = channel
        self._reused = reused

    def serve(self, call: wire.RunCall) -> None:
        """Run the request and send its response; raise PeerError when the origin is gone."""
        # Shows the origin at once that this connection works.
        self._channel.ping()
        request = self._receive(call)
        if len(request.body) < call.body_bytes:
            self._send_refusal(Refused(Kind.TOO_LARGE))
            return
        if time.monotonic() >= request.deadline:
            self._send_refusal(Refused(Kind.DEADLINE))
            return
        if self._channel.is_broken:
            raise PeerError("the origin closed the connection before the run")
        try:
            reply = self._handler.run(request)
        except RequestError as error:
            self._send_refusal(make_refusal(error))
            return
        except Exception:
            log.exception("a forwarded request failed", extra={"request_id": request.id})
            self._send_refusal(Refused(Kind.INTERNAL, ran=Ran.UNKNOWN))
            return
        self._send_reply(reply)

    def _receive(self, call: wire.RunCall) -> Request:
        channel, now = self._channel, time.monotonic()
        # The origin computed `left_s` after it had received our nonce. Counting from the time at
        # which the nonce was sent makes the deadline too early rather than too late, even when
        # this process was paused before it read the call. A reused connection has no such time;
        # only idempotent requests are sent on one.
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
        """Receive the body.

        A body over the limit is read to its end, so that the refusal can be sent, but not kept.
        """
        if not 0 <= size <= MAX_BODY_BYTES:
            raise PeerError("the announced body is too large")
        receive_deadline = self._make_deadline()
        body = bytearray()
        received = 0
        while received < size:
            frame = self._channel.receive(receive_deadline)
            received += len(frame.payload)
            if frame.kind is not FrameKind.DATA or received > size:
                raise PeerError("received an unexpected frame in a body")
            if received <= self._limits.max_body_bytes:
                body += frame.payload
        return bytes(body)

    def _send_reply(self, reply: Reply) -> None:
        streamed = reply.stream is not None
        head = wire.ReplyHead(reply.status, reply.content_type, reply.headers, streamed)
        pieces: Iterable[bytes] = reply.stream if reply.stream is not None else (reply.body,)
        try:
            self._channel.send_message(head, self._make_deadline())
            sent = self._send_body(pieces)
        except RequestError as error:
            self._send_refusal(make_truncation(error))
        else:
            self._channel.send_message(wire.End(sent), self._make_deadline())
        finally:
            if reply.stream is not None:
                reply.stream.close()

    def _send_body(self, pieces: Iterable[bytes]) -> int:
        sent = 0
        for piece in pieces:
            for at in range(0, len(piece), DATA_FRAME_BYTES):
                data = piece[at : at + DATA_FRAME_BYTES]
                self._channel.send(FrameKind.DATA, data, self._make_deadline())
                sent += len(data)
        return sent

    def _send_refusal(self, refused: Refused) -> None:
        self._channel.send_message(refused, self._make_deadline())

    def _make_deadline(self) -> float:
        return time.monotonic() + self._limits.send_timeout_s


def make_refusal(error: RequestError) -> Refused:
    """Return the message that carries an error to the origin."""
    return Refused(error.kind, error.detail, error.retry_after, error.ran)


def make_truncation(error: RequestError) -> Refused:
    """Return the message for a response that failed after its head.

    The request has run at least in part, so "no" becomes "unknown".
    """
    ran = Ran.UNKNOWN if error.ran is Ran.NO else error.ran
    return make_refusal(error)._replace(ran=ran)
