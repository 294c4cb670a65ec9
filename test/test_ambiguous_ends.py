"""Ends of answers without a length that look like those of whole answers.

Both cases are named in docs/design/ends.md, "Not told": the caller gets 200
and half an answer that looks complete.
"""

from test.test_killed_upstreams import outcome
from test.test_killed_upstreams import run

import pytest


@pytest.mark.parametrize("path", ("/once/", "/plainstream/", "/safe/"))
def test_an_answer_that_its_upstream_ends_early_is_not_whole(path):
    # Guards against half an answer that looks whole, as its upstream closes
    # this one connection early and lives on.
    async def body(platform):
        result = await outcome(platform.start(path + "early"))
        assert result is None or result[0] == 502

    run(body)


@pytest.mark.parametrize("path", ("/once/", "/plainstream/"))
def test_the_only_answer_of_a_killed_leaving_upstream_is_not_whole(path):
    # Guards against half an answer that looks whole, as a leaving upstream
    # may end right behind its last answer.
    async def body(platform):
        reading = platform.start(path + "half")
        await platform.killed.wait_for_run()
        await platform.list(platform.killed.entry("draining"))
        await platform.killed.kill()
        result = await outcome(reading)
        assert result is None or result[0] == 502

    run(body)
