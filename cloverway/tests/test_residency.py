from __future__ import annotations

import pytest

from cloverway.config.published import Published
from cloverway.dispatch.residency import check_region_allowed, get_allowed_regions
from cloverway.errors import Kind, RequestError
from cloverway.messages import Request

PUBLISHED = Published.from_documents(
    {
        "revision": 1,
        "organisation": {"name": "riviere"},
        "regions": {"port-louis": {}, "curepipe": {}, "rodrigues": {}},
        "profiles": {
            "stock": {"model": "clover"},
            "south": {"model": "clover", "regions": ["curepipe", "rodrigues"]},
        },
        "teams": {
            "free": {"home": "curepipe", "profiles": ["stock", "south"]},
            "bound": {"home": "curepipe", "bound": True, "profiles": ["stock", "south"]},
            "stranger": {"home": "port-louis", "bound": True, "profiles": ["south"]},
        },
    }
)
ALL_REGIONS = frozenset({"port-louis", "curepipe", "rodrigues"})


@pytest.mark.parametrize(
    ("team", "profile", "regions"),
    [
        ("free", "stock", ALL_REGIONS),
        ("free", "south", {"curepipe", "rodrigues"}),
        ("bound", "stock", {"curepipe"}),
        ("bound", "south", {"curepipe"}),
        ("stranger", "south", set()),
        ("nobody", "stock", set()),
        ("free", "unheard", set()),
    ],
)
def test_regions_by_team_and_profile(team, profile, regions):
    assert get_allowed_regions(PUBLISHED, team, profile) == regions


@pytest.mark.parametrize(
    "broken",
    [
        PUBLISHED._replace(regions={"port-louis": PUBLISHED.regions["port-louis"]}),
        PUBLISHED._replace(regions={}),
    ],
)
def test_unknown_region_allows_nothing(broken):
    assert not get_allowed_regions(broken, "bound", "stock")
    assert not get_allowed_regions(broken, "free", "south")


def make_request(team, profile, revision):
    return Request(
        id="r1",
        team=team,
        profile=profile,
        path="/v1/chat/completions",
        method="POST",
        body=b"",
        content_type="application/json",
        arrived_at=0.0,
        deadline=1.0,
        is_forwarded=True,
        revision=revision,
    )


@pytest.mark.parametrize("origin_revision", [1, 2, 3])
def test_stricter_of_two_revisions_applies(origin_revision):
    """A host with an older or newer revision forwards a request, and the receiver must refuse it.

    The origin's revision does not bind the team, so it chose Rodrigues. The receiver's revision
    binds the team to Curepipe. Whichever revision is newer, running it would violate residency.
    """
    free = PUBLISHED.teams["free"]
    own = PUBLISHED._replace(
        revision=2, teams={**PUBLISHED.teams, "free": free._replace(bound=True)}
    )
    with pytest.raises(RequestError) as caught:
        check_region_allowed(own, make_request("free", "stock", origin_revision), "rodrigues")
    assert caught.value.kind is Kind.RESIDENCY
    check_region_allowed(own, make_request("free", "stock", origin_revision), "curepipe")


def test_host_without_configuration_runs_nothing():
    with pytest.raises(RequestError) as caught:
        check_region_allowed(None, make_request("free", "stock", 1), "curepipe")
    assert caught.value.kind is Kind.STARTING
