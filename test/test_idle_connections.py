"""A request does not cross the close of an idle connection.

An upstream closes connections that were idle for a time that its answers
name.  A request that is sent at that moment may have run or not, so one that
may not be repeated is lost.
"""

import asyncio
import math
from test.crash_world import crash_test
from test.notice_world import NoticeWorld

import h11
import pytest

from rowanport.web.client import _idle_limit


@crash_test(NoticeWorld, routers=1, upstreams=1)
async def test_no_request_crosses_the_close_of_an_idle_connection(world):
    (upstream,) = world.upstreams.values()
    upstream.idle_seconds = 1
    for number in range(40):
        await world.ask(f"before{number}", b"x", "/once/")
        # The close and the next request meet on the way.
        await asyncio.sleep(0.985 + 0.0005 * number)
        world.answers[number] = await world.ask(f"at{number}", b"x", "/once/")
    assert set(world.answers.values()) == {200}


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"timeout=5, max=100", 5),
        (b"max=100, timeout=7", 7),
        (b"5", 5),
        (b"timeout=0", 0),
        (b"max=100", math.inf),
        (b"timeout=soon", math.inf),
        (b"", math.inf),
    ],
)
def test_an_answer_names_the_time_of_an_idle_connection(value, seconds):
    answer = h11.Response(status_code=200, headers=[("keep-alive", value)])
    assert _idle_limit(answer) == seconds
