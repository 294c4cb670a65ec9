"""A caller that fills one router's link is served by several routers.

The load replayed here: the platform hands each new connection of a caller to
one router by a hash, so that one large caller asks for as much as a link of
5 Mbit/s passes, while 74 routers share the rest.  On a day of users one router
got 1,272 requests in 17 s, the median router 55; it gave 893 of 1,266 refusals
for links that are full or views that are old.
"""

import asyncio
from test.platform_world import Platform

import pytest

from rowanport.diversion import LinkReadiness
from rowanport.diversion.readiness import LEAST_SECONDS
from rowanport.diversion.readiness import OVERHEAD_BYTES
from rowanport.diversion.readiness import START_SHARE
from rowanport.membership.members import READY
from rowanport.platform.settings import _read_link_rate
from rowanport.schema.messages import Gossip
from rowanport.schema.messages import MemberEntry

LINK_RATE = 625000.0
BODY = 5900
# What a caller's requests take on the link, over what it passes.
DEMANDS = (0.8, 1.0)
STEP = 0.01
SECONDS = 30.0
# Longest wait in seconds on the link with which a request is still in time.
IN_TIME = 0.5
POLL_SECONDS = 1.0
MISSES = 2


class Router:
    """A router's link, and what the balancer thinks of it.

    :ivar queued: bytes that wait on its link
    """

    def __init__(self, link_rate, diverting):
        self._link_rate = link_rate
        self._diverting = diverting
        self.diversion = LinkReadiness(link_rate)
        self.queued = 0.0
        self.misses = 0

    def advance(self, now):
        """Pass what the link passes in a step on."""
        passed = min(self.queued, STEP * self._link_rate)
        self.queued -= passed
        requests = passed / (BODY + OVERHEAD_BYTES)
        self.diversion.record(requests * (BODY + OVERHEAD_BYTES / 2), now)

    def poll(self, now):
        away = self._diverting and self.diversion.is_active(now)
        self.misses = self.misses + 1 if away else 0

    @property
    def taking(self):
        return self.misses < MISSES


def late_share(demand, diverting=True, routers=8, link_rate=LINK_RATE):
    """Return the share of a caller's requests that wait too long.

    :param demand: bytes a second that the caller asks for, over LINK_RATE
    """
    size = BODY + OVERHEAD_BYTES
    fleet = [Router(link_rate, diverting) for _number in range(routers)]
    sent = late = 0
    due = 0.0
    for step in range(int(SECONDS / STEP)):
        now = step * STEP
        if step % int(POLL_SECONDS / STEP) == 0:
            for router in fleet:
                router.poll(now)
        taking = [router for router in fleet if router.taking]
        if 2 * len(taking) < len(fleet):
            taking = fleet
        due += demand * LINK_RATE * STEP / size
        while due >= 1.0:
            due -= 1.0
            taking[0].queued += size
            sent += 1
            late += taking[0].queued / link_rate > IN_TIME
        for router in fleet:
            router.advance(now)
    return late / sent


@pytest.mark.parametrize("demand", (1.2, 1.5))
def test_without_diversion_a_large_caller_waits_ever_longer(demand):
    assert late_share(demand, diverting=False) > 0.8


@pytest.mark.parametrize("demand", DEMANDS)
def test_a_large_caller_is_served_by_several_routers(demand):
    assert late_share(demand) < 0.05


@pytest.mark.parametrize("demand", (1.3, 1.6, 2.0, 2.5))
def test_a_caller_that_is_too_large_for_one_link_gains_all_the_same(demand):
    # The balancer takes two seconds to act, in which the link is overrun.
    gain = late_share(demand, diverting=False) - late_share(demand)
    assert gain > 0.1


def test_small_callers_and_wide_links_are_left_alone():
    quiet, wide = LinkReadiness(LINK_RATE), LinkReadiness(200 * LINK_RATE)
    for number in range(400):
        now = number * 0.05
        quiet.record(BODY, now)
        for _request in range(20):
            wide.record(BODY, now)
        assert not quiet.is_active(now)
        assert not wide.is_active(now)


def test_an_unknown_link_diverts_nobody():
    diversion = LinkReadiness(0.0)
    for number in range(1000):
        diversion.record(10**6, number * 0.001)
    assert not diversion.is_active(1.0)


def test_it_lasts_for_a_while_and_ends():
    diversion = LinkReadiness(LINK_RATE)
    size = int(START_SHARE * LINK_RATE)
    diversion.record(size, 0.0)
    assert diversion.is_active(0.0)
    assert diversion.is_active(LEAST_SECONDS - 0.1)
    assert not diversion.is_active(LEAST_SECONDS + 0.1)


@pytest.mark.parametrize(
    "fields, rate",
    [
        ({"limits": {"link_mbps": 10.0}}, 1250000.0),
        ({"limits": {}}, 0.0),
        ({"limits": None}, 0.0),
        ({}, 0.0),
    ],
)
def test_the_rate_of_the_link_is_read_from_the_settings(fields, rate):
    assert _read_link_rate(fields) == rate


def test_a_router_whose_link_fills_up_is_not_ready_and_closes_connections():
    async def run():
        async with Platform() as platform:
            gateway = platform.gateway
            answer = await platform.ask("/safe/x", "r1")
            assert answer.headers.get("connection") != "close"
            gateway.readiness = LinkReadiness(1000.0)
            gateway.readiness.record(10000, gateway.clock.steady())
            # Alone it has nowhere to send its callers.
            assert not gateway.is_full()
            entry = MemberEntry(
                "north/10.0.0.9:1/run.3", "hall-a", 1, READY, 0
            )
            gateway.members.merge(Gossip([entry]))
            answer = await platform.ask("/safe/x", "r2")
            assert (answer.status, await answer.read()) == (
                200,
                b"body of r2 question",
            )
            assert answer.headers["connection"] == "close"
            health = await platform.client.request(
                platform.health, "GET", "/readyz"
            )
            assert health.status == 503
            assert gateway.ready

    asyncio.run(run())
