from __future__ import annotations

import http.client
import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from cloverway.entry.host_list import HostList
from cloverway.membership.view import EndpointState, HostState, Summary, ViewHolder
from cloverway.operations.admin import AdminOperations, AdminServer
from cloverway.tests.caller_harness import (
    CHAT,
    CHAT_BODY,
    CallerServerHarness,
    make_settings,
    make_view,
    wait_until,
)


class AdminHarness:
    def __init__(self):
        self.is_leaving = False
        self.holder = ViewHolder(make_view())
        self.server = AdminServer(
            make_settings(),
            self.holder,
            AdminOperations(
                list_hosts=lambda: HostList(hosts=[], lifetime_s=5.0, revision=3),
                count_in_progress=lambda: 2,
                count_queued=lambda: 1,
                render_metrics=lambda gauges: "\n".join(g.name for g in gauges).encode(),
                explain=lambda team, profile: {"team": team, "profile": profile},
                begin_leaving=self.leave,
            ),
            clock=lambda: 100.0,
        )

    def leave(self):
        self.is_leaving = True

    def query(self, method, path, document=None):
        connection = http.client.HTTPConnection(self.server.address, timeout=10)
        body = json.dumps(document) if document is not None else None
        connection.request(method, path, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        connection.close()
        return response.status, text


@pytest.fixture(scope="module")
def admin():
    harness = AdminHarness()
    harness.server.start()
    yield harness
    harness.server.stop()


def test_readiness_follows_the_view(admin):
    assert admin.query("GET", "/healthz")[0] == 200
    assert admin.query("GET", "/readyz")[0] == 200
    for view, kind in [
        (make_view(published=None), "starting"),
        (make_view(leaving=True), "leaving"),
    ]:
        admin.holder.current = view
        status, text = admin.query("GET", "/readyz")
        assert (status, json.loads(text)["kind"]) == (503, kind)
        assert admin.query("GET", "/healthz")[0] == 200
    admin.holder.current = make_view()


def test_status_has_ages_and_valid_json(admin):
    admin.holder.current = make_view(
        hosts={"a": HostState("a", "pl-1", heard_at=99.5), "b": HostState("b", "pl-1")},
        endpoints={"e": EndpointState("e", ready=True, reported_at=99.0)},
        summaries={("cu-1", "m"): Summary("cu-1", "m", 2, 1, 0, 98.0)},
    )
    status, text = admin.query("GET", "/v1/status")
    document = json.loads(text, parse_constant=pytest.fail)
    assert (status, document["revision"], document["in_progress"]) == (200, 3, 2)
    assert [host["heard_s_ago"] for host in document["hosts"]] == [0.5, None]
    assert document["endpoints"][0]["reported_s_ago"] == 1.0
    assert document["summaries"][0]["heard_s_ago"] == 2.0
    assert b"endpoint_running" in admin.query("GET", "/metrics")[1]
    admin.holder.current = make_view()


def test_explain_drain_and_hosts(admin):
    question = {"team": "pharmacy", "profile": "chat"}
    assert json.loads(admin.query("POST", "/v1/explain", question)[1]) == question
    assert admin.query("POST", "/v1/explain", {"team": 1})[0] == 400
    assert admin.query("GET", "/v1/drain")[0] == 405
    assert not admin.is_leaving
    assert admin.query("POST", "/v1/drain")[0] == 202
    assert admin.is_leaving
    assert json.loads(admin.query("GET", "/v1/hosts")[1])["lifetime_s"] == 5.0
    assert admin.query("GET", "/v1/nothing")[0] == 404


def test_admin_api_answers_while_all_caller_threads_are_busy(admin):
    """The admin API answers while all threads for callers wait for endpoints.

    With one thread pool for both, requests of operators would wait too, and health checks of the
    host would fail.
    """
    with CallerServerHarness() as harness, ThreadPoolExecutor(8) as callers:
        harness.gateway.resume.clear()
        calls = [
            callers.submit(harness.call, "POST", "/v1/chat/completions", CHAT_BODY, CHAT)
            for _ in range(8)
        ]
        assert wait_until(lambda: harness.server.count_in_progress() == 8)
        for path in ("/healthz", "/metrics", "/v1/status", "/v1/hosts"):
            assert admin.query("GET", path)[0] == 200
        harness.gateway.resume.set()
        assert [call.result().status for call in calls] == [200] * 8
