"""Upstreams that leave while a request to them waits."""

import asyncio
from test.platform_world import Platform

from rowanport.gateway.upstream import UpstreamList


def leave(platform, name):
    """Apply a list in which an upstream leaves."""
    known = platform.gateway.upstreams
    for upstream in known.upstreams.values():
        upstream.leaving = upstream.leaving or upstream.id == name
    platform.gateway.views.apply_upstreams(
        UpstreamList(known.revision, known.upstreams.values(), known.step + 1),
        "test",
    )


def then(coroutine_function, callback):
    """Return a coroutine function that calls the callback at its end."""

    async def wait(*args, **options):
        result = await coroutine_function(*args, **options)
        callback(*args)
        return result

    return wait


def names_at(platform):
    """Return the names of upstreams by their addresses."""
    return {upstream.address: upstream.name for upstream in platform.upstreams}


async def ask_while_one_leaves(platform, path, request_id):
    """Send a request whose first upstream leaves while it connects."""
    client = platform.gateway.client
    names = names_at(platform)
    left = []

    def leave_first(address, *_args):
        if not left:
            left.append(names[address])
            leave(platform, names[address])

    connect = client._connect
    client._connect = then(connect, leave_first)
    answer = await platform.ask(path, request_id)
    client._connect = connect
    return answer, left


def test_a_request_whose_upstream_left_goes_to_another():
    async def run():
        async with Platform() as platform:
            for path in ("/once/", "/safe/"):
                answer, left = await ask_while_one_leaves(
                    platform, path, f"for {path}"
                )
                assert answer.status == 200
                ran = [u.name for u in platform.upstreams if u.heads]
                assert left and left[0] not in ran
                for upstream in platform.upstreams:
                    upstream.heads.clear()
                    await platform.store.put(
                        f"servers/{upstream.name}", upstream.entry()
                    )
                await platform.store.put("servers/other", _other(platform))
                await platform.wait(lambda: _none_leaves(platform))
                await platform.store.remove("servers/other")
                await platform.wait(
                    lambda: "other" not in platform.gateway.upstreams.upstreams
                )

    asyncio.run(run())


def _other(platform):
    """Return the entry of an upstream of another service."""
    return {**platform.upstreams[0].entry(), "service": "other"}


def _none_leaves(platform):
    listed = platform.gateway.upstreams.upstreams.values()
    return not any(upstream.leaving for upstream in listed)


def test_nothing_is_sent_on_a_connection_to_an_upstream_that_left():
    async def run():
        async with Platform() as platform:
            _answer, left = await ask_while_one_leaves(
                platform, "/once/", "first"
            )
            upstream = next(u for u in platform.upstreams if u.name == left[0])
            assert platform.gateway.client.has_idle(upstream.address)
            assert upstream.heads == []
            assert upstream.cut == 0

    asyncio.run(run())


def test_a_request_is_refused_as_not_executed_if_all_upstreams_left():
    async def run():
        async with Platform() as platform:
            client = platform.gateway.client

            def leave_all(*_args):
                for upstream in platform.upstreams:
                    leave(platform, upstream.name)

            client._connect = then(client._connect, leave_all)
            answer = await platform.ask("/once/")
            assert answer.status == 503
            assert platform.runs == []

    asyncio.run(run())


def test_a_request_that_waited_for_a_permit_avoids_an_upstream_that_left():
    async def run():
        async with Platform() as platform:
            limits = platform.gateway.limits
            left = []

            def leave_first(state):
                if not left:
                    left.append(state.record.id)
                    leave(platform, state.record.id)

            limits.acquire = then(limits.acquire, leave_first)
            answer = await platform.ask("/once/")
            assert answer.status == 200
            ran = [u.name for u in platform.upstreams if u.heads]
            assert left and left[0] not in ran

    asyncio.run(run())
