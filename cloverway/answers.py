"""Answers as the callers' client reads them: truncation is detected, and errors are parsed."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from cloverway.errors import CallError, Kind, Ran

END_OF_STREAM = "[DONE]"
REQUEST_ID = "x-request-id"
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_EVENT_BYTES = 4 * 1024 * 1024


class Answer:
    """An answer whose header has arrived; iterate over it to read the body in pieces.

    Iterating raises CallError with Kind.TRUNCATED if the answer ends before it is complete.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        connection: urllib3.HTTPConnectionPool,
        path: str,
        key: str = "",
    ) -> None:
        self.status = response.status
        self.content_type = response.headers.get("Content-Type", "")
        self.headers: dict[str, str] = {
            name.lower(): value for name, value in response.headers.items()
        }
        self.path = path
        self.key = key
        self.host = join_address(connection)
        self._response = response
        self._connection = connection

    @property
    def request_id(self) -> str:
        """The id of the request in the logs of the hosts."""
        return self.headers.get(REQUEST_ID, "")

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of server-sent events."""
        return self.content_type.startswith("text/event-stream")

    def __iter__(self) -> Iterator[bytes]:
        """Yield the pieces of the body; raise CallError if the answer was truncated."""
        try:
            yield from self._iterate_framed()
        except (HTTPError, OSError) as error:
            raise self._make_truncated_error(
                f"the connection closed before the end of the answer ({type(error).__name__})"
            ) from error
        finally:
            self.close()

    def read(self) -> bytes:
        """Return the complete body; raise CallError if it was truncated or is too large."""
        pieces: list[bytes] = []
        size = 0
        for piece in self:
            size += len(piece)
            if size > MAX_ANSWER_BYTES:
                raise self._make_truncated_error("the answer exceeds the size limit of this client")
            pieces.append(piece)
        return b"".join(pieces)

    def read_text(self) -> Iterator[str]:
        """Yield the generated text of a stream piece by piece, or of a plain answer at once.

        Raises CallError if a stream ends without its closing event.
        """
        if not self.is_stream:
            yield self._extract_event_text(self.read().decode("utf-8", "replace"))
            return
        is_done = False
        # Read beyond the closing event: without the last chunk, the stream is truncated as well.
        for data in parse_events(iter(self)):
            is_done = is_done or data == END_OF_STREAM
            if not is_done:
                yield self._extract_event_text(data)
        if not is_done:
            raise self._make_truncated_error("the stream ended without its closing event")

    def close(self) -> None:
        """Close the connection; the host then cancels a request that still runs."""
        self._response.close()
        self._connection.close()

    def _iterate_framed(self) -> Iterator[bytes]:
        chunked = "chunked" in self.headers.get("transfer-encoding", "")
        if not chunked and "content-length" not in self.headers:
            # Without framing, a lost connection looks like the end of the answer.
            raise self._make_truncated_error(
                "the answer has neither Content-Length nor chunked framing, so its end is unknown"
            )
        if chunked:
            yield from self._response.read_chunked()
        else:
            yield from self._response.stream(64 * 1024)

    def _extract_event_text(self, data: str) -> str:
        try:
            event = json.loads(data)
        except ValueError as error:
            raise self._make_truncated_error("the answer is not JSON") from error
        problem = event.get("error") if isinstance(event, dict) else None
        if isinstance(problem, dict):
            raise parse_problem(problem, 0, self.headers, self.key, self.host)
        return extract_text(event)

    def _make_truncated_error(self, detail: str) -> CallError:
        return CallError(
            Kind.TRUNCATED, detail, key=self.key, request_id=self.request_id, host=self.host
        )


def read_error_answer(answer: Answer) -> CallError:
    """Read an error answer; return the exception for it."""
    try:
        problem = json.loads(answer.read())
    except (ValueError, CallError):
        problem = {}
    if not isinstance(problem, dict):
        problem = {}
    return parse_problem(problem, answer.status, answer.headers, answer.key, answer.host)


def parse_problem(
    problem: Mapping[str, Any], status: int, headers: Mapping[str, str], key: str, host: str
) -> CallError:
    """Convert problem+json to an exception; a missing or invalid `ran` counts as unknown."""
    kinds = {str(kind): kind for kind in Kind}
    outcomes = {str(ran): ran for ran in Ran}
    kind = kinds.get(str(problem.get("kind")), Kind.INTERNAL)
    detail = problem.get("detail") or problem.get("title") or f"the host answered {status}"
    return CallError(
        kind,
        str(detail),
        ran=outcomes.get(str(problem.get("ran")), Ran.UNKNOWN),
        retry_after=_parse_seconds(problem.get("retry_after_s", headers.get("retry-after"))),
        key=key,
        request_id=str(problem.get("request_id", headers.get(REQUEST_ID, ""))),
        host=host,
    )


def parse_events(pieces: Iterator[bytes]) -> Iterator[str]:
    """Yield the data of each server-sent event; ignore a last one without its blank line."""
    buffer = b""
    for piece in pieces:
        buffer = (buffer + piece).replace(b"\r\n", b"\n")
        *events, buffer = buffer.split(b"\n\n")
        if len(buffer) > MAX_EVENT_BYTES:
            raise CallError(
                Kind.TRUNCATED, "an event of the stream exceeds the size limit of this client"
            )
        for event in events:
            lines = [line for line in event.split(b"\n") if line.startswith(b"data:")]
            if lines:
                yield "\n".join(line[5:].strip().decode("utf-8", "replace") for line in lines)


def extract_text(document: Any) -> str:
    """Return the text of a completion or of one event of a stream."""
    choices = document.get("choices") if isinstance(document, dict) else None
    if not choices:
        return ""
    choice = choices[0]
    part = choice.get("delta") or choice.get("message") or {}
    return str(part.get("content") or choice.get("text") or "")


def join_address(connection: urllib3.HTTPConnectionPool) -> str:
    """Return the remote address as IP:PORT."""
    return f"{connection.host}:{connection.port}"


def _parse_seconds(value: Any) -> float | None:
    try:
        return max(0.0, float(value))
    except (TypeError, ValueError):
        return None
