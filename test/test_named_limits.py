"""An upstream that names a rate limit gets no more of all routers."""

import asyncio
import bisect
from test.crash_world import crash_test

# Seconds after it is first named from which on a limit has to be kept.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0


def allowed(limit):
    """Return the requests that an upstream may get in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def most_in_window(upstream, since):
    """Return the most requests that an upstream got in a window."""
    times = [at for at, _body in upstream.runs if at >= since]
    return max(
        bisect.bisect_left(times, at + WINDOW_SECONDS) - number
        for number, at in enumerate(times)
    )


async def ask_while_limited(world, upstream, text, seconds, rate=60):
    """Let callers ask while an upstream names a limit.

    :returns: steady time from which on it is to be kept
    """
    upstream.limit = text
    begun = world.now
    tasks = await world.ask_many(int(rate * seconds), 1 / rate, path="/safe/")
    await asyncio.gather(*tasks)
    return begun + CONTACT_SECONDS


@crash_test()
async def test_a_named_limit_is_kept_by_all_routers_together(world):
    upstream = world.busiest()
    since = await ask_while_limited(world, upstream, "1.0", 60.0)
    assert most_in_window(upstream, since) <= allowed(1.0)
    assert len(upstream.runs) >= 50
    assert set(world.answers.values()) == {200}
