from __future__ import annotations

import time
from random import Random

import pytest

from cloverway.config.published import Published
from cloverway.config.settings import Limits, Listen, PlatformSettings, Security, Settings
from cloverway.dispatcher import Dispatcher
from cloverway.errors import Kind
from cloverway.messages import Admitted, Local, Outcome, Refused, Request
from cloverway.view import EndpointState, View, ViewHolder

PUBLISHED = Published.from_documents(
    {
        "revision": 1,
        "organisation": {"name": "riviere"},
        "regions": {"curepipe": {}},
        "domains": {"cu-1": {"region": "curepipe"}},
        "endpoints": {
            "cu-1-a": {"domain": "cu-1", "url": "http://127.0.0.1:9001", "models": ["clover"]}
        },
        "profiles": {"stock": {"model": "clover", "idempotent": True}},
        "teams": {"desk": {"home": "curepipe", "profiles": ["stock"]}},
    }
)
VIEW = View(
    host="cu-1-h1",
    incarnation="i1",
    domain="cu-1",
    region="curepipe",
    published=PUBLISHED,
    endpoints={"cu-1-a": EndpointState("cu-1-a", "e1", True, slots=8, models=("clover",))},
)


def make_settings(**limits):
    return Settings(
        host="cu-1-h1",
        domain="cu-1",
        region="curepipe",
        listen=Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        platform=PlatformSettings(directory="published"),
        security=Security("secret"),
        limits=Limits(**limits),
    )


def make_request(number=1, lasts=10.0):
    now = time.monotonic()
    return Request(
        id=f"r{number}",
        team="desk",
        profile="stock",
        path="/v1/chat/completions",
        method="POST",
        body=b"{}",
        content_type="application/json",
        arrived_at=now,
        deadline=now + lasts,
    )


@pytest.fixture
def holder():
    return ViewHolder(VIEW)


@pytest.fixture
def dispatcher(holder):
    made = Dispatcher.from_config(make_settings(), holder, time.monotonic, Random(1))
    made.start()
    yield made
    made.stop()


def test_a_request_is_admitted_and_finished(dispatcher):
    verdict = dispatcher.submit(make_request())
    assert isinstance(verdict, Admitted)
    assert verdict.route == Local("cu-1-a", "http://127.0.0.1:9001")
    assert dispatcher.in_flight() == 1
    dispatcher.started(verdict.ticket, time.monotonic())
    dispatcher.finished(verdict.ticket, Outcome.DONE, time.monotonic())
    dispatcher.explain("desk", "stock", time.monotonic())
    assert dispatcher.in_flight() == 0


@pytest.mark.parametrize(
    ("change", "kind"),
    [({"published": None}, Kind.STARTING), ({"leaving": True}, Kind.LEAVING)],
)
def test_a_host_that_is_not_ready_refuses_with_a_time_to_come_back(
    dispatcher, holder, change, kind
):
    holder.current = VIEW._replace(**change)
    verdict = dispatcher.submit(make_request())
    assert isinstance(verdict, Refused)
    assert verdict.kind is kind
    assert verdict.retry_after is not None
