"""A caller that fills one router's link is served by several routers.

The load replayed here: the platform hands each new connection of a caller to
one router by a hash, so that one large caller asks for three times what a link
passes, while the other routers are nearly idle.  When the router said that it
was not ready, the whole crowd went to one other router and back.
"""

import asyncio
import random
import statistics
from test.platform_world import Platform
from test.test_state_exchange import Members
from test.test_state_exchange import Peers

import pytest

from bench.crowd import CROWD
from bench.crowd_ways import Built
from bench.crowd_ways import changes
from bench.crowd_ways import NotReady
from bench.crowd_ways import play
from bench.crowd_ways import ratios
from bench.crowd_ways import slow_polls
from bench.crowd_ways import Way
from bench.crowd_ways import worth
from rowanport.diversion import Diversion
from rowanport.diversion import PeerSummary
from rowanport.diversion import PeerUse
from rowanport.diversion.diversion import FULL_PEERS
from rowanport.diversion.link_use import LinkUse
from rowanport.diversion.peers import LIFETIME
from rowanport.diversion.shares import fair_level
from rowanport.diversion.shares import OrganisationBytes
from rowanport.diversion.shares import WINDOW
from rowanport.errors import CallerDiverted
from rowanport.errors import MessageError
from rowanport.gateway.answer_sizes import AnswerSizes
from rowanport.gateway.link_sharing import LinkSharing
from rowanport.gateway.refusals import DIVERTED_JITTER
from rowanport.gateway.refusals import Refusals
from rowanport.gateway.state_exchange import StateExchange
from rowanport.membership.members import READY
from rowanport.platform.settings import _read_link_rate
from rowanport.schema.messages import Gossip
from rowanport.schema.messages import MemberEntry

LINK_RATE = 625000.0
BODY = 5900
DEMANDS = (0.8, 1.0)


@pytest.fixture(autouse=True)
def _seed():
    random.seed(1)


# The requirements, in the model of routers, balancer and callers


@pytest.fixture(scope="module", params=(False, True), ids=("new", "kept"))
def crowded(request):
    """Return the Model of a crowd of three times a link's rate."""
    random.seed(1)
    return play(Built, request.param)


def test_the_fullest_link_is_below_three_times_the_median(crowded):
    # Guards against one choked link beside fourteen idle ones.
    assert max(ratios(crowded)) < 3.0


def test_routers_do_not_take_turns_at_being_the_fullest(crowded):
    # Guards against a crowd that moves as a whole.  Where the load is even,
    # chance decides who is the fullest: only links above twice the median
    # count then.
    assert changes(crowded, least=2.0) <= 2


def test_with_new_connections_the_fullest_router_stays_the_same():
    assert changes(play(Built, kept=False)) <= 2


def test_a_router_that_is_not_ready_passes_the_crowd_on():
    # Shows that the measures above find what was before.
    model = play(NotReady, kept=False)
    assert changes(model, least=2.0) > 4
    assert max(ratios(model)) > 10.0
    assert slow_polls(model) > 0.1


def test_the_crowd_and_all_others_are_served_alike(crowded):
    crowd, others = worth(crowded, True), worth(crowded, False)
    assert abs(crowd - others) < 0.1
    assert min(crowd, others) > 0.9


def test_polls_of_peers_stay_quick(crowded):
    # A router with an old view must refuse everything.
    assert slow_polls(crowded) < 0.01


def late_share(demand, way=Built):
    """Return the share of the crowd's requests that miss the objective."""
    worths = play(way, kept=False, crowd=demand, others=0.3).worths[CROWD]
    return statistics.fmean(one < 1.0 for one in worths)


@pytest.mark.parametrize("demand", (1.2, 1.5))
def test_without_diversion_a_large_caller_waits_ever_longer(demand):
    assert late_share(demand, Way) > 0.8


@pytest.mark.parametrize("demand", DEMANDS)
def test_a_large_caller_is_served_by_several_routers(demand):
    assert late_share(demand) < 0.05


@pytest.mark.parametrize("demand", (1.3, 1.6, 2.0, 2.5))
def test_a_caller_that_is_too_large_for_one_link_gains_all_the_same(demand):
    assert late_share(demand, Way) - late_share(demand) > 0.5


# The decisions, on given time


def make_diversion(quartile=None, median=None, link_rate=LINK_RATE):
    """Return a Diversion beside peers of which that is known at 0."""
    peers = PeerUse("hall-a")
    if quartile is not None:
        peers.apply(PeerSummary(quartile, median), 0.0)
    return Diversion(link_rate, peers)


def fill(diversion, share, now=1.0, organisation="large"):
    """Let requests on open connections use a part of a link for a second."""
    count = 50
    for number in range(count):
        at = now - 1.0 + number / count
        size = share * LINK_RATE / count
        diversion.record_request(organisation, size, False, at)
    return diversion


def test_small_callers_and_wide_links_are_left_alone():
    quiet = make_diversion(0.0, 0.0)
    wide = make_diversion(0.0, 0.0, 200 * LINK_RATE)
    for number in range(400):
        now = number * 0.05
        quiet.record_request("small", BODY, False, now)
        for _request in range(20):
            wide.record_request("large", BODY, False, now)
        assert not quiet.is_active(now)
        assert not wide.is_active(now)


def test_an_unknown_link_diverts_nobody():
    diversion = make_diversion(link_rate=0.0)
    for number in range(1000):
        diversion.record_request("large", 10**6, False, number * 0.001)
    assert not diversion.is_active(1.0)
    assert not diversion.is_active(1.0, congested=True)
    assert not diversion.excess("large", 1.0)


def test_it_ends_within_tenths_of_a_second():
    # Guards against a crowd that is kept away for seconds, and comes back.
    diversion = fill(make_diversion(), 1.0)
    assert diversion.is_active(1.0)
    assert not diversion.is_active(1.5)


@pytest.mark.parametrize("direction", ("add_in", "add_out"))
def test_each_direction_of_the_link_counts_on_its_own(direction):
    # Guards against a mean of both that hides the full one.
    use = LinkUse(1000.0)
    for number in range(100):
        getattr(use, direction)(9.0, number * 0.01)
    assert 0.7 < use.share(1.0) < 1.1


def test_bytes_that_are_still_to_pass_count_as_use():
    use = LinkUse(1000.0)
    use.add_pending(0, 390)
    assert use.share(0.0) == pytest.approx(1.0, abs=0.05)
    use.add_pending(0, -390)
    assert use.share(0.0) == 0.0


def test_a_connection_counts_before_its_request_has_come():
    # Guards against a burst of connections that are accepted while the
    # requests on them are in transit.
    diversion = make_diversion()
    accepted = 0
    while not diversion.is_active(0.0):
        diversion.record_connection(0.0)
        accepted += 1
    assert 5 < accepted < 40
    used = diversion.use.share(0.0)
    for _request in range(accepted):
        diversion.record_request("large", 3800, True, 0.0)
    assert diversion.use.share(0.0) == pytest.approx(used, rel=0.05)


@pytest.mark.parametrize("median, bears", ((0.1, 0.38), (0.3, 0.55)))
def test_the_target_follows_the_links_of_the_peers(median, bears):
    diversion = fill(make_diversion(median, median), bears)
    assert not diversion.is_active(1.0)
    fill(diversion, 2 * bears, 2.0)
    assert diversion.is_active(2.0)


def test_old_news_of_peers_no_longer_counts():
    peers = PeerUse("hall-a")
    peers.collect("a", "hall-a", 0.9, 0.0)
    peers.apply(PeerSummary(0.9, 0.9), 0.5)
    assert peers.summary(LIFETIME + 0.4).quartile == 0.9
    assert peers.summary(LIFETIME + 0.6) is None


def test_only_the_peers_of_the_same_data_centre_count():
    # A balancer hands callers to the routers of its own data centre.
    peers = PeerUse("hall-a")
    for number in range(4):
        peers.collect(f"a{number}", "hall-a", 0.2 + 0.1 * number, 0.0)
        peers.collect(f"b{number}", "hall-b", 0.9, 0.0)
    summary = peers.summary_for("a3", 0.0)
    assert summary.quartile == pytest.approx(0.2)
    assert summary.median == pytest.approx(0.3)
    assert peers.summary_for("unknown", 0.0) is None
    assert peers.summary(0.0).median == pytest.approx(0.4)


def test_only_organisations_beyond_their_share_are_refused():
    diversion = make_diversion(0.1, 0.1)
    for number in range(100):
        now = number * 0.01
        diversion.record_request("large", 6000, False, now)
        diversion.record_request("small", 300, False, now)
    assert diversion.excess("large", 1.0) > 0.4
    assert diversion.excess("small", 1.0) == 0.0
    assert diversion.excess("absent", 1.0) == 0.0


def test_as_many_requests_are_refused_as_are_too_many():
    diversion = fill(make_diversion(0.1, 0.1), 1.0)
    # The target is .4 of the link, headers of packets count as well.
    assert diversion.excess("large", 1.0) == pytest.approx(0.6, abs=0.08)


def test_nobody_is_refused_while_the_pauses_suffice():
    assert not fill(make_diversion(0.1, 0.1), 0.42).excess("large", 1.0)


def test_nobody_is_refused_while_all_peers_are_full():
    # A caller that leaves would be refused there too.
    diversion = fill(make_diversion(FULL_PEERS, 0.9), 1.5)
    assert not diversion.excess("large", 1.0)


def test_beside_busy_peers_a_link_is_used_further():
    # Guards against routers that all refuse what a fleet of .8 could bear.
    busy, idle = make_diversion(0.8, 0.8), make_diversion(0.2, 0.4)
    assert not fill(busy, 0.75).is_active(1.0)
    assert fill(idle, 0.85).is_active(1.0)


def test_a_congested_link_is_relieved_whatever_its_rate_is_said_to_be():
    # Guards against a rate in the settings that the link does not pass.
    diversion = fill(make_diversion(0.1, 0.1), 0.2)
    assert not diversion.is_active(1.0)
    assert diversion.is_active(1.0, congested=True)
    assert diversion.excess("large", 1.0, congested=True) > 0.3


def test_bytes_of_an_organisation_count_for_half_a_second():
    counted = OrganisationBytes()
    counted.add("large", 1000, 0.0)
    assert counted.excess("large", 1000, WINDOW - 0.01) == 0.5
    assert counted.excess("large", 1000, WINDOW) == 0.0


@pytest.mark.parametrize(
    "amounts, total, level",
    [
        ([1, 2, 9], 9, 6),
        ([9, 2, 1], 9, 6),
        ([4, 4, 4], 6, 2),
        ([7], 5, 5),
    ],
)
def test_what_small_organisations_leave_goes_to_the_large(
    amounts, total, level
):
    assert fair_level(amounts, total) == level
    assert sum(min(one, level) for one in amounts) == total


def test_where_all_have_less_than_their_share_nobody_is_beyond_it():
    assert fair_level([1, 1], 10) >= 1
    assert fair_level([], 10) == 10


def test_a_long_stream_is_pending_only_with_its_next_bytes():
    sizes = AnswerSizes()
    assert sizes.expected("chat") == 0.0
    sizes.record("chat", 30000, 10.0)
    sizes.record("short", 1000, 0.05)
    assert sizes.expected("chat") == pytest.approx(300.0)
    assert sizes.expected("short") == 1000


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


# The exchange of state


class Clock:
    now = 1.0

    def steady(self):
        return self.now


def make_sharing(shares, data_centre="hall-a"):
    """Return the Peers, and the PeerUse of routers by address."""
    peers, uses = Peers(), {}
    for address, share in shares.items():
        uses[address] = PeerUse(data_centre)
        diversion = fill(Diversion(LINK_RATE, uses[address]), share)
        exchange = StateExchange(peers, Members(["a"]), address)
        exchange.add(
            LinkSharing(diversion, uses[address], data_centre, Clock())
        )
        peers.exchanges[address] = exchange
    return peers, uses


def test_a_router_learns_how_full_the_links_of_its_peers_are():
    peers, uses = make_sharing({"a": 0.2, "b": 0.4, "c": 0.6, "d": 0.9})
    for address in ("b", "c", "d", "d"):
        asyncio.run(peers.exchanges[address].exchange())
    summary = uses["d"].summary(1.0)
    # A half-life of a second has seen half of the load.
    assert 0.1 < summary.quartile <= summary.median < 0.5


def test_a_lost_collector_leaves_a_router_with_its_default():
    peers, uses = make_sharing({"a": 0.2, "b": 0.4})
    del peers.exchanges["a"]
    asyncio.run(peers.exchanges["b"].exchange())
    assert uses["b"].summary(1.0) is None


@pytest.mark.parametrize("data", (b"", b"\x01\xff\xfe"))
def test_an_unreadable_report_is_an_error_of_the_message(data):
    diversion = make_diversion()
    sharing = LinkSharing(diversion, PeerUse("x"), "x", Clock())
    with pytest.raises(MessageError):
        sharing.collect(data, "peer")
    with pytest.raises(MessageError):
        sharing.apply(b"\x01", "peer")


def test_links_of_unknown_rate_cost_no_reports():
    peers = PeerUse("hall-a")
    assert not LinkSharing(Diversion(0.0, peers), peers, "x", Clock()).active


def test_a_diverted_caller_comes_back_at_once():
    # Guards against the usual .1 to .4 s, after which an answer is late.
    seconds = Refusals(Clock())._retry_seconds(CallerDiverted(), None)
    assert 0.0 <= seconds <= DIVERTED_JITTER


# A gateway


def add_peer(gateway):
    entry = MemberEntry("north/10.0.0.9:1/run.3", "hall-a", 1, READY, 0)
    gateway.members.merge(Gossip([entry]))


def fill_gateway(gateway, share, organisation="org"):
    """Give a gateway a link that is used to a part."""
    gateway.diversion = Diversion(LINK_RATE, PeerUse("hall-a"))
    fill(gateway.diversion, share, gateway.clock.steady(), organisation)


def test_alone_a_router_serves_all_callers():
    async def run():
        async with Platform() as platform:
            fill_gateway(platform.gateway, 3.0)
            answer = await platform.ask("/safe/x", "r1")
            assert answer.status == 200
            assert answer.headers.get("connection") != "close"
            assert not platform.gateway.is_diverting()

    asyncio.run(run())


def test_a_full_router_stays_ready_and_refuses_connections_for_a_moment():
    # Guards against callers that all leave, as a router is not ready, and
    # against open connections that end with the pause.
    async def run():
        async with Platform() as platform:
            gateway = platform.gateway
            add_peer(gateway)
            assert (await (await platform.ask("/safe/x", "r1")).read()) != b""
            fill_gateway(gateway, 0.6, "other")
            answer = await platform.ask("/safe/x", "r2")
            assert (answer.status, await answer.read()) == (
                200,
                b"body of r2 question",
            )
            assert answer.headers.get("connection") != "close"
            await platform.wait(lambda: gateway._server.paused)
            assert gateway.is_diverting()
            with pytest.raises(OSError):
                await open_connection(platform.callers)
            health = await platform.client.request(
                platform.health, "GET", "/readyz"
            )
            assert health.status == 200
            await platform.wait(lambda: not gateway._server.paused, 2.0)
            _reader, writer = await open_connection(platform.callers)
            writer.close()
            await platform.wait(lambda: not gateway.is_diverting(), 4.0)

    asyncio.run(run())


def test_requests_beyond_the_share_are_refused_at_once_and_the_others_served():
    async def run():
        async with Platform() as platform:
            gateway = platform.gateway
            add_peer(gateway)
            await (await platform.ask("/safe/x", "r1")).read()
            fill_gateway(gateway, 40.0)
            answer = await platform.ask("/safe/x", "r2")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) <= DIVERTED_JITTER
            assert answer.headers["connection"] == "close"
            assert (await answer.json())["error"]["code"] == "overloaded"
            assert len(platform.runs) == 1
            fill_gateway(gateway, 0.0)
            await platform.wait(lambda: not gateway._server.paused, 2.0)
            await (await platform.ask("/safe/x", "r3")).read()
            fill_gateway(gateway, 40.0, "other")
            answer = await platform.ask("/safe/x", "r4")
            assert answer.status == 200

    asyncio.run(run())


def test_requests_in_hand_count_and_are_forgotten_when_they_end():
    # Guards against pending bytes that are never taken back.
    async def run():
        async with Platform() as platform:
            gateway = platform.gateway
            fill_gateway(gateway, 0.0)
            for number in range(5):
                answer = await platform.ask("/safe/x", f"r{number}")
                await answer.read()
            answer = await platform.stream("/stream/x", "r9")
            await answer.read()
            await platform.wait(lambda: not gateway.callers._passages)
            use = gateway.diversion.use
            assert use._in.pending == pytest.approx(0.0)
            assert use._out.pending == pytest.approx(0.0)
            assert gateway.callers.link_share > 0.0
            # The checks end with the use of the link.
            await platform.wait(lambda: not gateway.callers._checking, 6.0)

    asyncio.run(run())


def test_a_router_stops_while_it_accepts_no_connections():
    # Guards against a stop that waits for, or fails on, a closed socket.
    async def run():
        async with Platform() as platform:
            gateway = platform.gateway
            add_peer(gateway)
            await (await platform.ask("/safe/x", "r1")).read()
            fill_gateway(gateway, 2.0, "other")
            gateway.callers._start_checks()
            await platform.wait(lambda: gateway._server.paused)
            async with asyncio.timeout(6.0):
                await gateway.stop()
            with pytest.raises(OSError):
                await open_connection(platform.callers)

    asyncio.run(run())


def test_a_check_that_fails_does_not_leave_a_router_deaf(monkeypatch):
    # Guards against a pause that nothing ends.
    async def run():
        async with Platform() as platform:
            callers = platform.gateway.callers
            fill_gateway(platform.gateway, 0.0)
            platform.gateway._server.pause()

            def fail(_passage):
                raise ValueError("a fault")

            with monkeypatch.context() as patch:
                patch.setattr(callers, "_count", fail)
                callers._passages.add(object())
                callers._start_checks()
                await asyncio.sleep(0.1)
                assert platform.gateway._server.paused
                callers._passages.clear()
            await platform.wait(lambda: not platform.gateway._server.paused)

    asyncio.run(run())


async def open_connection(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))
