"""Authenticated frames over a TCP connection between two hosts.

In the handshake, each end proves that it knows the shared secret by a MAC over the random nonces of
both. Each later frame carries a MAC over its bytes and a counter, under a key that is derived for
this connection and direction. So a changed, dropped, replayed or reflected frame is rejected.
"""

from __future__ import annotations

import contextlib
import hashlib
import hmac
import secrets
import select
import socket
import struct
import threading
import time
from enum import IntEnum
from typing import NamedTuple, TypeVar

from cloverway.addresses import split_address
from cloverway.errors import PeerError
from cloverway.peers import wire

HEADER = struct.Struct(">IB")
MAC_PREFIX = struct.Struct(">QB")
MAC_BYTES = 16
NONCE_BYTES = 16
MAX_HANDSHAKE_BYTES = 1024
"""Maximum size of a frame before the other end is authenticated."""
MAX_FRAME_BYTES = 17 * 1024 * 1024
"""Maximum size of a frame after the handshake: the largest recorded response and its metadata."""
RECEIVE_BYTES = 64 * 1024


M = TypeVar("M", wire.Hello, wire.Challenge, wire.Proof)


class FrameKind(IntEnum):
    """The content of a frame."""

    MESSAGE = 0
    DATA = 1
    """A part of a body."""
    PING = 2
    """No content: the sender is alive and still working on the request."""


class Frame(NamedTuple):
    """A frame whose MAC is valid."""

    kind: FrameKind
    payload: bytes


class Identity(NamedTuple):
    """The process of a host: its name and incarnation."""

    host: str
    incarnation: str


class Channel:
    """A connection to another host.

    Several threads may send frames; only one thread at a time may receive.
    """

    def __init__(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        if connection.family in (socket.AF_INET, socket.AF_INET6):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = connection
        self.peer = Identity("", "")
        self.challenge_sent_at = float("-inf")
        """When the accepting end sent its nonce; each frame of the peer was made after that."""
        self.last_sent_at = time.monotonic()
        self._send_lock = threading.Lock()
        self._buffer = bytearray()
        self._send_key = b""
        self._receive_key = b""
        self._sent_frames = 0
        self._received_frames = 0

    @classmethod
    def connect(
        cls, address: str, local: Identity, expected_host: str, secret: bytes, timeout_s: float
    ) -> Channel:
        """Connect to a host and authenticate it; raise PeerError when that fails or times out."""
        deadline = time.monotonic() + timeout_s
        try:
            connection = socket.create_connection(split_address(address), timeout_s)
        except OSError as error:
            raise PeerError(f"can't connect to {expected_host}") from error
        channel = cls(connection)
        try:
            channel._start_handshake(local, expected_host, secret, deadline)
        except BaseException:
            channel.close()
            raise
        return channel

    @classmethod
    def accept(
        cls, connection: socket.socket, local: Identity, secret: bytes, timeout_s: float
    ) -> Channel:
        """Authenticate a host that connected; raise PeerError when that fails or times out."""
        channel = cls(connection)
        try:
            channel._accept_handshake(local, secret, time.monotonic() + timeout_s)
        except BaseException:
            channel.close()
            raise
        return channel

    def send_message(self, message: wire.Message, deadline: float) -> None:
        """Send a message; raise PeerError when it is not sent by the deadline."""
        self.send(FrameKind.MESSAGE, wire.encode(message), deadline)

    def send(self, kind: FrameKind, payload: bytes, deadline: float) -> None:
        """Send a frame; raise PeerError when it is not sent by the deadline."""
        if len(payload) > MAX_FRAME_BYTES:
            raise PeerError("a frame to send is too large")
        with self._send_lock:
            frame = self._make_frame(kind, payload)
            self._write(frame, deadline)

    def ping(self) -> None:
        """Send a ping, unless a frame is being sent or the send buffer is full."""
        if not self._send_lock.acquire(blocking=False):
            return
        try:
            if self._can_write():
                self._write(self._make_frame(FrameKind.PING, b""), time.monotonic())
        finally:
            self._send_lock.release()

    def receive(self, deadline: float) -> Frame:
        """Return the next frame.

        Raise PeerError when the frame is invalid or is not complete by the deadline.
        """
        length, kind = HEADER.unpack(self._read(HEADER.size, deadline))
        if length > MAX_FRAME_BYTES:
            raise PeerError("a received frame is too large")
        payload = self._read(length, deadline)
        mac = self._read(MAC_BYTES, deadline)
        expected = _compute_mac(self._receive_key, self._received_frames, kind, payload)
        if not hmac.compare_digest(mac, expected):
            raise PeerError("a frame has an invalid MAC")
        self._received_frames += 1
        try:
            return Frame(FrameKind(kind), payload)
        except ValueError as error:
            raise PeerError("a frame has an unknown kind") from error

    def receive_message(self, deadline: float) -> wire.Message:
        """Return the next message, skipping pings; raise PeerError at the deadline."""
        while True:
            frame = self.receive(deadline)
            if frame.kind is FrameKind.MESSAGE:
                return wire.decode(frame.payload)
            if frame.kind is FrameKind.DATA:
                raise PeerError("received a data frame instead of a message")

    @property
    def has_input(self) -> bool:
        """Whether bytes were received that don't belong to a frame that was returned."""
        return bool(self._buffer)

    @property
    def is_broken(self) -> bool:
        """Whether the other end has closed the connection, or it has failed."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True

    def shut_down(self) -> None:
        """Shut the connection down from another thread, so that the owner's calls fail."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()

    def _start_handshake(
        self, local: Identity, expected_host: str, secret: bytes, deadline: float
    ) -> None:
        hello = wire.Hello(
            wire.VERSION,
            local.host,
            local.incarnation,
            expected_host,
            secrets.token_bytes(NONCE_BYTES),
        )
        self._send_handshake(hello, deadline)
        challenge = self._receive_handshake(wire.Challenge, deadline)
        session = _derive_session(secret, hello, challenge)
        if not hmac.compare_digest(challenge.mac, _derive_key(session, "accepting")):
            raise PeerError(f"{expected_host} does not know the shared secret")
        if challenge.host != expected_host:
            raise PeerError(f"another host than {expected_host} is at this address")
        self._send_handshake(wire.Proof(_derive_key(session, "connecting")), deadline)
        self.peer = Identity(challenge.host, challenge.incarnation)
        self._send_key = _derive_key(session, "to accepting")
        self._receive_key = _derive_key(session, "to connecting")

    def _accept_handshake(self, local: Identity, secret: bytes, deadline: float) -> None:
        hello = self._receive_handshake(wire.Hello, deadline)
        if hello.version != wire.VERSION or len(hello.nonce) != NONCE_BYTES:
            raise PeerError("the handshake has an unsupported version")
        challenge = wire.Challenge(*local, secrets.token_bytes(NONCE_BYTES), b"")
        session = _derive_session(secret, hello, challenge)
        self.challenge_sent_at = time.monotonic()
        self._send_handshake(challenge._replace(mac=_derive_key(session, "accepting")), deadline)
        proof = self._receive_handshake(wire.Proof, deadline)
        if not hmac.compare_digest(proof.mac, _derive_key(session, "connecting")):
            raise PeerError("the connecting host does not know the shared secret")
        self.peer = Identity(hello.host, hello.incarnation)
        self._send_key = _derive_key(session, "to connecting")
        self._receive_key = _derive_key(session, "to accepting")

    def _send_handshake(self, message: wire.Message, deadline: float) -> None:
        """Send a handshake message without a MAC of the frame; some have a field for a MAC."""
        payload = wire.encode(message)
        self._write(HEADER.pack(len(payload), FrameKind.MESSAGE) + payload, deadline)

    def _receive_handshake(self, kind: type[M], deadline: float) -> M:
        length, _ = HEADER.unpack(self._read(HEADER.size, deadline))
        if length > MAX_HANDSHAKE_BYTES:
            raise PeerError("a handshake message is too large")
        message = wire.decode(self._read(length, deadline))
        if not isinstance(message, kind):
            raise PeerError("received an unexpected message in the handshake")
        return message

    def _make_frame(self, kind: FrameKind, payload: bytes) -> bytes:
        mac = _compute_mac(self._send_key, self._sent_frames, kind, payload)
        self._sent_frames += 1
        return b"".join((HEADER.pack(len(payload), kind), payload, mac))

    def _can_write(self) -> bool:
        return bool(self._poll(select.POLLOUT, 0))

    def _write(self, data: bytes, deadline: float) -> None:
        view = memoryview(data)
        try:
            while view:
                try:
                    view = view[self.socket.send(view) :]
                except BlockingIOError:
                    self._wait(select.POLLOUT, deadline)
        except OSError as error:
            raise PeerError("the connection failed") from error
        finally:
            if view:
                # The rest of a frame can't be sent later: the other end would misinterpret it.
                self.shut_down()
        self.last_sent_at = time.monotonic()

    def _read(self, size: int, deadline: float) -> bytes:
        while len(self._buffer) < size:
            try:
                data = self.socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                self._wait(select.POLLIN, deadline)
                continue
            except OSError as error:
                raise PeerError("the connection failed") from error
            if not data:
                raise PeerError("the connection was closed")
            self._buffer += data
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        return taken

    def _wait(self, event: int, deadline: float) -> None:
        # Polled also when no time is left: if this process was paused until the deadline, the bytes
        # that arrived meanwhile are in the socket's buffer.
        remaining_s = max(0.0, deadline - time.monotonic())
        if not self._poll(event, remaining_s):
            raise PeerError("the peer did not respond in time")

    def _poll(self, event: int, timeout_s: float) -> bool:
        poll = select.poll()
        try:
            poll.register(self.socket, event)
        except ValueError as error:
            raise PeerError("the connection was closed") from error
        return bool(poll.poll(timeout_s * 1000))


def _derive_session(secret: bytes, hello: wire.Hello, challenge: wire.Challenge) -> bytes:
    """Derive the secret of one connection from the handshake messages of both ends."""
    digest = hashlib.sha256()
    for part in (wire.encode(hello), wire.encode(challenge._replace(mac=b""))):
        digest.update(MAC_PREFIX.pack(len(part), 0))
        digest.update(part)
    return hmac.digest(secret, digest.digest(), "sha256")


def _derive_key(session: bytes, purpose: str) -> bytes:
    return hmac.digest(session, purpose.encode(), "sha256")


def _compute_mac(key: bytes, count: int, kind: int, payload: bytes) -> bytes:
    return hmac.digest(key, MAC_PREFIX.pack(count, kind) + payload, "sha256")[:MAC_BYTES]
