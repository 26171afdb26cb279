"""The callers' client: look up the entry hosts, call one, and detect truncated answers.

Each call uses a new connection. A pooled one may be dead or already closed by the host, and then
the client can't know whether its request was received.
"""

from __future__ import annotations

import json
import logging
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from cloverway.answers import Answer, join_address, read_error_answer
from cloverway.errors import CallError, Kind, Ran

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2.0
LOOKUP_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 600.0
"""Maximum wait in seconds for the next byte of an answer to a call without a deadline."""
DEADLINE_GRACE_S = 2.0
"""Seconds allowed for the host's answer to arrive after the deadline of a call."""
MIN_WAIT_S = 0.1
KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 20),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)
"""Keepalive probes that close a dead connection within 35 s, however long an answer takes."""
NEXT_HOST_KINDS = (Kind.LEAVING, Kind.STARTING)
"""Errors of one host only: the next host is tried at once."""
RETRY_LATER_KINDS = (Kind.OVERLOADED, Kind.TEAM_LIMIT, Kind.NO_CAPACITY, Kind.ENDPOINT_REFUSED)
"""Temporary errors: the call is retried after Retry-After."""


class EntryHost(NamedTuple):
    """An entry host that callers may use at present."""

    name: str
    address: str
    region: str = ""
    domain: str = ""


class HostList(NamedTuple):
    """The entry hosts to use, best first."""

    hosts: tuple[EntryHost, ...]
    lifetime_s: float = 0.0
    """Seconds for which the list may be used before it is requested again."""


class Call(NamedTuple):
    """A call to an entry host."""

    path: str
    body: bytes = b""
    profile: str = ""
    method: str = "POST"
    content_type: str = "application/json"
    deadline_ms: int = 0
    """Time for the complete answer in milliseconds; 0 uses the deadline of the profile."""
    key: str = ""
    """An idempotency key; a repeated call carries the same key."""

    @classmethod
    def for_chat(
        cls,
        profile: str,
        messages: Sequence[Mapping[str, str]],
        *,
        stream: bool = False,
        **fields: Any,
    ) -> Call:
        """Return a chat completion call; the profile selects the model."""
        document = {"messages": list(messages), "stream": stream, **fields}
        return cls("/v1/chat/completions", json.dumps(document).encode(), profile)

    @classmethod
    def for_service(cls, profile: str, service: str, path: str, document: Any) -> Call:
        """Return a call to a plain service."""
        body = json.dumps(document).encode()
        return cls(f"/v1/services/{service}/{path.lstrip('/')}", body, profile)


class Client:
    """Sends calls on behalf of one team."""

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
        self._retry_timeout_s = patience_s
        """Seconds from the first attempt until the last one may start."""
        self._clock = clock
        self._sleep = sleep
        self._host_list = HostList(())
        self._host_list_read_at = float("-inf")

    def list_hosts(self) -> HostList:
        """Return the entry hosts to use, from the first address that answers; raise CallError."""
        now = self._clock()
        if now < self._host_list_read_at + self._host_list.lifetime_s:
            return self._host_list
        host_addresses = [host.address for host in self._host_list.hosts]
        refusal = CallError(Kind.NO_CAPACITY, "no address of an entry host was given", ran=Ran.NO)
        for address in dict.fromkeys([*host_addresses, *self._addresses]):
            try:
                document = self._ask(address, "GET", "/v1/hosts")
            except CallError as error:
                refusal = error
                continue
            self._host_list = read_host_list(document)
            self._host_list_read_at = now
            return self._host_list
        raise refusal

    def issue_key(self, address: str) -> str:
        """Ask an entry host for an idempotency key."""
        document = self._ask(address, "POST", "/v1/idempotency-keys")
        keys = document.get("keys") if isinstance(document, dict) else None
        if not keys or not isinstance(keys, list):
            raise CallError(Kind.INTERNAL, "the host issued no key", ran=Ran.NO, host=address)
        return str(keys[0])

    def call(self, call: Call, *, once: bool = False) -> Answer:
        """Send a call and return its answer as soon as the header arrives; raise CallError.

        With `once`, each attempt carries a new idempotency key from the host that is called. A new
        attempt is made only if the host guarantees that the previous one did not run.
        """
        give_up_at = self._clock() + self._retry_timeout_s
        tried: list[str] = []
        while True:
            hosts = [host.address for host in self.list_hosts().hosts] or list(self._addresses)
            untried = [address for address in hosts if address not in tried] or hosts
            try:
                return self._attempt(untried[0], call, once)
            except CallError as error:
                wait = decide_wait(error, len(untried) > 1, self._clock(), give_up_at)
                if wait is None:
                    raise
                log.info("retrying a call", extra={"kind": error.kind, "wait_s": wait})
            tried.append(untried[0])
            if wait > 0:
                self._sleep(wait)
                tried.clear()

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
        connection = _connect(address, _choose_timeout(call))
        response = _exchange(connection, call, self._make_headers(call))
        answer = Answer(response, connection, call.path, call.key)
        if answer.status < 400:
            return answer
        raise read_error_answer(answer)

    def _make_headers(self, call: Call) -> dict[str, str]:
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
            return json.loads(
                ask(address, Call(path, method=method), self._make_headers(Call(path)))
            )
        except ValueError as error:
            raise CallError(
                Kind.INTERNAL, f"{path} is not JSON", ran=Ran.NO, host=address
            ) from error
        except CallError as error:
            # This request runs nothing at an endpoint, and the call itself was not sent yet.
            raise CallError(
                error.kind,
                error.detail,
                ran=Ran.NO,
                retry_after=error.retry_after,
                request_id=error.request_id,
                host=address,
                reached=error.reached,
            ) from error


def ask(address: str, call: Call, headers: Mapping[str, str]) -> bytes:
    """Send one call without retries and return its complete answer; raise CallError."""
    connection = _connect(address, LOOKUP_TIMEOUT_S)
    answer = Answer(_exchange(connection, call, headers), connection, call.path)
    if answer.status >= 400:
        raise read_error_answer(answer)
    return answer.read()


def decide_wait(error: CallError, others: bool, now: float, give_up_at: float) -> float | None:
    """Return the seconds to wait before the next attempt, or None to give up.

    `others` is whether there is a host that was not tried yet.
    """
    if error.ran is not Ran.NO:
        return None
    if error.kind in NEXT_HOST_KINDS or not error.reached:
        if others:
            return 0.0
    elif error.kind not in RETRY_LATER_KINDS:
        return None
    wait = max(MIN_WAIT_S, error.retry_after if error.retry_after is not None else 1.0)
    return wait if now + wait < give_up_at else None


def read_host_list(document: Any) -> HostList:
    """Parse the answer to GET /v1/hosts; raise CallError if its form is invalid."""
    try:
        hosts = tuple(
            EntryHost(
                str(host.get("name", "")),
                str(host["address"]),
                str(host.get("region", "")),
                str(host.get("domain", "")),
            )
            for host in document["hosts"]
        )
        return HostList(hosts, float(document.get("lifetime_s", 0.0)))
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise CallError(Kind.INTERNAL, "the host list has an invalid form", ran=Ran.NO) from error


def _choose_timeout(call: Call) -> float:
    """Return the seconds to wait for the next byte of an answer."""
    return call.deadline_ms / 1000 + DEADLINE_GRACE_S if call.deadline_ms else ANSWER_TIMEOUT_S


def _connect(address: str, read_timeout_s: float) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)
    options = [*HTTPConnection.default_socket_options, *KEEPALIVE]
    return urllib3.HTTPConnectionPool(
        host, int(port), timeout=timeout, retries=False, socket_options=options
    )


def _exchange(
    connection: urllib3.HTTPConnectionPool, call: Call, headers: Mapping[str, str]
) -> urllib3.BaseHTTPResponse:
    """Send a call and wait for the header of its answer."""
    host = join_address(connection)
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
            Kind.NO_CAPACITY,
            "the host can't be reached",
            ran=Ran.NO,
            key=call.key,
            host=host,
            reached=False,
        ) from error
    except (HTTPError, OSError) as error:
        connection.close()
        raise CallError(
            Kind.TIMED_OUT,
            f"the host did not answer ({type(error).__name__})",
            key=call.key,
            host=host,
            reached=False,
        ) from error
