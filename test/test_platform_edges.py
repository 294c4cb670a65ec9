"""A gateway on the platform: reloads, early answers, limits on callers."""

import asyncio
from test.platform_world import config
from test.platform_world import HOST
from test.platform_world import ID_HEADER
from test.platform_world import KEY
from test.platform_world import Platform
from test.platform_world import STAMP_HEADER
import time

LIMITS = {
    "max_header_bytes": 4096,
    "max_body_bytes": 2000,
    "header_timeout_ms": 300,
    "idle_timeout_ms": 15000,
}


def scenario(body):
    """Return a test that runs a coroutine function with a Platform."""

    def test():
        async def run():
            async with Platform() as platform:
                await body(platform)

        asyncio.run(run())

    test.__name__ = body.__name__
    test.__doc__ = body.__doc__
    return test


async def with_limits(platform):
    """Put narrow limits in force."""
    await platform.store.put("op/config", config(version=2, limits=LIMITS))
    await platform.wait(lambda: platform.gateway.table.version == 2)


async def raw(platform, data, seconds=3.0):
    """Send bytes as a caller; return what comes back and how long it took."""
    host, _, port = platform.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    begun = time.monotonic()
    writer.write(data)
    async with asyncio.timeout(seconds):
        answer = await reader.read()
    writer.close()
    return answer, time.monotonic() - begun


@scenario
async def test_seeds_of_a_changed_settings_file_are_used(platform):
    settings = platform.settings(1).gateway
    settings.seeds = ["127.0.0.1:1", platform.peers]
    platform.gateway.reload(settings)
    members = platform.gateway.members
    asked = {address for address, _message in members.announcements()}
    assert asked == {"127.0.0.1:1"}


@scenario
async def test_an_answer_before_the_body_is_read_is_passed_on_whole(platform):
    for upstream in platform.upstreams:
        upstream.script = ["early"]
    body = b"x" * 300000
    await platform.store.put(
        "op/config",
        config(version=2, limits={**LIMITS, "max_body_bytes": 400000}),
    )
    await platform.wait(lambda: platform.gateway.table.version == 2)
    early = await platform.ask("/once/", "first", body=body)
    assert early.status == 200
    assert early.headers[ID_HEADER] == "first"
    assert await early.read() == b"early"
    for upstream in platform.upstreams:
        upstream.script = []
    # The connection on which the body was still due serves nobody else.
    for number in range(4):
        later = await platform.ask("/once/", f"later-{number}")
        assert (
            await later.read() == f"body of later-{number} question".encode()
        )
        assert later.headers[STAMP_HEADER]


@scenario
async def test_a_head_that_never_ends_is_given_up(platform):
    await with_limits(platform)
    half = f"POST /safe/ HTTP/1.1\r\nhost: {HOST}\r\n".encode()
    _answer, seconds = await raw(platform, half)
    assert seconds < 2.0
    assert platform.runs == []


@scenario
async def test_a_head_that_is_too_large_is_refused_without_a_run(platform):
    await with_limits(platform)
    head = f"GET /safe/ HTTP/1.1\r\nhost: {HOST}\r\napi-key: {KEY}\r\n"
    head += f"x-more: {'y' * 8000}\r\n\r\n"
    answer, _seconds = await raw(platform, head.encode())
    assert answer.startswith(b"HTTP/1.1 413")
    assert platform.runs == []


@scenario
async def test_a_body_that_is_too_large_is_refused_without_a_run(platform):
    await with_limits(platform)
    answer = await platform.ask("/once/", body=b"x" * 3000)
    assert answer.status == 413
    assert platform.runs == []
