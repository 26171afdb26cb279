"""Data residency: the rule for where a team's requests may run, applied by each host on the way."""

from __future__ import annotations

from cloverway.config.published import Published
from cloverway.errors import Kind, RequestError
from cloverway.messages import Request

NO_REGIONS: frozenset[str] = frozenset()


def get_allowed_regions(published: Published, team: str, profile: str) -> frozenset[str]:
    """Return the regions that may serve a team's requests with a profile; empty means refuse.

    An unknown team, profile or region allows no region, since its residency can't be checked.
    """
    known_team = published.teams.get(team)
    known_profile = published.profiles.get(profile)
    if known_team is None or known_profile is None:
        return NO_REGIONS
    if not published.regions.keys() >= {known_team.home, *known_profile.regions}:
        return NO_REGIONS
    regions = frozenset(known_profile.regions or published.regions)
    return regions & {known_team.home} if known_team.bound else regions


def check_region_allowed(published: Published | None, request: Request, region: str) -> None:
    """Raise RequestError unless this host's configuration allows a request to run in a region.

    The host that runs a request checks the region again, after the first host checked it against
    its own revision. So a request runs only where both revisions allow it, whichever is older.
    """
    if published is None:
        raise RequestError(Kind.STARTING)
    if region not in get_allowed_regions(published, request.team, request.profile):
        raise RequestError(Kind.RESIDENCY, f"may not be served in region {region!r}")
