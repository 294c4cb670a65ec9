"""A gateway on the platform, against stand-ins that speak its protocol."""

import asyncio
import json
import pathlib
import re
from test.platform_world import config
from test.platform_world import ID_HEADER
from test.platform_world import KEY
from test.platform_world import LARGE
from test.platform_world import Platform
from test.platform_world import STAMP_HEADER
from test.platform_world import StoreStandin
from test.test_sources import Alone

import pytest

from bench.ports import free_ports
from rowanport.clock import SystemClock
from rowanport.errors import LeaseOver
from rowanport.errors import MessageError
from rowanport.errors import SettingsError
from rowanport.errors import StoreConflict
from rowanport.errors import StoreUnavailable
from rowanport.errors import UpstreamError
from rowanport.evacuations import Evacuations
from rowanport.gateway.freshness_tracker import FreshnessTracker
from rowanport.platform import settings as platform_settings
from rowanport.platform.config import decode_config
from rowanport.platform.sources import ConfigSource
from rowanport.platform.sources import DUTY_POLL
from rowanport.platform.sources import YOUNG_PAUSE
from rowanport.platform.store import HistoryLost
from rowanport.platform.store import PlatformStore
from rowanport.store import reach
from rowanport.store import Write
from rowanport.web import HttpClient

ROOT = pathlib.Path(__file__).resolve().parent.parent


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


async def read_events(answer):
    """Return the bytes of a stream, and whether it ended whole."""
    pieces = []
    try:
        async for piece in answer.pieces():
            pieces.append(piece)
    except UpstreamError:
        return b"".join(pieces), False
    return b"".join(pieces), True


def events(name, numbers):
    return b"".join(
        f"id: {number}\ndata: {name}\n\n".encode() for number in numbers
    )


# Requests


@scenario
async def test_a_request_is_passed_on_and_its_answer_back(platform):
    answer = await platform.ask("/safe/x?y=1", "abc", x_more="kept")
    assert answer.status == 200
    assert answer.headers[ID_HEADER] == "abc"
    assert answer.headers[STAMP_HEADER].startswith("stamp-")
    assert await answer.read() == b"body of abc question"
    (head,) = platform.runs
    assert head["x-rowanport-tenant"] == "org"
    assert head["x-rowanport-expect-instance"] in ("one", "two")
    assert head["x-more"] == "kept"
    assert "api-key" not in head
    assert 0 < int(head["x-rowanport-deadline-ms"]) <= 2000


@scenario
async def test_what_is_not_allowed_is_refused_without_a_run(platform):
    unknown = await platform.ask("/nowhere/")
    stranger = await platform.ask("/safe/", api_key="stranger")
    nobody = await platform.ask("/safe/", api_key=None)
    assert [a.status for a in (unknown, stranger, nobody)] == [404, 401, 401]
    assert STAMP_HEADER not in unknown.headers
    assert platform.runs == []


@scenario
async def test_a_public_route_needs_no_key(platform):
    answer = await platform.ask("/open/", api_key=None)
    assert answer.status == 200
    assert "x-rowanport-tenant" not in platform.runs[0]


@scenario
async def test_a_callers_own_claim_of_an_organisation_is_dropped(platform):
    await platform.ask("/safe/", x_rowanport_tenant="another")
    assert platform.runs[0]["x-rowanport-tenant"] == "org"


@scenario
async def test_a_full_upstream_is_passed_over(platform):
    for upstream in platform.upstreams:
        upstream.script = ["full"]
        answer = await platform.ask("/once/")
        assert answer.status == 200
        upstream.script = []
    assert len(platform.runs) == 2


@scenario
async def test_not_run_is_said_when_nobody_took_it(platform):
    for upstream in platform.upstreams:
        upstream.script = ["full"] * 5
    answer = await platform.ask("/once/")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) < 1.0
    assert platform.runs == []


@scenario
async def test_an_address_that_changed_hands_runs_nothing(platform):
    for upstream in platform.upstreams:
        upstream.script = ["misdirect"]
        assert (await platform.ask("/once/")).status == 200
        upstream.script = []
    assert len(platform.runs) == 2


@scenario
async def test_what_is_not_repeatable_runs_at_most_once(platform):
    for upstream in platform.upstreams:
        upstream.script = ["reset"] * 3
    answer = await platform.ask("/once/")
    # It may have run: nothing is promised.
    assert answer.status == 502
    assert "retry-after" not in answer.headers
    assert len(platform.runs) == 1


@pytest.mark.parametrize(
    "fault", ("reset", "error", "unsigned", "short", "stray")
)
def test_a_repeatable_request_survives(fault):
    async def run():
        async with Platform() as platform:
            for upstream in platform.upstreams:
                upstream.script = [fault]
            first, second = platform.upstreams
            first.script, second.script = [fault], []
            for number in range(4):
                answer = await platform.ask("/safe/", f"r{number}")
                assert answer.status == 200
                body = await answer.read()
                assert body == f"body of r{number} question".encode()

    asyncio.run(run())


@scenario
async def test_an_upstreams_own_failure_is_passed_on_with_its_stamp(platform):
    for upstream in platform.upstreams:
        upstream.script = ["error"] * 3
    answer = await platform.ask("/once/")
    assert answer.status == 500
    assert answer.headers[STAMP_HEADER].startswith("stamp-")
    assert len(platform.runs) == 1


@scenario
async def test_surplus_bytes_reach_nobody(platform):
    for upstream in platform.upstreams:
        upstream.script = ["surplus"] * 3
    for number in range(6):
        answer = await platform.ask("/once/", f"r{number}")
        assert await answer.read() == f"body of r{number} question".encode()


@scenario
async def test_a_large_answer_is_passed_on_as_it_comes(platform):
    for upstream in platform.upstreams:
        upstream.script = ["large"]
    answer = await platform.ask("/once/")
    assert answer.status == 200
    assert await answer.read() == LARGE


@scenario
async def test_a_route_is_answered_at_its_time_out(platform):
    for upstream in platform.upstreams:
        upstream.script = ["hang"]
    begun = asyncio.get_running_loop().time()
    answer = await platform.ask("/short/")
    seconds = asyncio.get_running_loop().time() - begun
    assert answer.status == 504
    assert 0.25 < seconds < 1.0


@scenario
async def test_a_run_is_cancelled_when_its_caller_leaves(platform):
    for upstream in platform.upstreams:
        upstream.pause = 0.05
        upstream.events = 100
    answer = await platform.stream("/stream/")
    platform.client.release("", answer._connection)
    await platform.wait(lambda: sum(u.cut for u in platform.upstreams), 1.0)


@scenario
async def test_a_body_in_chunks_and_without_length_are_read_whole(platform):
    reader, writer = await asyncio.open_connection(
        *platform.callers.split(":")
    )
    writer.write(
        b"POST /once/ HTTP/1.1\r\nHost: feed.example\r\n"
        b"Transfer-Encoding: chunked\r\n"
        + f"X-Rowanport-Request-Id: c1\r\nApi-Key: {KEY}\r\n\r\n".encode()
        + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    answer = await reader.readuntil(b"abcde")
    assert answer.startswith(b"HTTP/1.1 200")
    writer.close()


@scenario
async def test_a_request_hidden_in_another_is_refused(platform):
    reader, writer = await asyncio.open_connection(
        *platform.callers.split(":")
    )
    writer.write(
        b"POST /once/ HTTP/1.1\r\nHost: feed.example\r\n"
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
        + f"X-Rowanport-Request-Id: c1\r\nApi-Key: {KEY}\r\n\r\n".encode()
        + b"0\r\n\r\nGET /safe/ HTTP/1.1\r\nHost: feed.example\r\n\r\n"
    )
    answer = await reader.read()
    assert answer.startswith(b"HTTP/1.1 ")
    assert all(head[ID_HEADER] == "c1" for head in platform.runs)
    writer.close()


# Streams


@scenario
async def test_a_stream_is_passed_on_event_by_event(platform):
    answer = await platform.stream("/stream/", "s1")
    body, whole = await read_events(answer)
    assert (body, whole) == (events("s1", range(1, 7)), True)
    assert platform.runs[0]["priority"] == "1"


@scenario
async def test_a_stream_without_tokens_comes_event_by_event_too(platform):
    for upstream in platform.upstreams:
        upstream.pause = 0.3
    answer = await platform.ask("/stream/", "s1", accept="text/event-stream")
    async for piece in answer.pieces():
        assert piece == events("s1", [1])
        break


@pytest.mark.parametrize("fault", ("break", "tear"))
def test_a_broken_stream_goes_on_elsewhere(fault):
    async def run():
        async with Platform() as platform:
            for upstream in platform.upstreams:
                upstream.script = [fault]
            first = await platform.stream("/stream/", "s1")
            stamp = first.headers[STAMP_HEADER]
            body, whole = await read_events(first)
            assert (body, whole) != (b"", True)
            if whole:
                assert body == events("s1", range(1, 7))
            assert stamp == f"stamp-{_first_run(platform)}"

    asyncio.run(run())


def _first_run(platform):
    (name,) = {
        head["x-rowanport-expect-instance"]
        for head in platform.runs
        if "last-event-id" not in head
    }
    return name


@scenario
async def test_a_resumed_stream_has_each_event_once(platform):
    for upstream in platform.upstreams:
        upstream.script = ["tear"]
    probe = await platform.stream("/stream/", "probe")
    await read_events(probe)
    first = _first_run(platform)
    for upstream in platform.upstreams:
        upstream.heads.clear()
        upstream.script = ["tear"] if upstream.name == first else []
    answer = await platform.stream("/stream/", "s2")
    body, whole = await read_events(answer)
    assert (body, whole) == (events("s2", range(1, 7)), True)
    assert [h.get("last-event-id") for h in platform.runs].count("3") == 1


@scenario
async def test_a_stream_that_may_not_be_resumed_does_not_look_whole(platform):
    for upstream in platform.upstreams:
        upstream.script = ["break"]
    answer = await platform.stream("/plainstream/", "s1")
    body, whole = await read_events(answer)
    assert (body, whole) == (events("s1", range(1, 4)), False)
    assert len(platform.runs) == 1


# Budgets


@scenario
async def test_a_dry_budget_refuses_with_a_time_to_come_back(platform):
    # Some tokens are set aside, so that the rest is too little for now.
    await platform.wait(lambda: "org" in platform.gateway.budgets.accounts)
    account = platform.gateway.budgets.accounts["org"]
    await platform.wait(lambda: account.available > 5000)
    account.debit(5000)
    answer = await platform.stream("/stream/", tokens="90000,9000")
    assert answer.status == 429
    assert 0.5 < float(answer.headers["retry-after"]) < 5.0
    assert platform.runs == []


@scenario
async def test_what_the_whole_budget_cannot_hold_is_refused_for_good(platform):
    answer = await platform.stream("/stream/", tokens="99000,9000")
    assert answer.status == 402
    assert "retry-after" not in answer.headers
    assert json.loads(await answer.read())["error"]["code"] == "budget_spent"
    assert platform.runs == []


@scenario
async def test_used_tokens_are_settled_and_the_rest_set_free(platform):
    account = platform.gateway.budgets.accounts["org"]
    before = account.outflow
    answer = await platform.stream("/stream/", tokens="1000,500")
    await read_events(answer)
    await platform.wait(lambda: account.outflow == before + 1000 + 6 * 3)


@scenario
async def test_a_stream_whose_service_is_dropped_meanwhile_is_settled(
    platform,
):
    # Found by reading: what an event holds was looked up at the end, in the
    # newest configuration; the tokens stayed set aside for good.
    account = platform.gateway.budgets.accounts["org"]
    before = account.outflow
    for upstream in platform.upstreams:
        upstream.pause = 0.2
    answer = await platform.stream("/stream/", tokens="1000,500")
    newer = config(2)
    newer["services"] = [{**newer["services"][0], "name": "other"}]
    newer["routes"] = []
    await platform.store.put("op/config", newer)
    await platform.wait(lambda: platform.gateway.table.version == 2)
    assert await read_events(answer) == (events("r1", range(1, 7)), True)
    await platform.wait(lambda: account.outflow == before + 1000 + 6 * 3)


@scenario
async def test_a_top_up_is_in_force_without_a_restart(platform):
    refused = await platform.stream("/stream/", tokens="99000,9000")
    assert refused.status == 402
    await platform.store.put("op/config", config(2, prepaid=400000))
    account = platform.gateway.budgets.accounts["org"]
    await platform.wait(lambda: account.total == 400000)
    await asyncio.sleep(0.3)
    answer = await platform.stream("/stream/", tokens="99000,9000")
    assert answer.status == 200
    await read_events(answer)


# Configuration and upstreams


@scenario
async def test_a_newer_configuration_is_in_force_and_never_an_older(platform):
    newer = config(5)
    newer["tenants"][0]["api_keys"] = ["new-key"]
    await platform.store.put("op/config", newer)
    await platform.wait(lambda: platform.gateway.table.version == 5)
    assert (await platform.ask("/safe/")).status == 401
    assert (await platform.ask("/safe/", api_key="new-key")).status == 200
    await platform.store.put("op/config", config(4))
    await asyncio.sleep(0.5)
    assert platform.gateway.table.version == 5


@scenario
async def test_a_draining_upstream_gets_no_new_work(platform):
    one, two = platform.upstreams
    await platform.store.put("servers/one", one.entry(state="draining"))
    upstreams = platform.gateway.upstreams
    await platform.wait(
        lambda: platform.gateway.upstreams.upstreams["one"].leaving
    )
    assert platform.gateway.upstreams.revision > upstreams.revision
    for number in range(6):
        assert (await platform.ask("/safe/", f"r{number}")).status == 200
    assert one.heads == [] and len(two.heads) == 6


@scenario
async def test_an_entry_that_cannot_be_read_stops_nothing(platform):
    await platform.store.put("servers/bad", b"not json")
    await platform.store.put("servers/worse", {"service": "feed"})
    await platform.store.put("servers/three", platform.upstreams[0].entry())
    await platform.wait(
        lambda: "three" in platform.gateway.upstreams.upstreams
    )
    assert "bad" not in platform.gateway.upstreams.upstreams
    assert (await platform.ask("/safe/")).status == 200


@scenario
async def test_a_removed_upstream_is_gone_at_once(platform):
    await platform.store.remove("servers/one")
    await platform.wait(
        lambda: "one" not in platform.gateway.upstreams.upstreams, 1.5
    )


@scenario
async def test_entries_that_lapse_in_an_outage_are_kept_for_a_while(platform):
    platform.store.fault = "busy"
    await asyncio.sleep(1.5)
    # A watch that waited through the outage tells of the lapse at its end.
    entry, _revision, _lease = platform.store.items["servers/one"]
    await platform.store.remove("servers/one")
    platform.store.fault = ""
    await asyncio.sleep(1.0)
    assert "one" in platform.gateway.upstreams.upstreams
    await platform.store.put("servers/one", entry)
    await asyncio.sleep(3.0)
    assert "one" in platform.gateway.upstreams.upstreams


@scenario
async def test_an_outage_costs_few_calls_and_ends_soon(platform):
    # 20 calls in these seconds, none stale, before one probe spoke for all.
    platform.store.fault = "busy"
    await platform.store.put("servers/three", platform.upstreams[0].entry())
    await platform.wait(lambda: not platform.reach.up)
    before = len(platform.store.calls)
    await asyncio.sleep(3.0)
    calls = platform.store.calls[before:]
    assert set(calls) == {"/kv-key"}
    assert len(calls) <= 3.0 / reach.PROBE_INTERVAL + 2
    platform.store.fault = ""
    await platform.wait(lambda: platform.reach.up, reach.PROBE_INTERVAL + 0.2)
    await platform.wait(
        lambda: "three" in platform.gateway.upstreams.upstreams
    )


@scenario
async def test_what_stays_missing_after_an_outage_is_gone(platform):
    platform.store.fault = "busy"
    await asyncio.sleep(1.5)
    await platform.store.remove("servers/one")
    platform.store.fault = ""
    await platform.wait(
        lambda: "one" not in platform.gateway.upstreams.upstreams, 5.0
    )


@scenario
async def test_a_forgotten_history_is_listed_again(platform):
    platform.store.forget_history()
    await platform.store.put("op/config", config(7))
    await platform.wait(lambda: platform.gateway.table.version == 7)


# Life


@scenario
async def test_a_planned_stop_finishes_streams_and_closes_connections(
    platform,
):
    for upstream in platform.upstreams:
        upstream.pause = 0.1
    answer = await platform.stream("/stream/", "s1")
    reading = asyncio.ensure_future(read_events(answer))
    stopping = asyncio.ensure_future(platform.gateway.stop())
    await asyncio.sleep(0.1)
    status = await platform.client.request(platform.health, "GET", "/readyz")
    assert status.status == 503
    late = await platform.ask("/safe/", "late")
    assert late.status == 200
    assert late.headers["connection"] == "close"
    body, whole = await reading
    assert (body, whole) == (events("s1", range(1, 7)), True)
    await stopping


@scenario
async def test_metrics_are_served(platform):
    await platform.ask("/safe/")
    answer = await platform.client.request(platform.health, "GET", "/metrics")
    text = (await answer.read()).decode()
    assert 'rowanport_answers_total{outcome="done"} 1' in text
    assert "rowanport_tokens_held" in text


# The store's client


def with_store(body):
    """Run a coroutine function with a Platform and its PlatformStore."""

    async def run():
        async with Platform() as platform:
            client = HttpClient()
            port = platform.store._server._server.sockets[0].getsockname()[1]
            store = PlatformStore(client, f"127.0.0.1:{port}", SystemClock())
            await body(platform.store, store)
            client.close()

    asyncio.run(run())


def test_a_write_of_several_keys_is_all_or_nothing():
    async def body(standin, store):
        revision = await store.commit(
            [Write("a", b"1", 0), Write("b", b"2", 0)]
        )
        with pytest.raises(StoreConflict) as conflict:
            await store.commit(
                [Write("a", b"3", revision), Write("b", b"4", 0)]
            )
        assert conflict.value.values["b"].version == revision
        assert (await store.get_value("a")).data == b"1"
        assert (await store.get_value("none")).version == 0

    with_store(body)


def test_a_write_with_a_lease_that_is_over_does_nothing():
    async def body(standin, store):
        lease = await store.grant_lease(2.0)
        await store.commit([Write("a", b"1", None, lease)])
        with pytest.raises(LeaseOver):
            await store.commit([Write("a", b"2", None, 99)])
        assert (await store.get_value("a")).data == b"1"
        with pytest.raises(LeaseOver):
            await store.renew_lease(99)

    with_store(body)


def test_a_watch_tells_changes_and_a_lost_history():
    async def body(standin, store):
        revision = (await store.list("x/")).revision
        await standin.put("x/1", b"one")
        listing = await store.watch("x/", revision)
        assert [(i.key, i.data) for i in listing.items] == [("x/1", b"one")]
        await standin.remove("x/1")
        listing = await store.watch("x/", listing.revision)
        assert [(i.key, i.data) for i in listing.items] == [("x/1", None)]
        standin.forget_history()
        with pytest.raises(HistoryLost):
            await store.watch("x/", listing.revision)

    with_store(body)


def test_a_lost_answer_is_not_taken_for_a_failure():
    async def body(standin, store):
        standin.lost = 1
        with pytest.raises(StoreUnavailable):
            await store.commit([Write("a", b"1", 0)])
        assert (await store.get_value("a")).data == b"1"

    with_store(body)


# Settings and configuration


class FollowedViews:
    """Views of a router that is told whether it follows the store.

    :param table: the configuration that it knows of others
    """

    def __init__(self, table=None):
        self.table = table
        self.watches_store = False
        self.starting_up = False
        self.configs = []
        self.evacuations = Evacuations()
        self.freshness = FreshnessTracker(Alone(), SystemClock())

    def apply_config(self, data, source):
        self.configs.append(json.loads(data)["version"])

    def apply_evacuations(self, revision, data_centres, source):
        self.evacuations.replace(revision, data_centres, 0.0)

    def apply_evacuation_changes(self, changes, source):
        self.evacuations.apply(changes, 0.0)


def test_only_routers_on_duty_follow_the_store():
    # Found on the bench: of 86 routers each paid for a call at each change.
    async def run():
        standin = StoreStandin()
        (port,) = free_ports(1)
        await standin.start(port)
        await standin.put("op/config", config())
        client = HttpClient()
        store = PlatformStore(client, f"127.0.0.1:{port}", SystemClock())
        views = FollowedViews(table="of a peer")
        source = ConfigSource(store, SystemClock())
        task = asyncio.ensure_future(source.run(views))
        await asyncio.sleep(0.1)
        assert (standin.calls, views.configs) == ([], [])
        views.watches_store = True
        await asyncio.sleep(2 * DUTY_POLL)
        assert views.configs == [1]
        views.watches_store = False
        await standin.put("op/config", config(version=2))
        await asyncio.sleep(2 * DUTY_POLL)
        before = len(standin.calls)
        await standin.put("op/config", config(version=3))
        await asyncio.sleep(2 * DUTY_POLL)
        assert len(standin.calls) == before
        task.cancel()
        client.close()
        await standin.close()

    asyncio.run(run())


def test_a_router_that_just_started_pays_for_few_changes():
    # Found on the bench: 1,650 of 3,765 calls of a quiet day were made in the
    # first five seconds, in which 86 routers saw 143 upstreams start.
    async def run():
        standin = StoreStandin()
        (port,) = free_ports(1)
        await standin.start(port)
        client = HttpClient()
        views = FollowedViews()
        views.watches_store = views.starting_up = True
        clock = SystemClock()
        store = PlatformStore(client, f"127.0.0.1:{port}", clock)
        source = ConfigSource(store, clock)
        task = asyncio.ensure_future(source.run(views))
        for version in range(1, 26):
            await standin.put("op/config", config(version=version))
            await asyncio.sleep(0.08)
        await asyncio.sleep(YOUNG_PAUSE)
        assert views.configs[-1] == 25
        assert len(standin.calls) <= 3 + 2.8 / YOUNG_PAUSE
        task.cancel()
        client.close()
        await standin.close()

    asyncio.run(run())


def test_settings_are_read_and_checked(tmp_path):
    path = tmp_path / "boot.json"
    fields = {
        "node_name": "front-1",
        "zone": "hall-a",
        "region": "north",
        "listen": {
            "front": "10.1.0.40:1",
            "ready": "10.1.0.40:2",
            "control": "10.1.0.40:3",
        },
        "seeds": ["10.2.0.1:3"],
        "bounds": {
            "grace_s": 8,
            "retry_budget_ratio": 0.2,
            "retry_slack": 54,
            "budget_window_s": 10,
        },
        "platform": {"address": "10.200.1.7:8223"},
        "unknown": {},
    }
    environment = {
        platform_settings.PATH_VARIABLE: str(path),
        platform_settings.SECRET_VARIABLE: "a secret of the tests",
    }
    path.write_text(json.dumps(fields))
    read = platform_settings.read_settings(environment)
    assert read.gateway.data_centre == "hall-a"
    assert read.gateway.peers == "10.1.0.40:3"
    assert read.store == "10.200.1.7:8223"
    without = {platform_settings.PATH_VARIABLE: str(path)}
    with pytest.raises(SettingsError, match="SECRET"):
        platform_settings.read_settings(without)
    del fields["listen"]
    path.write_text(json.dumps(fields))
    with pytest.raises(SettingsError, match="listen"):
        platform_settings.read_settings(environment)
    path.write_text("{")
    with pytest.raises(SettingsError):
        platform_settings.read_settings(environment)
    with pytest.raises(SettingsError):
        platform_settings.read_settings({})


def test_the_costs_of_copied_runs_come_from_the_deploy_file():
    """Guards against copies that nobody asked for, and unread settings."""
    names = platform_settings.MOVE_VARIABLES
    assert platform_settings._read_moves({}) == {}
    values = dict(zip(names.values(), ("1.5", "2", "0.01")))
    assert platform_settings._read_moves(values) == {
        "copy_cost": 1.5,
        "lost_stream_cost": 2.0,
        "engine_failure_rate": 0.01,
    }
    for text in ("much", "-1", "nan", "inf"):
        with pytest.raises(SettingsError, match="COPY_COST"):
            platform_settings._read_moves({names["copy_cost"]: text})


def test_an_engine_block_is_decoded():
    """Guards against copies to engines that do not support them."""
    fields = config()
    fields["services"][0]["engine"] = {
        "slots": 12,
        "kv_capacity_tokens": 719043,
        "kv_token_bytes": 18432,
        "link_mbps": 370000,
        "moves": True,
        "backups": True,
        "handle_s": 5,
    }
    table = decode_config(json.dumps(fields).encode())
    engine = table.services["feed"].engine
    assert (engine.slots, engine.memory_tokens) == (12, 719043)
    assert (engine.token_bytes, engine.link_rate) == (18432, 46.25e9)
    assert (engine.moves, engine.backups) == (True, True)
    assert engine.handle_seconds == 5.0
    del fields["services"][0]["engine"]
    table = decode_config(json.dumps(fields).encode())
    engine = table.services["feed"].engine
    assert (engine.moves, engine.backups) == (False, False)


def test_a_configuration_is_decoded_into_a_table():
    table = decode_config(json.dumps(config()).encode())
    assert table.find_route("FEED.example:80", "/safe/a/b").name == "safe"
    assert table.find_route("feed.example", "/saf") is None
    assert table.find_route("other.example", "/safe/") is None
    assert table.find_route("feed.example", "/stream/").repeatable
    assert not table.find_route("feed.example", "/plainstream/").repeatable
    assert table.find_organisation(KEY).prepaid == 100000
    assert table.services["feed"].tokens_per_event == 3


def test_the_longest_prefix_wins_and_weights_split():
    fields = config()
    row = dict(fields["routes"][0])
    row["path_prefix"] = "/safe/deep/"
    row["name"] = "deep"
    row["traffic_split"] = [
        {"service": "feed", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    fields["routes"].append(row)
    table = decode_config(json.dumps(fields).encode())
    deep = table.find_route("feed.example", "/safe/deep/x")
    assert deep.name == "deep"
    names = [deep.service_for(f"request-{n}") for n in range(2000)]
    assert 120 < names.count("other") < 290


@pytest.mark.parametrize("data", (b"", b"[]", b'{"version": 1}'))
def test_an_unfit_configuration_is_an_error(data):
    with pytest.raises(MessageError):
        decode_config(data)


# Words


def test_the_platforms_words_stay_in_its_folder():
    words = re.compile(
        r"\b(requesters?|tenants?|back ?ends?|work items?|fence numbers?|"
        r"usage caps?|fleetbench|kv-\w+|op/config)\b",
        re.IGNORECASE,
    )
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sorted((ROOT / "rowanport").rglob("*.py"))
        if "platform" not in path.relative_to(ROOT / "rowanport").parts[:1]
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if words.search(line)
    ]
    assert found == []
