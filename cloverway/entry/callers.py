"""Interface for callers: authenticates and validates calls and passes them to the gateway."""

from __future__ import annotations

import contextlib
import logging
import re
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any, NamedTuple

from cloverway.config.settings import Settings
from cloverway.entry import bodies
from cloverway.entry.application import (
    KEY_HEADER,
    IncomingCall,
    Responder,
    make_json_reply,
    require_method,
)
from cloverway.entry.authentication import Caller, KeyIndexCache, authenticate, choose_deadline_s
from cloverway.entry.caller_connection import EarlyRejection
from cloverway.entry.departures import DisconnectWatcher
from cloverway.entry.host_list import HostList, MaxAges, list_hosts
from cloverway.entry.listener import Listener, ListenerLimits
from cloverway.errors import Kind, Ran, RequestError
from cloverway.membership.view import ViewHolder
from cloverway.messages import Request
from cloverway.replies import Gateway, Reply

log = logging.getLogger(__name__)

COMPLETION_FIELDS = {"/v1/chat/completions": "messages", "/v1/completions": "prompt"}
HOSTS_PATH = "/v1/hosts"
KEYS_PATH = "/v1/idempotency-keys"
SERVICES_PATH = "/v1/services/"
SERVICE_METHODS = ("GET", "POST", "PUT", "DELETE")
PROFILE_HEADER = "Cloverway-Profile"
DEADLINE_HEADER = "Cloverway-Deadline-Ms"
MAX_KEYS_PER_CALL = 100
MAX_KEY_CHARACTERS = 255
STARTING_RETRY_S = 1.0
SLOW_BODY_RETRY_S = 1.0
THREADS_PER_SLOW_BODY = 4
"""One of this many threads may wait for slow bodies of the same team."""
SAFE_TARGET = re.compile(r"/[A-Za-z0-9/._~!$&'()*+,;=:@%?-]*")
DOT_SEGMENT = re.compile(r"/(\.|%2e){1,2}(/|$)", re.IGNORECASE)
ENCODED_SLASH = re.compile(r"%(2f|5c|00)", re.IGNORECASE)


class Rejection(NamedTuple):
    """A request that was rejected before it reached the gateway. Times are seconds."""

    request_id: str
    method: str
    """HTTP method, or empty if the head was not read."""
    team: str
    """Team, or empty if the caller was not authenticated."""
    profile: str
    """Profile if it is published, otherwise empty, because text from a caller is never logged."""
    kind: Kind
    ran: Ran
    total_s: float


class SlowBodyLimiter:
    """Limits how many threads wait for slow bodies of one team at a time.

    A body may take several seconds to arrive. Without a limit per team, a team whose callers have
    a slow network could occupy all threads. Bodies that arrive promptly are not counted.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    @contextlib.contextmanager
    def count_slow_body(self, team: str) -> Iterator[None]:
        """Count a slow body until the block ends; raise RequestError TEAM_LIMIT."""
        with self._lock:
            if self._counts[team] >= self._limit:
                raise RequestError(
                    Kind.TEAM_LIMIT,
                    "too many request bodies of the team arrive slowly",
                    retry_after=SLOW_BODY_RETRY_S,
                )
            self._counts[team] += 1
        try:
            yield
        finally:
            with self._lock:
                self._counts[team] -= 1
                if not self._counts[team]:
                    del self._counts[team]


class CallerServer:
    """Server that receives requests from callers and passes them to the gateway."""

    def __init__(
        self,
        settings: Settings,
        holder: ViewHolder,
        gateway: Gateway,
        issue_keys: Callable[[int], list[str]],
        *,
        on_rejection: Callable[[Rejection], None] = lambda rejection: None,
        on_disconnect: Callable[[str], None] = lambda request_id: None,
        clock: Callable[[], float] = time.monotonic,
        listener_limits: ListenerLimits | None = None,
    ) -> None:
        self._limits = settings.limits
        self._max_ages = MaxAges(settings.timing.suspect_s)
        self._holder = holder
        self._gateway = gateway
        self._issue_new_keys = issue_keys
        self._on_rejection = on_rejection
        self._clock = clock
        self._disconnects = DisconnectWatcher(on_disconnect)
        self._slow_bodies = SlowBodyLimiter(
            max(1, settings.limits.threads // THREADS_PER_SLOW_BODY)
        )
        self._index_cache = KeyIndexCache()
        self._rotation = count()
        self._responder = Responder(settings.host, self._handle, settings.limits.answer_bytes)
        self._listener = Listener(
            settings.listen.callers,
            self._responder.make_application(),
            listener_limits or ListenerLimits.from_limits(settings.limits),
            "callers",
            self._report_early_rejection,
        )

    @property
    def address(self) -> str:
        """Return the bound address for callers."""
        return self._listener.address

    def start(self) -> None:
        """Bind and serve; raise OSError if the address can't be bound."""
        self._disconnects.start()
        self._listener.start()

    def stop_accepting(self) -> None:
        """Close each connection after its answer; new requests are still answered.

        The gateway decides whether to refuse new work, because a repeat with an idempotency key
        of this host must get its recorded answer while the host leaves.
        """
        self._responder.close_connections = True

    def stop(self) -> None:
        """Stop serving and close all connections; call it when no request is in progress."""
        self._listener.stop()
        self._disconnects.stop()

    def count_in_progress(self) -> int:
        """Return the number of requests with a complete head that are not answered yet."""
        return self._listener.in_progress

    def list_hosts(self) -> HostList:
        """Return the hosts that a caller should use now."""
        overloaded = self.count_in_progress() > self._limits.admitted + self._limits.queued
        return list_hosts(
            self._holder.current, self._clock(), self._max_ages, next(self._rotation), overloaded
        )

    def _handle(self, call: IncomingCall) -> Reply:
        if call.path == HOSTS_PATH:
            require_method(call, "GET")
            return make_json_reply(self.list_hosts())
        try:
            request = self._build_request(call)
        except RequestError as error:
            self._report_rejection(call, error)
            raise
        if isinstance(request, Reply):
            return request
        with self._disconnects.watch(call.connection.socket, call.id):
            return self._gateway.run(request)

    def _build_request(self, call: IncomingCall) -> Request | Reply:
        """Check a call, cheapest checks first; return its request or an immediate reply."""
        check_path(call)
        published = self._holder.current.published
        if published is None:
            raise RequestError(Kind.STARTING, retry_after=STARTING_RETRY_S)
        index = self._index_cache.get_index(published)
        if call.path == KEYS_PATH:
            return self._issue_keys(call, index.require_team(call.get_header("Authorization")))
        caller = authenticate(
            index, call.get_header("Authorization"), call.get_header(PROFILE_HEADER)
        )
        check_target(call, caller)
        key = read_key(call, caller)
        deadline_s = choose_deadline_s(caller.profile, call.get_header(DEADLINE_HEADER))
        body = self._read_body(call, caller.team)
        content_type = call.get_header("Content-Type")
        stream = False
        if call.path in COMPLETION_FIELDS:
            required_field, model = COMPLETION_FIELDS[call.path], caller.profile.target
            body, stream = bodies.parse_completion(body, content_type, required_field, model)
        return Request(
            id=call.id,
            team=caller.team,
            profile=caller.profile_name,
            path=call.target,
            method=call.method,
            body=body,
            content_type=content_type,
            arrived_at=call.arrived_at,
            deadline=call.arrived_at + deadline_s,
            stream=stream,
            key=key,
            revision=published.revision,
        )

    def _read_body(self, call: IncomingCall, team: str) -> bytes:
        with contextlib.ExitStack() as stack:

            def count_slow() -> None:
                stack.enter_context(self._slow_bodies.count_slow_body(team))

            return call.read_body(self._limits.body_bytes, self._limits.body_timeout_s, count_slow)

    def _issue_keys(self, call: IncomingCall, team: str) -> Reply:
        body = self._read_body(call, team)
        key_count: Any = 1
        if body:
            key_count = bodies.parse_json(body, call.get_header("Content-Type")).get("count", 1)
        if type(key_count) is not int or not 1 <= key_count <= MAX_KEYS_PER_CALL:
            raise RequestError(Kind.MALFORMED, f"'count' must be from 1 to {MAX_KEYS_PER_CALL}")
        keys = self._issue_new_keys(key_count)
        lifetime_s = self._limits.idempotency_key_s
        return make_json_reply({"key": keys[0], "keys": keys, "lifetime_s": lifetime_s})

    def _report_early_rejection(self, rejection: EarlyRejection) -> None:
        ran = Ran.UNKNOWN if rejection.kind is Kind.INTERNAL else Ran.NO
        self._on_rejection(Rejection(rejection.request_id, "", "", "", rejection.kind, ran, 0.0))

    def _report_rejection(self, call: IncomingCall, error: RequestError) -> None:
        # `ran` in the log is about this request; in the answer it is also about the key.
        ran = error.ran
        if call.get_header(KEY_HEADER) and error.kind is not Kind.KEY_INVALID:
            # The key was not looked up, so an earlier request with it may have run. After "no", the
            # caller would repeat the work with a new key.
            error.ran = Ran.UNKNOWN
        team, profile = self._identify(call)
        total_s = self._clock() - call.arrived_at
        self._on_rejection(Rejection(call.id, call.method, team, profile, error.kind, ran, total_s))

    def _identify(self, call: IncomingCall) -> tuple[str, str]:
        """Return the team and the profile of a rejected call, each empty if unknown."""
        published = self._holder.current.published
        if published is None:
            return "", ""
        index = self._index_cache.get_index(published)
        profile = call.get_header(PROFILE_HEADER)
        try:
            team = index.require_team(call.get_header("Authorization"))
        except RequestError:
            team = ""
        return team, profile if profile in published.profiles else ""


def check_path(call: IncomingCall) -> None:
    """Raise RequestError NOT_FOUND or METHOD_NOT_ALLOWED for an unknown path or method."""
    if call.path in COMPLETION_FIELDS or call.path == KEYS_PATH:
        require_method(call, "POST")
        return
    if not call.path.startswith(SERVICES_PATH):
        raise RequestError(Kind.NOT_FOUND)
    require_method(call, *SERVICE_METHODS)


def check_target(call: IncomingCall, caller: Caller) -> None:
    """Raise RequestError unless the profile allows the target.

    The target is forwarded to the endpoint verbatim, so it must stay below the path of its service.
    With dot segments or encoded slashes a caller could reach an endpoint's control paths.
    """
    if not SAFE_TARGET.fullmatch(call.target):
        raise RequestError(Kind.MALFORMED, "the path has characters that must be percent-encoded")
    path = call.target.partition("?")[0]
    if DOT_SEGMENT.search(path) or ENCODED_SLASH.search(path) or "//" in path:
        raise RequestError(
            Kind.MALFORMED, "the path has dot segments, empty segments or encoded slashes"
        )
    if path in COMPLETION_FIELDS:
        if caller.profile.model is None:
            raise RequestError(Kind.MALFORMED, "the profile serves a service, not a model")
        return
    service = path.removeprefix(SERVICES_PATH).partition("/")[0]
    if caller.profile.service is None or service != caller.profile.service:
        raise RequestError(Kind.NOT_FOUND, "the profile does not serve this service")


def read_key(call: IncomingCall, caller: Caller) -> str:
    """Return the idempotency key; raise RequestError if it is required or invalid."""
    key = call.get_header(KEY_HEADER).strip()
    if not key and not caller.profile.idempotent:
        raise RequestError(
            Kind.KEY_REQUIRED, "get a key by POST /v1/idempotency-keys and send it with each repeat"
        )
    if len(key) > MAX_KEY_CHARACTERS or not (key.isascii() and key.isprintable()):
        raise RequestError(Kind.KEY_INVALID, "the key is too long or not printable ASCII")
    return key
