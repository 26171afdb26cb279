"""Decides whether an answer without a length or chunks is complete."""

from __future__ import annotations

from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.http.client import Framing, ResponseError, ResponseHead
from cloverway.serving.requests.target_selector import Target


async def check_end(context: Context, target: Target, head: ResponseHead) -> None:
    """Raise ResponseError if the end of a connection doesn't prove the end of an answer.

    The kernel closes the connections of a process that crashed in the same way as an endpoint
    that has sent all. Only an endpoint that is running afterwards can have ended its answer.
    """
    if head.framing is not Framing.CONNECTION:
        return
    if target.candidate is None:
        raise ResponseError("the connection to another host ended, and hosts frame their answers")
    if not await context.incarnations.is_running(target.candidate.endpoint, read_clock()):
        raise ResponseError("the connection ended, and the endpoint may have crashed")
