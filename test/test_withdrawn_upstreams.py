"""Each way to an upstream goes by what the upstream said of itself."""

import asyncio
import collections
from test.crash_world import crash_test
from test.notice_world import NoticeWorld
from test.platform_world import Platform
from test.test_last_check import names_at
from test.test_last_check import then
from test.virtual_net import HOST
from unittest import mock

import pytest

from rowanport.paths import Verdict
from rowanport.schema.messages import BackoffNews
from rowanport.schema.messages import LeaveRow

BACKOFF_SECONDS = 3.0


def leave(gateway, name):
    """Let an upstream say that it leaves."""
    gateway.notices.merge([LeaveRow(name, True, 0.0)], "peer")


def back_off(gateway, name):
    """Let an upstream ask a router to back off."""
    gateway.notices.receive_backoff(BackoffNews(name, BACKOFF_SECONDS, "peer"))


async def refuse_relays(world):
    """Let three upstreams refuse requests of all routers but the first."""
    refusing = world.some(3)
    for upstream in refusing:
        upstream.backoff_text = "3"
        upstream.refusing = True
    asking = [
        world.spawn(world.ask(f"own{n}", b"x", "/safe/", host=peer))
        for peer in world.hosts[1:]
        for n in range(40)
    ]
    await asyncio.gather(*asking)
    for upstream in refusing:
        upstream.refusing = False


async def ask_steadily(world, host, count):
    """Ask a router 100 times a second; return the statuses, counted."""
    asking = []
    for number in range(count):
        relayed = world.ask(f"relayed{number}", b"x", "/safe/", host=host)
        asking.append(world.spawn(relayed))
        await asyncio.sleep(0.01)
    return collections.Counter(await asyncio.gather(*asking))


@pytest.mark.parametrize("withdraw", [leave, back_off])
def test_a_request_that_waited_for_a_connection_goes_elsewhere(withdraw):
    async def run():
        async with Platform() as platform:
            client = platform.gateway.client
            names = names_at(platform)
            withdrawn = []

            def withdraw_first(address, *_args):
                if not withdrawn:
                    withdrawn.append(names[address])
                    withdraw(platform.gateway, names[address])

            client._connect = then(client._connect, withdraw_first)
            for path in ("/once/", "/safe/"):
                answer = await platform.ask(path, f"for {path}")
                assert answer.status == 200
            ran = [u.name for u in platform.upstreams if u.heads]
            assert withdrawn and withdrawn[0] not in ran

    asyncio.run(run())


@pytest.mark.parametrize("withdraw", [leave, back_off])
def test_a_request_is_refused_as_not_run_if_all_withdraw_meanwhile(withdraw):
    async def run():
        async with Platform() as platform:
            client = platform.gateway.client

            def withdraw_all(*_args):
                for upstream in platform.upstreams:
                    withdraw(platform.gateway, upstream.name)

            client._connect = then(client._connect, withdraw_all)
            answer = await platform.ask("/once/")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0.5
            assert platform.runs == []

    asyncio.run(run())


@pytest.mark.parametrize("withdraw", [leave, back_off])
def test_no_hedge_goes_to_an_upstream_that_withdrew(withdraw):
    @crash_test(NoticeWorld, upstreams=2)
    async def run(world):
        first, second = world.upstreams.values()
        for gateway in world.gateways.values():
            withdraw(gateway, second.name)
        first.script = ["hang"] * 3
        until = world.now + BACKOFF_SECONDS
        asking = [world.ask(f"s{n}", b"s", "/safe/") for n in range(3)]
        await asyncio.gather(*asking)
        assert len(first.heads) == 3
        assert all(arrival.at >= until for arrival in second.arrivals)

    run()


@pytest.mark.parametrize("withdraw", [leave, back_off])
def test_a_stream_that_broke_off_is_not_resumed_there(withdraw):
    @crash_test(NoticeWorld, upstreams=3)
    async def run(world):
        first, second, third = world.upstreams.values()
        for gateway in world.gateways.values():
            withdraw(gateway, second.name)
        first.script = ["break"] * 20
        third.script = ["break"] * 20
        await world.ask_mixed(1.0, rate=20)
        assert first.heads and third.heads
        assert not second.arrivals

    run()


@crash_test(NoticeWorld)
async def test_a_relay_backs_off_from_who_refused_what_it_relays(world):
    host = world.hosts[0]
    for address in world.upstreams:
        world.net.sever(host, address, "reset")
    await asyncio.sleep(2.0)
    for upstream in world.some(3):
        upstream.backoff_text = "3"
        upstream.refusing = True
    tasks = []
    for number in range(300):
        asking = world.ask(f"relayed{number}", b"x", "/safe/", host=host)
        tasks.append(world.spawn(asking))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    broken, count = world.broken_backoffs()
    assert count
    assert (len(broken), count) == (0, count)
    assert all(
        backoff.router != host for u in world.some(3) for backoff in u.backoffs
    )


@crash_test(NoticeWorld)
async def test_no_health_check_goes_to_an_upstream_that_asked_to_back_off(
    world,
):
    upstream = world.busiest()
    gateway = next(iter(world.gateways.values()))
    own_link = gateway.tunnels._upstreams
    assert upstream.address in own_link.checkable
    back_off(gateway, upstream.name)
    assert upstream.address not in own_link.checkable
    await asyncio.sleep(6.0)
    assert upstream.address in own_link.checkable


@crash_test(NoticeWorld, upstreams=2)
async def test_an_upstream_that_closes_as_it_leaves_has_not_crashed(world):
    upstream = world.busiest()
    for gateway in world.gateways.values():
        leave(gateway, upstream.name)
    upstream.on_crash = None
    upstream.crash()
    await world.ask_mixed(2.0)
    for gateway in world.gateways.values():
        assert not len(gateway.metrics.crashes.values)


@crash_test(NoticeWorld)
async def test_tunnels_through_a_router_that_backs_off_are_left(world):
    # The relay was refused a request of its own.  A peer that was cut off
    # from the upstreams went on to use the tunnels that it kept open: the
    # upstream had told the relay, and nobody told the peer.
    host = world.hosts[0]
    for address in world.upstreams:
        world.net.sever(host, address, "reset")
    await asyncio.sleep(2.0)
    asking = [
        world.spawn(world.ask(f"first{n}", b"x", "/safe/", host=host))
        for n in range(60)
    ]
    await asyncio.gather(*asking)
    await refuse_relays(world)
    statuses = await ask_steadily(world, host, 250)
    broken, count = world.broken_backoffs()
    assert count
    assert (len(broken), count) == (0, count)
    assert statuses == {200: 250}


@crash_test(NoticeWorld)
async def test_relays_that_back_off_from_some_upstreams_relay_to_others(world):
    # A relay that backs off said that it was busy, and was asked for no
    # upstream for a while: 199 of 200 requests got 503.
    host = world.hosts[0]
    await refuse_relays(world)
    for address in world.upstreams:
        world.net.sever(host, address, "reset")
    statuses = await ask_steadily(world, host, 200)
    assert statuses == {200: 200}
    broken, count = world.broken_backoffs()
    assert count
    assert (len(broken), count) == (0, count)


@crash_test(NoticeWorld, upstreams=2)
async def test_a_relay_that_backs_off_still_tells_who_has_crashed(world):
    sound, crashed = world.upstreams.values()
    for gateway in world.gateways.values():
        back_off(gateway, sound.name)
        back_off(gateway, crashed.name)
    crashed.on_crash = None
    crashed.crash()
    connector = world.gateways[world.hosts[0]]._connector
    HOST.set(world.hosts[0])
    assert await connector.confirms_crash(crashed.address)
    assert not await connector.confirms_crash(sound.address)
    assert all(not u.arrivals for u in world.upstreams.values())


@crash_test(NoticeWorld)
async def test_a_router_of_an_earlier_build_is_told_that_the_relay_is_busy(
    world,
):
    upstream = world.busiest()
    relay = world.gateways[world.hosts[1]]
    back_off(relay, upstream.name)
    asking = world.gateways[world.hosts[0]]._connector._tunnels
    HOST.set(world.hosts[0])
    for earlier, expected in (
        (False, Verdict.BACKED_OFF),
        (True, Verdict.BUSY),
    ):
        with mock.patch.object(
            relay.members, "predates", return_value=earlier
        ):
            verdict, _tunnels, path = await asking.open(
                relay.incarnation, upstream.address
            )
        assert verdict is expected
        assert path is None
