"""Builders of published configurations, views and requests for the tests of decisions."""

from __future__ import annotations

from cloverway.config.published import Published
from cloverway.config.settings import Limits, Listen, PlatformSettings, Security, Settings
from cloverway.membership.view import EndpointState, HostState, Summary, View
from cloverway.messages import Request

SUMMARY_LIFETIME_S = 5.0
"""How long the failure domain of a summary counts as reachable without a newer one."""
DOMAINS = {"pl-1": "port-louis", "cu-1": "curepipe", "ro-1": "rodrigues"}
PROFILES = {
    "stock": {"model": "clover", "idempotent": True, "urgency": "normal"},
    "urgent": {"model": "clover", "idempotent": True, "urgency": "urgent"},
    "report": {"model": "clover", "idempotent": True, "urgency": "batch"},
    "allocate": {"service": "allocations", "idempotent": False, "urgency": "urgent"},
}


def make_published(
    *, endpoints=2, hosts=2, slots=4, trip_ms=40.0, objective=None, revision=1, **teams
):
    address = iter(range(10_000, 60_000))
    all_profiles = list(PROFILES)
    return Published.from_documents(
        {
            "revision": revision,
            "organisation": {"name": "riviere"},
            "objective": objective or {},
            "regions": {region: {"trip_ms": trip_ms} for region in DOMAINS.values()},
            "domains": {name: {"region": region} for name, region in DOMAINS.items()},
            "hosts": {
                f"{domain}-h{number}": {
                    "domain": domain,
                    **{
                        field: f"127.0.0.1:{next(address)}"
                        for field in ("callers", "admin", "peers")
                    },
                }
                for domain in DOMAINS
                for number in range(hosts)
            },
            "endpoints": {
                f"{domain}-e{number}": {
                    "domain": domain,
                    "url": f"http://127.0.0.1:{next(address)}",
                    "models": ["clover"],
                    "slots": slots,
                }
                for domain in DOMAINS
                for number in range(endpoints)
            }
            | {
                f"{domain}-s{number}": {
                    "domain": domain,
                    "url": f"http://127.0.0.1:{next(address)}",
                    "kind": "service",
                    "services": ["allocations"],
                    "slots": slots,
                }
                for domain in DOMAINS
                for number in range(2)
            },
            "profiles": PROFILES,
            "teams": {
                "desk": {"home": "curepipe", "profiles": all_profiles},
                "bound": {"home": "rodrigues", "bound": True, "profiles": all_profiles},
                "branch": {"home": "curepipe", "profiles": all_profiles},
                **teams,
            },
        }
    )


def make_settings(domain="cu-1", host="cu-1-h0", policy="cloverway", **limits):
    return Settings(
        host=host,
        domain=domain,
        region=DOMAINS[domain],
        listen=Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        platform=PlatformSettings(directory="published"),
        security=Security("secret"),
        limits=Limits(**limits),
        policy=policy,
    )


def make_view(published, domain="cu-1", *, now=0.0, free=None, host="cu-1-h0", siblings=()):
    """Return the view of a host: all endpoints idle, `free` slots in each other domain."""
    endpoints = {
        name: EndpointState(
            name,
            incarnation="e1",
            ready=True,
            slots=published.endpoints[name].slots,
            models=(*published.endpoints[name].models, *published.endpoints[name].services),
            reported_at=now,
            started_at=now,
        )
        for name in published.endpoints_of(domain)
    }
    summaries = {
        (other, "clover"): Summary(
            other, "clover", ready=2, free=free, at=now, usable_until=now + SUMMARY_LIFETIME_S
        )
        for other in DOMAINS
        if free is not None and other != domain
    }
    hosts = {name: HostState(name, domain, "i1", heard_at=now) for name in siblings}
    return View(host, "i1", domain, DOMAINS[domain], published, hosts, endpoints, summaries)


def change_endpoint(view, name, **changes):
    changed = view.endpoints[name]._replace(**changes)
    return view._replace(endpoints={**view.endpoints, name: changed})


def make_request(
    number, now=0.0, timeout_s=10.0, *, team="desk", profile="stock", body=b"", **more
):
    return Request(
        id=f"r{number}",
        team=team,
        profile=profile,
        path="/v1/chat/completions",
        method="POST",
        body=body,
        content_type="application/json",
        arrived_at=now,
        deadline=now + timeout_s,
        **more,
    )
