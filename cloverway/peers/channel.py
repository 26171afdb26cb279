"""Authenticated frames over one TCP connection between two hosts.

Both ends prove that they know the shared secret by answering with the other's random nonce. Every
later frame carries a MAC over a counter and its bytes, under a key of this connection and this
direction: a frame that was changed, left out, replayed or sent back does not pass.
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
"""Longest frame before the other end has proved who it is."""
MAX_FRAME_BYTES = 17 * 1024 * 1024
"""Longest frame after that: the largest recorded answer and what goes with it."""
RECEIVE_BYTES = 64 * 1024


M = TypeVar("M", wire.Hello, wire.Challenge, wire.Proof)


class FrameKind(IntEnum):
    """What a frame holds."""

    MESSAGE = 0
    DATA = 1
    """Bytes of a body."""
    PING = 2
    """Nothing: the sender is alive and still at work."""


class Frame(NamedTuple):
    """One frame that passed its MAC."""

    kind: FrameKind
    payload: bytes


class Identity(NamedTuple):
    """One process of one host."""

    host: str
    incarnation: str


class Channel:
    """One connection after, or during, its handshake.

    Frames may be sent by several threads; one thread at a time may receive.
    """

    def __init__(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        if connection.family in (socket.AF_INET, socket.AF_INET6):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = connection
        self.peer = Identity("", "")
        self.challenge_sent_at = float("-inf")
        """When this end sent its nonce; what the peer sends later was made later."""
        self.last_sent_at = time.monotonic()
        self._send_lock = threading.Lock()
        self._buffer = bytearray()
        self._send_key = b""
        self._receive_key = b""
        self._sent_frames = 0
        self._received_frames = 0

    @classmethod
    def connect(
        cls, address: str, local: Identity, wanted: str, secret: bytes, timeout_s: float
    ) -> Channel:
        """Open a connection to a host and authenticate it; raise PeerError within the time."""
        deadline = time.monotonic() + timeout_s
        try:
            connection = socket.create_connection(split_address(address), timeout_s)
        except OSError as error:
            raise PeerError(f"{wanted} can't be reached") from error
        channel = cls(connection)
        try:
            channel._start_handshake(local, wanted, secret, deadline)
        except BaseException:
            channel.close()
            raise
        return channel

    @classmethod
    def accept(
        cls, connection: socket.socket, local: Identity, secret: bytes, timeout_s: float
    ) -> Channel:
        """Authenticate a host that connected; raise PeerError within the time."""
        channel = cls(connection)
        try:
            channel._accept_handshake(local, secret, time.monotonic() + timeout_s)
        except BaseException:
            channel.close()
            raise
        return channel

    def send_message(self, message: wire.Message, deadline: float) -> None:
        """Send a message; raise PeerError when it can't be sent by the deadline."""
        self.send(FrameKind.MESSAGE, wire.encode(message), deadline)

    def send(self, kind: FrameKind, payload: bytes, deadline: float) -> None:
        """Send a frame; raise PeerError when it can't be sent by the deadline."""
        if len(payload) > MAX_FRAME_BYTES:
            raise PeerError("the frame is too large")
        with self._send_lock:
            frame = self._make_frame(kind, payload)
            self._write(frame, deadline)

    def ping(self) -> None:
        """Show that this end is alive, unless a frame is being sent or the socket is full."""
        if not self._send_lock.acquire(blocking=False):
            return
        try:
            if self._can_write():
                self._write(self._make_frame(FrameKind.PING, b""), time.monotonic())
        finally:
            self._send_lock.release()

    def receive(self, deadline: float) -> Frame:
        """Give the next frame; raise PeerError when it is not whole and true by the deadline."""
        length, kind = HEADER.unpack(self._read(HEADER.size, deadline))
        if length > MAX_FRAME_BYTES:
            raise PeerError("a frame is too large")
        payload = self._read(length, deadline)
        mac = self._read(MAC_BYTES, deadline)
        expected = _compute_mac(self._receive_key, self._received_frames, kind, payload)
        if not hmac.compare_digest(mac, expected):
            raise PeerError("a frame is not from the peer")
        self._received_frames += 1
        try:
            return Frame(FrameKind(kind), payload)
        except ValueError as error:
            raise PeerError("a frame is of an unknown kind") from error

    def receive_message(self, deadline: float) -> wire.Message:
        """Give the next message, past pings; raise PeerError when none comes by the deadline."""
        while True:
            frame = self.receive(deadline)
            if frame.kind is FrameKind.MESSAGE:
                return wire.decode(frame.payload)
            if frame.kind is FrameKind.DATA:
                raise PeerError("a body came where a message was due")

    @property
    def has_input(self) -> bool:
        """Whether bytes were read that no frame has taken yet."""
        return bool(self._buffer)

    @property
    def broken(self) -> bool:
        """Whether the other end has closed, or the connection has failed."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True

    def shut_down(self) -> None:
        """End the connection from another thread: the owner's calls fail."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()

    def _start_handshake(
        self, local: Identity, wanted: str, secret: bytes, deadline: float
    ) -> None:
        hello = wire.Hello(
            wire.VERSION, local.host, local.incarnation, wanted, secrets.token_bytes(NONCE_BYTES)
        )
        self._send_handshake(hello, deadline)
        challenge = self._receive_handshake(wire.Challenge, deadline)
        session = _derive_session(secret, hello, challenge)
        if not hmac.compare_digest(challenge.mac, _derive_key(session, "accepting")):
            raise PeerError(f"{wanted} does not know the secret")
        if challenge.host != wanted:
            raise PeerError(f"{wanted} is not at this address")
        self._send_handshake(wire.Proof(_derive_key(session, "connecting")), deadline)
        self.peer = Identity(challenge.host, challenge.incarnation)
        self._send_key = _derive_key(session, "to accepting")
        self._receive_key = _derive_key(session, "to connecting")

    def _accept_handshake(self, local: Identity, secret: bytes, deadline: float) -> None:
        hello = self._receive_handshake(wire.Hello, deadline)
        if hello.version != wire.VERSION or len(hello.nonce) != NONCE_BYTES:
            raise PeerError("the greeting is of another version")
        challenge = wire.Challenge(*local, secrets.token_bytes(NONCE_BYTES), b"")
        session = _derive_session(secret, hello, challenge)
        self.challenge_sent_at = time.monotonic()
        self._send_handshake(challenge._replace(mac=_derive_key(session, "accepting")), deadline)
        proof = self._receive_handshake(wire.Proof, deadline)
        if not hmac.compare_digest(proof.mac, _derive_key(session, "connecting")):
            raise PeerError("the connecting host does not know the secret")
        self.peer = Identity(hello.host, hello.incarnation)
        self._send_key = _derive_key(session, "to connecting")
        self._receive_key = _derive_key(session, "to accepting")

    def _send_handshake(self, message: wire.Message, deadline: float) -> None:
        """Send a message of the handshake; its MAC, if it needs one, is a field of its own."""
        payload = wire.encode(message)
        self._write(HEADER.pack(len(payload), FrameKind.MESSAGE) + payload, deadline)

    def _receive_handshake(self, kind: type[M], deadline: float) -> M:
        length, _ = HEADER.unpack(self._read(HEADER.size, deadline))
        if length > MAX_HANDSHAKE_BYTES:
            raise PeerError("a greeting is too large")
        message = wire.decode(self._read(length, deadline))
        if not isinstance(message, kind):
            raise PeerError("the peer does not keep to the handshake")
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
                # The rest of a frame can't follow later: the other end would misread it.
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
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0 or not self._poll(event, remaining_s):
            raise PeerError("the peer is silent")

    def _poll(self, event: int, timeout_s: float) -> bool:
        poll = select.poll()
        try:
            poll.register(self.socket, event)
        except ValueError as error:
            raise PeerError("the connection was closed") from error
        return bool(poll.poll(timeout_s * 1000))


def _derive_session(secret: bytes, hello: wire.Hello, challenge: wire.Challenge) -> bytes:
    """Derive the secret of one connection from all that both ends have said."""
    digest = hashlib.sha256()
    for part in (wire.encode(hello), wire.encode(challenge._replace(mac=b""))):
        digest.update(MAC_PREFIX.pack(len(part), 0))
        digest.update(part)
    return hmac.digest(secret, digest.digest(), "sha256")


def _derive_key(session: bytes, purpose: str) -> bytes:
    return hmac.digest(session, purpose.encode(), "sha256")


def _compute_mac(key: bytes, count: int, kind: int, payload: bytes) -> bytes:
    return hmac.digest(key, MAC_PREFIX.pack(count, kind) + payload, "sha256")[:MAC_BYTES]
