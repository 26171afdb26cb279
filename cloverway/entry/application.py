"""CherryPy application around one handler: answers calls with bodies, streams or problems."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import cherrypy

from cloverway.entry import bodies
from cloverway.entry.caller_connection import (
    HTTP_1_0,
    PROBLEM_TYPE,
    CallerConnection,
    make_request_id,
)
from cloverway.entry.listener import CONNECTION_KEY, REQUEST_KEY
from cloverway.errors import Kind, Ran, RequestError
from cloverway.replies import Reply, Stream

log = logging.getLogger(__name__)

JSON_TYPE = "application/json"
FRAMING_HEADERS = frozenset(
    {"connection", "content-length", "content-type", "keep-alive", "transfer-encoding", "upgrade"}
)
KEY_HEADER = "Idempotency-Key"


class IncomingCall(NamedTuple):
    """One request as received from the listener."""

    id: str
    method: str
    path: str
    """Percent-decoded path."""
    target: str
    """Path and query, as received."""
    headers: Mapping[str, str]
    connection: CallerConnection
    http_request: Any
    """Request object of the HTTP server, which holds the state of the framing."""

    @property
    def is_http_1_0(self) -> bool:
        """Return whether the caller uses HTTP/1.0, which has no chunked framing."""
        return bool(self.http_request.response_protocol == HTTP_1_0)

    @property
    def arrived_at(self) -> float:
        """Return the monotonic time at which the head was complete.

        The wait for a thread counts against the deadline, because the caller waits as well.
        """
        return self.connection.head_received_at

    def get_header(self, name: str) -> str:
        """Return a header, or an empty string."""
        return self.headers.get(name, "")

    def read_body(
        self, limit: int, timeout_s: float, on_slow: Callable[[], object] | None = None
    ) -> bytes:
        """Read the body of at most `limit` bytes within `timeout_s` seconds; raise RequestError.

        `on_slow` is called if the body does not arrive promptly.
        """
        self.connection.limit_reading(timeout_s, on_slow)
        body = bodies.read_body(
            self.connection.rfile,
            self.headers.get("Content-Length"),
            self.http_request.chunked_read,
            limit,
        )
        self.connection.limit_reading(None)
        # From here on the connection can be reused for another request.
        self.http_request.body_is_read = True
        self.http_request.rfile.remaining = 0
        return body


Handler = Callable[[IncomingCall], Reply]


class CherryPyLog:
    """Redirects messages of CherryPy to this package's log, without an access log."""

    def error(
        self,
        msg: str = "",
        context: str = "",
        severity: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Log a message of CherryPy."""
        log.log(severity, "cherrypy", extra={"report": msg}, exc_info=traceback)

    def access(self) -> None:
        """Log nothing: `operations.reporting` logs a request once its outcome is known."""


class Responder:
    """Passes each CherryPy request to a handler; every failure becomes a problem document."""

    def __init__(self, host: str, handle: Handler, max_answer_bytes: int) -> None:
        self.close_connections = False
        """Whether to close each connection after its answer."""
        self._host = host
        self._handle = handle
        self._max_answer_bytes = max_answer_bytes

    def make_application(self) -> cherrypy.Application:
        """Return the WSGI application."""
        application = cherrypy.Application(None, script_name="", config={"/": self._make_config()})
        application.log = CherryPyLog()
        # Set on the class as well, for heads that are rejected before the configuration is applied.
        application.request_class = type(
            "Request",
            (cherrypy.Application.request_class,),
            {"show_tracebacks": False, "error_page": {"default": self._format_rejection}},
        )
        return application

    def _make_config(self) -> dict[str, Any]:
        return {
            "request.dispatch": self._dispatch,
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "request.error_response": self._respond_to_unhandled_error,
            "error_page.default": self._format_rejection,
            "response.headers.server": "cloverway",
        }

    def _dispatch(self, path: str) -> None:
        request = cherrypy.serving.request
        request.config = dict(request.app.config["/"])
        request.handler = self._respond

    def _respond(self) -> Iterable[bytes]:
        """Handle the current CherryPy request."""
        call = _read_call()
        if self.close_connections:
            call.http_request.close_connection = True
        _set_headers((("X-Request-Id", call.id), ("Cloverway-Host", self._host)))
        try:
            return self._make_body(call, self._handle(call))
        except RequestError as error:
            return self._make_problem(call, error)
        except Exception:
            log.exception("a request failed", extra={"request_id": call.id})
            return self._make_problem(call, RequestError(Kind.INTERNAL))

    def _make_body(self, call: IncomingCall, reply: Reply) -> Iterable[bytes]:
        """Set the head of a reply and return its body, as a list or as an iterator of chunks."""
        if reply.stream is None:
            _set_head(reply)
            return [reply.body]
        stream = reply.stream
        _run_at_end(stream.close)
        pieces = iter(stream)
        if call.is_http_1_0:
            body = self._buffer_stream(pieces)
            _set_head(reply)
            return [body]
        first = next(pieces, b"")
        _set_head(reply)
        cherrypy.serving.response.stream = True
        return _relay_stream(call, first, pieces, stream)

    def _buffer_stream(self, pieces: Iterator[bytes]) -> bytes:
        """Buffer a complete stream, for a caller that can't tell whether a stream is truncated."""
        body = bytearray()
        for piece in pieces:
            body += piece
            if len(body) > self._max_answer_bytes:
                raise RequestError(
                    Kind.TRUNCATED,
                    "the stream exceeds the size limit for HTTP/1.0 callers",
                    ran=Ran.YES,
                )
        return bytes(body)

    def _make_problem(self, call: IncomingCall, error: RequestError) -> Iterable[bytes]:
        """Set the head of a problem and return its body."""
        response = cherrypy.serving.response
        response.status = error.status
        response.headers["Content-Type"] = PROBLEM_TYPE
        if error.retry_after is not None:
            response.headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
        if not _is_body_read(call):
            # On a reused connection, the rest of the body would be parsed as the next request.
            call.http_request.close_connection = True
            call.connection.linger = True
        return [json.dumps(error.as_problem(call.id)).encode()]

    def _respond_to_unhandled_error(self) -> None:
        """Answer an unhandled exception, without a traceback for the caller."""
        response = cherrypy.serving.response
        response.status = 500
        response.headers["Content-Type"] = PROBLEM_TYPE
        response.body = [json.dumps(RequestError(Kind.INTERNAL).as_problem("")).encode()]

    def _format_rejection(self, status: str, message: str, **_: str) -> str:
        """Return the body for a head that CherryPy itself rejects."""
        response = cherrypy.serving.response
        error = RequestError(Kind.MALFORMED, message)
        response.status = error.status
        response.headers["Content-Type"] = PROBLEM_TYPE
        return json.dumps(error.as_problem(""))


def make_json_reply(document: Any, status: int = 200) -> Reply:
    """Return a reply with a JSON document."""
    return Reply(status, JSON_TYPE, json.dumps(document).encode())


def require_method(call: IncomingCall, *methods: str) -> None:
    """Raise RequestError METHOD_NOT_ALLOWED unless the call uses one of the methods."""
    if call.method not in methods:
        raise RequestError(Kind.METHOD_NOT_ALLOWED, f"use {' or '.join(methods)}")


def _read_call() -> IncomingCall:
    request = cherrypy.serving.request
    environ = request.wsgi_environ
    http_request = environ[REQUEST_KEY]
    return IncomingCall(
        id=make_request_id(),
        method=request.method,
        path=environ["PATH_INFO"],
        target=http_request.uri.decode("latin-1"),
        headers=request.headers,
        connection=environ[CONNECTION_KEY],
        http_request=http_request,
    )


def _run_at_end(callback: Callable[[], None]) -> None:
    """Register a callback that runs once the answer was written or aborted."""
    cherrypy.serving.request.hooks.attach("on_end_request", callback, failsafe=True)


def _set_headers(headers: Iterable[tuple[str, str]]) -> None:
    cherrypy.serving.response.headers.update(headers)


def _set_head(reply: Reply) -> None:
    cherrypy.serving.response.status = reply.status
    cherrypy.serving.response.headers["Content-Type"] = reply.content_type
    _set_headers(header for header in reply.headers if _is_safe_header(*header))


def _is_safe_header(name: str, text: str) -> bool:
    """Return whether a header does not affect the framing and can't inject other headers."""
    return name.lower() not in FRAMING_HEADERS and name.isascii() and text.isprintable()


def _is_body_read(call: IncomingCall) -> bool:
    """Return whether the body was read, so that the next request starts after it."""
    if call.http_request.body_is_read:
        return True
    return not call.http_request.chunked_read and not call.http_request.rfile.remaining


def _relay_stream(
    call: IncomingCall, first: bytes, pieces: Iterator[bytes], stream: Stream
) -> Iterator[bytes]:
    """Yield the first piece to the server, then relay the rest to the caller's socket.

    `pieces` stays referenced until the end: if its generator were dropped, it would close the
    stream.
    """
    yield first
    try:
        call.connection.wfile.flush()
        stream.relay_to(call.connection.socket)
        call.connection.limit_reading(None)
    except Exception as error:
        _abort_response(call, error)
    del pieces


def _abort_response(call: IncomingCall, error: Exception) -> None:
    """Close the connection without the last chunk, so that the caller detects the truncation."""
    call.http_request.chunked_write = False
    call.http_request.close_connection = True
    if isinstance(error, RequestError | OSError):
        log.info("stream to the caller aborted", extra={"request_id": call.id, "cause": str(error)})
    else:
        log.error(
            "unexpected error in a stream to the caller",
            extra={"request_id": call.id},
            exc_info=error,
        )
