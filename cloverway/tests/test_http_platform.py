"""The HTTP platform: failures of the service, over real sockets, and the rate limiter."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.errors import PlatformError
from cloverway.sources import http
from cloverway.sources.codec import decode_changes, decode_member_states
from cloverway.sources.http import HttpPlatform
from cloverway.sources.port import Changes, Document, MemberState
from cloverway.sources.rate_limiter import MAX_DELAY_S, RateLimiter
from cloverway.tests.standins.platform import Platform


@pytest.fixture
def service() -> Iterator[Platform]:
    with Platform(documents={"organisation": {"name": "riviere"}, "regions/a": {}}) as service:
        yield service


@pytest.fixture
def platform(service: Platform) -> HttpPlatform:
    return HttpPlatform(service.url, random.Random(1), sleep=lambda _: None)


def test_reads_snapshot_and_delta(service: Platform, platform: HttpPlatform) -> None:
    snapshot = platform.read(0, 0.0)
    assert snapshot.complete and snapshot.revision == 2 and len(snapshot.documents) == 2
    service.publish("regions/a", None)
    assert platform.read(2, 5.0) == Changes(3, 2, (Document("regions/a", 3, None),))


def test_watch_ends_with_the_change(service: Platform, platform: HttpPlatform) -> None:
    """A change during a call ends the wait of the call."""
    publisher = threading.Timer(0.05, service.publish, ("regions/b", {}))
    publisher.start()
    changes = platform.read(2, 30.0)
    publisher.join()
    assert [document.key for document in changes.documents] == ["regions/b"]


def test_unknown_state_is_treated_as_leaving(service: Platform, platform: HttpPlatform) -> None:
    service.set_listed(hosts={"a": "live", "b": "leaving"}, endpoints={"e": "rebooting"})
    states = platform.get_member_states()
    assert states.hosts == {"a": MemberState.LIVE, "b": MemberState.LEAVING}
    assert states.endpoints == {"e": MemberState.LEAVING}


def test_silent_connection_is_closed(
    service: Platform, platform: HttpPlatform, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection on which the service falls silent is closed; the next read uses a new one."""
    monkeypatch.setattr(http, "RESPONSE_TIMEOUT_S", 0.1)
    service.faults.silent = True
    with pytest.raises(PlatformError, match="can't be read"):
        platform.read(2, 0.0)
    service.faults.silent = False
    assert platform.read(0, 0.0).revision == 2


def test_truncated_response_is_an_error(service: Platform, platform: HttpPlatform) -> None:
    service.faults.short_body = True
    with pytest.raises(PlatformError, match="can't be read"):
        platform.read(0, 0.0)


def test_late_response_is_not_read_as_a_snapshot(service: Platform, platform: HttpPlatform) -> None:
    """A response is sent twice on one connection. The next read, of a snapshot, must not get the
    second copy, which is a delta: all documents that it lacks would be withdrawn."""
    service.publish("regions/b", {})
    service.faults.duplicate = True
    assert len(platform.read(2, 0.0).documents) == 1
    service.faults.duplicate = False
    assert len(platform.read(0, 0.0).documents) == 3


def test_error_status_is_an_error(service: Platform, platform: HttpPlatform) -> None:
    service.faults.error = 503
    with pytest.raises(PlatformError, match="answered 503"):
        platform.read(0, 0.0)


def test_response_size_is_limited(platform: HttpPlatform, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "MAX_CONFIGURATION_BYTES", 50)
    with pytest.raises(PlatformError, match="longer than 50 bytes"):
        platform.read(0, 0.0)


def test_refused_connection_is_an_error() -> None:
    platform = HttpPlatform("http://127.0.0.1:1", random.Random(1), sleep=lambda _: None)
    with pytest.raises(PlatformError, match="can't be read"):
        platform.read(0, 0.0)


@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_decode_of_anything_raises_only_platform_error(data: bytes) -> None:
    for decode in (lambda text: decode_changes(text, 0), decode_member_states):
        try:
            decode(data)
        except PlatformError:
            continue


@pytest.mark.parametrize(
    "text",
    [
        '{"revision": true, "documents": []}',
        '{"revision": 1e999, "documents": []}',
        '{"revision": 1, "documents": [{"key": "a", "revision": 0, "value": {}}]}',
        '{"revision": 1, "documents": [{"key": "a", "revision": 1, "value": []}]}',
        '{"revision": 1, "documents": [{"revision": 1, "value": {}}]}',
        '{"revision": 1, "documents": {}}',
        "[" * 100_000,
        '{"revision": ' + "9" * 5000 + "}",
    ],
)
def test_malformed_response_is_an_error(text: str) -> None:
    with pytest.raises(PlatformError):
        decode_changes(text.encode(), 0)


def test_rate_limiter_spreads_readers_after_an_outage() -> None:
    """216 readers lose the service at the same time. They must not retry at the same time, nor wait
    longer than MAX_DELAY_S."""
    delays = []
    for seed in range(216):
        limiter = RateLimiter(0.25, random.Random(seed))
        for _ in range(10):
            limiter.record_failure(100.0)
        delays.append(limiter.get_delay(100.0))
    assert max(delays) <= MAX_DELAY_S
    assert max(delays) - min(delays) > MAX_DELAY_S / 3
    assert max(sum(d <= at < d + 0.1 for d in delays) for at in (1.0, 1.5, 1.9)) < 60


def test_rate_limiter_keeps_an_interval_and_respects_retry_after() -> None:
    limiter = RateLimiter(0.25, random.Random(1))
    assert limiter.get_delay(10.0) == 0.0
    limiter.record_success(10.0)
    assert limiter.get_delay(10.1) == pytest.approx(0.15)
    limiter.record_failure(11.0, retry_after_s=5.0)
    assert limiter.get_delay(11.0) >= 5.0
    limiter.record_failure(11.0, retry_after_s=99_999.0)
    assert limiter.get_delay(11.0) <= 60.0
