"""The callers' client: ask which entry hosts to use, call one, and know whether an answer is whole.

Every exchange has a connection of its own. A pooled one may have gone silent or been closed by
the other end, and then nobody can tell whether a request was sent.
"""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from cloverway.errors import CallError, Kind, Ran

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2.0
LOOKUP_TIMEOUT_S = 3.0
END_OF_STREAM = "[DONE]"
REQUEST_ID = "x-request-id"
LARGEST_ANSWER = 64 * 1024 * 1024
MOVE_ON = (Kind.LEAVING, Kind.STARTING)
"""Kinds that concern one host only: another one is asked at once."""
UNREACHABLE = (Kind.NO_CAPACITY, Kind.TIMED_OUT)
"""Kinds that concern one host only where no host said when to come back."""
WAIT = (Kind.OVERLOADED, Kind.TEAM_LIMIT, Kind.NO_CAPACITY, Kind.ENDPOINT_REFUSED)
"""Kinds that pass: a new attempt makes sense after Retry-After."""


class EntryHost(NamedTuple):
    """An entry host that callers may use now."""

    name: str
    address: str
    region: str = ""
    domain: str = ""


class HostList(NamedTuple):
    """The entry hosts to use, best first."""

    hosts: tuple[EntryHost, ...]
    lifetime_s: float = 0.0
    """How long the list may be used before it is asked for again."""


class Call(NamedTuple):
    """What is sent to an entry host."""

    path: str
    body: bytes = b""
    profile: str = ""
    method: str = "POST"
    content_type: str = "application/json"
    deadline_ms: int = 0
    """Time for the whole answer in milliseconds; 0 leaves it to the profile."""
    key: str = ""
    """An idempotency key; a repeat carries the same one."""

    @classmethod
    def for_chat(
        cls,
        profile: str,
        messages: Sequence[Mapping[str, str]],
        *,
        stream: bool = False,
        **fields: Any,
    ) -> Call:
        """Make a chat completion call; the profile names the model."""
        document = {"messages": list(messages), "stream": stream, **fields}
        return cls("/v1/chat/completions", json.dumps(document).encode(), profile)

    @classmethod
    def for_service(cls, profile: str, service: str, path: str, document: Any) -> Call:
        """Make a call of a plain service."""
        body = json.dumps(document).encode()
        return cls(f"/v1/services/{service}/{path.lstrip('/')}", body, profile)


class Answer:
    """An answer whose head has arrived; iterate over it for its pieces.

    Iterating raises CallError with Kind.TRUNCATED when the answer ends before it is whole.
    """

    def __init__(
        self, response: urllib3.BaseHTTPResponse, connection: urllib3.HTTPConnectionPool, call: Call
    ) -> None:
        self.status = response.status
        self.content_type = response.headers.get("Content-Type", "")
        self.headers: dict[str, str] = {
            name.lower(): value for name, value in response.headers.items()
        }
        self.path = call.path
        self.key = call.key
        self.host = _join(connection)
        self._response = response
        self._connection = connection

    @property
    def request_id(self) -> str:
        """The id by which operators find the request in their logs."""
        return self.headers.get(REQUEST_ID, "")

    @property
    def is_stream(self) -> bool:
        """Whether the answer comes as server-sent events."""
        return self.content_type.startswith("text/event-stream")

    def __iter__(self) -> Iterator[bytes]:
        """Give the pieces of the body; raise CallError when the answer was cut."""
        try:
            yield from self._iterate_framed()
        except (HTTPError, OSError) as error:
            raise self._cut(f"the connection ended midway ({type(error).__name__})") from error
        finally:
            self.close()

    def read(self) -> bytes:
        """Give the whole body; raise CallError when the answer was cut or is too large."""
        pieces: list[bytes] = []
        size = 0
        for piece in self:
            size += len(piece)
            if size > LARGEST_ANSWER:
                raise self._cut("the answer is larger than this client takes")
            pieces.append(piece)
        return b"".join(pieces)

    def read_text(self) -> Iterator[str]:
        """Give the generated text of a stream piece by piece, or of a whole answer at once.

        Raises CallError when a stream ends without its closing event.
        """
        if not self.is_stream:
            yield extract_text(json.loads(self.read()))
            return
        ended = False
        # Read on after the closing event: without its last chunk the stream was cut, too.
        for data in parse_events(iter(self)):
            ended = ended or data == END_OF_STREAM
            if not ended:
                yield self._read_event(data)
        if not ended:
            raise self._cut("the stream ended without its closing event")

    def close(self) -> None:
        """Close the connection; the host then cancels what still runs."""
        self._response.close()
        self._connection.close()

    def _iterate_framed(self) -> Iterator[bytes]:
        chunked = "chunked" in self.headers.get("transfer-encoding", "")
        if not chunked and "content-length" not in self.headers:
            # Without framing, a lost connection looks just like the end of the answer.
            raise self._cut("the answer has no framing, so its end can't be known")
        if chunked:
            yield from self._response.read_chunked()
        else:
            yield from self._response.stream(64 * 1024)

    def _read_event(self, data: str) -> str:
        try:
            event = json.loads(data)
        except ValueError as error:
            raise self._cut("the stream has an event that is not JSON") from error
        problem = event.get("error") if isinstance(event, dict) else None
        if isinstance(problem, dict):
            raise read_problem(problem, 0, self.headers, self.key, self.host)
        return extract_text(event)

    def _cut(self, detail: str) -> CallError:
        return CallError(
            Kind.TRUNCATED, detail, key=self.key, request_id=self.request_id, host=self.host
        )


class Client:
    """Calls on behalf of one team."""

    def __init__(
        self,
        addresses: Sequence[str],
        caller_key: str,
        *,
        patience_s: float = 30.0,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._addresses = tuple(addresses)
        self._caller_key = caller_key
        self._patience_s = patience_s
        """How long attempts and waits between them may take until the last one starts."""
        self._clock = clock
        self._sleep = sleep
        self._list = HostList(())
        self._listed_at = float("-inf")

    def list_hosts(self) -> HostList:
        """Ask known addresses in turn which entry hosts to use; raise CallError if none says."""
        now = self._clock()
        if now < self._listed_at + self._list.lifetime_s:
            return self._list
        known = [host.address for host in self._list.hosts]
        refusal = CallError(Kind.NO_CAPACITY, "no address of an entry host was given", ran=Ran.NO)
        for address in dict.fromkeys([*known, *self._addresses]):
            try:
                document = self._ask(address, "GET", "/v1/hosts")
            except CallError as error:
                refusal = error
                continue
            self._list = read_host_list(document)
            self._listed_at = now
            return self._list
        raise refusal

    def issue_key(self, address: str) -> str:
        """Ask an entry host for an idempotency key."""
        document = self._ask(address, "POST", "/v1/idempotency-keys")
        keys = document.get("keys") if isinstance(document, dict) else None
        if not keys or not isinstance(keys, list):
            raise CallError(Kind.INTERNAL, "the host gave no key", ran=Ran.NO, host=address)
        return str(keys[0])

    def call(self, call: Call, *, once: bool = False) -> Answer:
        """Send a call and give its answer as soon as its head arrives.

        With `once`, each attempt carries a new idempotency key from the host that is asked. A new
        attempt is made only after the promise that the one before did not run. Raises CallError.
        """
        give_up_at = self._clock() + self._patience_s
        hosts = [host.address for host in self.list_hosts().hosts] or list(self._addresses)
        attempt = 0
        while True:
            address = hosts[attempt % len(hosts)]
            try:
                return self._attempt(address, call, once)
            except CallError as error:
                wait = decide_wait(error, attempt, len(hosts), self._clock(), give_up_at)
                if wait is None:
                    raise
                log.info("a call is tried again", extra={"kind": error.kind, "wait_s": wait})
            if wait > 0:
                self._sleep(wait)
            attempt += 1

    def _attempt(self, address: str, call: Call, once: bool) -> Answer:
        if once and not call.key:
            call = call._replace(key=self.issue_key(address))
        try:
            return self._send(address, call)
        except CallError as error:
            if error.kind is not Kind.KEY_REQUIRED:
                raise
        return self._send(address, call._replace(key=self.issue_key(address)))

    def _send(self, address: str, call: Call) -> Answer:
        connection = _connect(address, call.deadline_ms / 1000 or self._patience_s)
        response = _exchange(connection, call, self._headers(call))
        answer = Answer(response, connection, call)
        if answer.status < 400:
            return answer
        raise _refusal(answer)

    def _headers(self, call: Call) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._caller_key}",
            "Content-Type": call.content_type,
            "Cloverway-Profile": call.profile,
            "Cloverway-Deadline-Ms": str(call.deadline_ms) if call.deadline_ms else "",
            "Idempotency-Key": call.key,
        }
        return {name: value for name, value in headers.items() if value}

    def _ask(self, address: str, method: str, path: str) -> Any:
        try:
            return json.loads(ask(address, Call(path, method=method), self._headers(Call(path))))
        except ValueError as error:
            raise CallError(
                Kind.INTERNAL, f"{path} is not JSON", ran=Ran.NO, host=address
            ) from error
        except CallError as error:
            # A lookup runs nothing, so whatever became of it, the call itself was not sent.
            raise CallError(
                error.kind,
                error.detail,
                ran=Ran.NO,
                retry_after=error.retry_after,
                request_id=error.request_id,
                host=address,
            ) from error


def ask(address: str, call: Call, headers: Mapping[str, str]) -> bytes:
    """Send one call, without a new attempt, and give its whole answer; raise CallError."""
    connection = _connect(address, LOOKUP_TIMEOUT_S)
    answer = Answer(_exchange(connection, call, headers), connection, call)
    if answer.status >= 400:
        raise _refusal(answer)
    return answer.read()


def decide_wait(
    error: CallError, attempt: int, hosts: int, now: float, give_up_at: float
) -> float | None:
    """Decide how many seconds to wait before the next attempt, or None to give up."""
    if error.ran is not Ran.NO:
        return None
    unreachable = error.kind in UNREACHABLE and error.retry_after is None
    if error.kind in MOVE_ON or unreachable:
        if attempt + 1 < hosts:
            return 0.0
    elif error.kind not in WAIT:
        return None
    wait = error.retry_after if error.retry_after is not None else 1.0
    return wait if now + wait < give_up_at else None


def read_host_list(document: Any) -> HostList:
    """Read the answer to GET /v1/hosts; raise CallError when it has another form."""
    try:
        hosts = tuple(
            EntryHost(
                str(host.get("host", "")),
                str(host["address"]),
                str(host.get("region", "")),
                str(host.get("domain", "")),
            )
            for host in document["hosts"]
        )
        return HostList(hosts, float(document.get("lifetime_s", 0.0)))
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise CallError(Kind.INTERNAL, "the host list has an unknown form", ran=Ran.NO) from error


def read_problem(
    problem: Mapping[str, Any], status: int, headers: Mapping[str, str], key: str, host: str
) -> CallError:
    """Read problem+json; what it does not say plainly counts as an unknown outcome."""
    kinds = {str(kind): kind for kind in Kind}
    outcomes = {str(ran): ran for ran in Ran}
    kind = kinds.get(str(problem.get("kind")), Kind.INTERNAL)
    detail = problem.get("detail") or problem.get("title") or f"the host answered {status}"
    return CallError(
        kind,
        str(detail),
        ran=outcomes.get(str(problem.get("ran")), Ran.UNKNOWN),
        retry_after=_read_seconds(problem.get("retry_after_s", headers.get("retry-after"))),
        key=key,
        request_id=str(problem.get("request_id", headers.get(REQUEST_ID, ""))),
        host=host,
    )


def parse_events(pieces: Iterator[bytes]) -> Iterator[str]:
    """Give the data of each server-sent event; an event without its blank line is left out."""
    buffer = b""
    for piece in pieces:
        buffer = (buffer + piece).replace(b"\r\n", b"\n")
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            lines = [line for line in event.split(b"\n") if line.startswith(b"data:")]
            if lines:
                yield "\n".join(line[5:].strip().decode("utf-8", "replace") for line in lines)


def extract_text(document: Any) -> str:
    """Give the text of a completion or of one event of a stream."""
    choices = document.get("choices") if isinstance(document, dict) else None
    if not choices:
        return ""
    choice = choices[0]
    part = choice.get("delta") or choice.get("message") or {}
    return str(part.get("content") or choice.get("text") or "")


def _connect(address: str, read_timeout_s: float) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)
    return urllib3.HTTPConnectionPool(host, int(port), timeout=timeout, retries=False)


def _join(connection: urllib3.HTTPConnectionPool) -> str:
    return f"{connection.host}:{connection.port}"


def _exchange(
    connection: urllib3.HTTPConnectionPool, call: Call, headers: Mapping[str, str]
) -> urllib3.BaseHTTPResponse:
    """Send a call and wait for the head of its answer."""
    host = _join(connection)
    try:
        return connection.request(
            call.method,
            call.path,
            body=call.body or None,
            headers=headers,
            preload_content=False,
            redirect=False,
            retries=False,
        )
    except (NewConnectionError, ConnectTimeoutError) as error:
        connection.close()
        raise CallError(
            Kind.NO_CAPACITY, "the host can't be reached", ran=Ran.NO, key=call.key, host=host
        ) from error
    except (HTTPError, OSError) as error:
        connection.close()
        raise CallError(
            Kind.TIMED_OUT,
            f"the host gave no answer ({type(error).__name__})",
            key=call.key,
            host=host,
        ) from error


def _refusal(answer: Answer) -> CallError:
    """Read the body of a failed answer."""
    try:
        problem = json.loads(answer.read())
    except (ValueError, CallError):
        problem = {}
    if not isinstance(problem, dict):
        problem = {}
    return read_problem(problem, answer.status, answer.headers, answer.key, answer.host)


def _read_seconds(value: Any) -> float | None:
    try:
        return max(0.0, float(value))
    except (TypeError, ValueError):
        return None
