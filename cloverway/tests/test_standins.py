"""The stand-ins follow the protocols on which the system tests rely."""

from __future__ import annotations

import json
import os
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest
import urllib3

from cloverway.config.directory import load_directory
from cloverway.config.settings import Settings
from cloverway.tests.standins.batching import Timing, expected_text
from cloverway.tests.standins.engine import Engine
from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.links import TO_CALLER, Link
from cloverway.tests.standins.owners import find_owner
from cloverway.tests.standins.platform import Platform
from cloverway.tests.standins.service import Service
from cloverway.tests.standins.topology import Topology
from cloverway.tests.standins.waiting import wait_until

HTTP = urllib3.PoolManager(retries=False, timeout=5.0)


def ask(engine, *, stream=False, tokens=4, headers=None, timeout=5.0, user="ann", prompt="hello"):
    body = {"model": "clover-assist", "user": user, "max_tokens": tokens, "stream": stream}
    body["messages"] = [{"role": "user", "content": prompt}]
    url = f"{engine.url}/v1/chat/completions"
    return HTTP.request("POST", url, json=body, headers=headers, timeout=timeout)


def text_of(events: bytes) -> str:
    lines = [line[6:] for line in events.decode().splitlines() if line.startswith("data: ")]
    assert lines[-1] == "[DONE]"
    deltas = (json.loads(line)["choices"][0]["delta"] for line in lines[:-1])
    return "".join(delta.get("content", "") for delta in deltas)


def test_engine_answers_at_once_and_by_stream():
    with Engine() as engine:
        answer = ask(engine).json()
        stream = ask(engine, stream=True).data
    expected = expected_text("hello", "ann", 4)
    assert answer["choices"][0]["message"]["content"] == expected
    assert text_of(stream) == expected
    assert engine.counts()["total"] == 2


def test_engine_resumes_from_a_token():
    with Engine() as engine:
        engine.faults.set(cut_after=2, times=1)
        with pytest.raises(urllib3.exceptions.HTTPError):
            ask(engine, stream=True, headers={"X-Request-Id": "r1"})
        rest = HTTP.request("GET", f"{engine.url}/v1/resume?id=r1&from=2").data
    assert text_of(rest) == expected_text("hello", "ann", 4).split(" ", 2)[2]
    assert engine.counts()["ids"] == {"r1": 1}


def test_engine_continues_the_text_of_an_answer():
    start = expected_text("hello", "ann", 2)
    body = {"model": "clover-assist", "user": "ann", "max_tokens": 2}
    body["messages"] = [
        {"role": "user", "content": "hello"},
        {"role": "assistant", "content": start},
    ]
    with Engine() as engine:
        answer = HTTP.request("POST", f"{engine.url}/v1/chat/completions", json=body).json()
    assert start + answer["choices"][0]["message"]["content"] == expected_text("hello", "ann", 4)


def test_engine_cancels_a_run_whose_caller_disconnected():
    with Engine(timing=Timing(token_s=0.02)) as engine:
        with pytest.raises(urllib3.exceptions.TimeoutError):
            ask(engine, tokens=10_000, timeout=0.1, headers={"X-Request-Id": "r1"})
        wait_until(lambda: engine.counts()["cancelled"] == ["r1"])
        wait_until(lambda: engine.batch.running == 0)


def test_engine_refuses_an_old_fencing_number_only_where_it_checks():
    for fencing, status in ((True, 409), (False, 200)):
        with Engine(fencing=fencing) as engine:
            url = f"{engine.url}/v1/orders"
            assert HTTP.request("POST", url, json={"load": "b", "fencing": 7}).status == 200
            wait_until(lambda engine=engine: "b" in engine.orders.models)
            assert HTTP.request("POST", url, json={"unload": "b", "fencing": 6}).status == status
            assert ("b" in engine.orders.models) is fencing


def test_engine_hits_its_prefix_cache():
    prompt = "word " * 64
    with Engine() as engine:
        ask(engine, prompt=prompt)
        ask(engine, prompt=prompt)
        assert engine.counts()["hit_words"] == 64
        events = HTTP.request("GET", f"{engine.url}/v1/cache-events?after=0").json()
    assert [event["kind"] for event in events["events"]] == ["stored"] * 4


def test_engine_reports_its_load_late():
    with Engine(report_lag_s=0.1, timing=Timing(token_s=0.01)) as engine:
        wait_until(lambda: engine.load(time.monotonic())["report_age_ms"] >= 100)
        assert HTTP.request("GET", f"{engine.url}/v1/load").json()["report_age_ms"] >= 100


def test_service_counts_by_key_and_body():
    with Service() as service:
        headers = {"Idempotency-Key": "k1"}
        for _ in range(2):
            answer = HTTP.request("POST", f"{service.url}/orders", body=b"x", headers=headers)
        service.faults.set(refuse=True)
        refused = HTTP.request("POST", f"{service.url}/orders", body=b"x", headers=headers)
    assert answer.json()["echo"] == "x"
    assert refused.status == 503
    assert refused.headers["Cloverway-Ran"] == "no"
    assert service.by_key == {"k1": 2}
    assert service.by_body == {"x": 2}


def test_faults_of_an_unstreamed_answer():
    with Service() as service:
        for switches in ({"short_body": True}, {"cut_after": 10}, {"close_at_once": True}):
            service.faults.set(times=1, **switches)
            with pytest.raises(urllib3.exceptions.HTTPError):
                HTTP.request("POST", f"{service.url}/x", body=b"x")
            service.faults.clear()
        service.faults.set(silent=True)
        with pytest.raises(urllib3.exceptions.TimeoutError):
            HTTP.request("POST", f"{service.url}/x", body=b"x", timeout=0.05)
        # On a busy machine the client may time out before the stand-in has read its request.
        wait_until(lambda: service.total == 4)
    assert service.total == 4


def test_platform_can_be_watched_frozen_and_restarted_with_older_data():
    with Platform(documents={"organisation": {"name": "riviere"}}) as platform:
        first = HTTP.request("GET", f"{platform.url}/v1/config?after=0").json()
        assert first["revision"] == 1
        assert platform.publish("profiles/a", {"model": "m"}) == 2
        watch = f"{platform.url}/v1/config?after=1&wait_s=5"
        assert [d["key"] for d in HTTP.request("GET", watch).json()["documents"]] == ["profiles/a"]
        platform.freeze(1)
        assert HTTP.request("GET", f"{platform.url}/v1/config?after=0").json()["revision"] == 1
        platform.thaw()
        platform.restart_at(1)
        assert HTTP.request("GET", f"{platform.url}/v1/config?after=0").json()["revision"] == 1
        assert platform.calls["/v1/config"] == 4
        assert HTTP.request("POST", f"{platform.url}/v1/config", body=b"{}").status == 405


def test_platform_delays_its_host_list():
    with Platform(list_lag_s=3600.0) as platform:
        platform.set_listed(hosts={"pl-1": "leaving"})
        assert HTTP.request("GET", f"{platform.url}/v1/hosts").json()["hosts"] == {}
        platform.list_lag_s = 0.0
        listed = HTTP.request("GET", f"{platform.url}/v1/hosts").json()
        assert listed["hosts"] == {"pl-1": {"state": "leaving"}}


def test_platform_limits_its_calls():
    with Platform(calls_per_s=3.0) as platform:
        statuses = [HTTP.request("GET", f"{platform.url}/v1/hosts").status for _ in range(5)]
    assert statuses[:3] == [200, 200, 200]
    assert 429 in statuses


def test_link_cuts_drops_data_and_restores():
    with Service() as service, Link(service.address) as link:
        url = f"{link.url}/x"
        assert HTTP.request("POST", url, body=b"a").status == 200
        link.blackhole(TO_CALLER)
        with pytest.raises(urllib3.exceptions.TimeoutError):
            HTTP.request("POST", url, body=b"b", timeout=0.1)
        wait_until(lambda: service.by_body["b"] == 1)
        link.cut()
        with pytest.raises(urllib3.exceptions.HTTPError):
            HTTP.request("POST", url, body=b"c", timeout=1.0)
        link.restore()
        assert HTTP.request("POST", url, body=b"d").status == 200
    assert service.by_body["c"] == 0


def test_link_that_is_cut_leaves_no_connection_open():
    """Guards against a caller that waits for an answer on a connection that nobody serves.

    Callers connect again at once when theirs are reset, just when the link stops accepting.
    """

    stopping = threading.Event()

    def connect_again_and_again():
        while not stopping.is_set():
            with (
                suppress(OSError),
                socket.create_connection(("127.0.0.1", link.port), timeout=10.0) as sock,
            ):
                sock.sendall(b"x")
                sock.recv(1)

    with (
        socket.create_server(("127.0.0.1", 0)) as target,
        Link(f"127.0.0.1:{target.getsockname()[1]}") as link,
        ThreadPoolExecutor(4) as pool,
    ):
        callers = [pool.submit(connect_again_and_again) for _ in range(4)]
        end = time.monotonic() + 1.5
        while time.monotonic() < end:
            link.cut()
            link.restore()
        stopping.set()
        link.cut()
        for caller in callers:
            caller.result(timeout=5.0)


def test_link_forwards_datagrams():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target:
        target.bind(("127.0.0.1", 0))
        target.settimeout(5)
        address = f"127.0.0.1:{target.getsockname()[1]}"
        with Link(address, udp=True) as link:
            target.sendto(b"one", ("127.0.0.1", link.port))
            assert target.recv(16) == b"one"


def test_fleet_starts_and_stops_its_processes():
    topology = Topology(regions=("pl",), hosts=1)
    with Fleet(topology, platform="http", links=True, daemons=False) as fleet:
        assert ask(fleet.remotes["pl-a-engine-1"]).status == 200
        assert fleet.remotes["pl-a-engine-1"].counts()["users"] == {"ann": 1}
        fleet.kill("pl-a-service-1")
        fleet.restart("pl-a-service-1")
        assert fleet.publish({"profiles": {"chat": {"deadline_ms": 700}}}) > 1
        settings = Settings.from_toml(fleet.folder / "pl-a-host-1.toml")
        pids = [process.pid for process in fleet.processes.values() if process.running]
    assert settings.region == "pl"
    assert len(pids) == 3
    assert not any(process.running for process in fleet.processes.values())


def test_fleet_publishes_a_valid_configuration():
    with Fleet(daemons=False) as fleet:
        published = load_directory(fleet.folder / "published")
    assert len(published.hosts) == 6
    assert published.revision == 1


def test_link_distinguishes_its_clients():
    with Service() as service, socket.create_connection(("127.0.0.1", service.port)) as known:
        port = known.getsockname()[1]
        assert find_owner("tcp", port, {"other": 1, "own": os.getpid()}) == "own"
        with Link(service.address, identify=lambda _kind, _port: "own") as link:
            link.cut("other")
            assert HTTP.request("POST", f"{link.url}/x", body=b"a").status == 200
            link.cut("own")
            with pytest.raises(urllib3.exceptions.HTTPError):
                HTTP.request("POST", f"{link.url}/x", body=b"b", timeout=1.0)
    assert service.by_body["b"] == 0


def test_engine_holds_a_stream_until_the_switch_is_off():
    with Engine() as engine, ThreadPoolExecutor(1) as pool:
        engine.faults.set(hold_after=2)
        answer = pool.submit(ask, engine, stream=True)
        wait_until(lambda: engine.counts()["total"] == 1)
        assert not answer.done()
        engine.faults.clear()
        assert text_of(answer.result(5).data) == expected_text("hello", "ann", 4)


def test_link_holds_the_rest_of_a_request():
    with Service() as service, Link(service.address) as link, ThreadPoolExecutor(1) as pool:
        link.hold_large(1000)
        answer = pool.submit(HTTP.request, "POST", f"{link.url}/x", body=b"a" * 100_000)
        wait_until(lambda: link.held == 1)
        assert HTTP.request("GET", f"{link.url}/load").status == 200
        assert service.total == 0
        link.restore()
        assert len(answer.result(5).json()["echo"]) == 100_000
