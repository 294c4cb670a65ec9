"""Planned stops that meet long streams and requests that come in part.

Named in docs/design/stopping.md, "Not done".
"""

import asyncio
from test.platform_world import HOST
from test.test_stopping import begin_stop
from test.test_stopping import head_of
from test.test_stopping import outcome
from test.test_stopping import RawCaller
from test.test_stopping import run_ids
from test.test_stopping import scenario

# Seconds after the signal at which the last part of a request comes: within
# the time-out of a body, 3 s, and after an idle router has closed.
REST_SECONDS = 4.3


@scenario
async def test_a_long_stream_taken_after_the_signal_is_not_cut(platform):
    # Guards against a stream that is taken as the router stops and lasts
    # longer than the grace period: it has to be refused or completed.
    platform.gateway.settings.stop_grace = 4.0
    for upstream in platform.upstreams:
        upstream.events = 12
        upstream.pause = 0.4
    platform.gateway.table.find_route(HOST, "/open/").timeout = 9.0
    stopping = begin_stop(platform)
    await asyncio.sleep(0.5)
    late = await outcome(platform.stream("/open/", "late"))
    assert late in ("refused", "whole")
    await stopping


@scenario
async def test_a_request_that_comes_in_part_is_answered_at_the_end(platform):
    # Guards against a request that is dropped unread, without an answer, as
    # its router closes.
    stopping = begin_stop(platform)
    await asyncio.sleep(1.5)
    caller = RawCaller(platform.callers)
    await caller.open()
    await caller.send(head_of("half", size=8) + b"ques")
    await asyncio.sleep(REST_SECONDS - 1.5)
    await caller.send(b"tion")
    status, _fields = await caller.read_answer()
    assert status == (200 if "half" in run_ids(platform) else 503)
    caller.close()
    await stopping
