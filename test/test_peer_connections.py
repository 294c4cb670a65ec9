"""Connections that are slow, silent or lost, one at a time."""

import asyncio
import errno
from test.platform_world import config
from test.platform_world import HOST as NAME
from test.platform_world import ID_HEADER
from test.platform_world import KEY
from test.platform_world import route
from test.test_silence import end_tasks
from test.test_silence import Fleet
from test.test_silence import STORE
from test.test_silence import UPSTREAM
from test.test_views import make_views
from test.virtual import LoopClock
from test.virtual import VirtualLoop
from test.virtual_net import HOST
from test.virtual_net import VirtualNet
from unittest import mock

from rowanport.errors import PeerError
from rowanport.errors import StoreSilent
from rowanport.peers import PeerClient
from rowanport.platform.__main__ import STORE_KEEPALIVE
from rowanport.platform.store import PlatformStore
from rowanport.schema.messages import Ack
from rowanport.standins.kvstore import StoreStandin
from rowanport.web import HttpClient
from rowanport.wire import PeerServer


def on_net(body):
    """Return a test that runs a coroutine function on a VirtualNet."""

    def test():
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        net = VirtualNet(loop)
        with net.installed():
            try:
                loop.run_until_complete(body(loop, net))
            finally:
                end_tasks(loop)

    test.__name__ = body.__name__
    return test


async def at_once(_message):
    return Ack()


async def peers(handler=at_once):
    HOST.set("b")
    server = PeerServer(handler, "secret")
    await server.start("b", 1)
    HOST.set("a")
    return PeerClient("cell/a:1/x", "secret"), server


@on_net
async def test_a_handshake_that_goes_silent_is_replaced(loop, net):
    client, server = await peers()
    loop.call_later(0.0025, net.silence, lambda *names: True)
    begun = loop.time()
    try:
        await client.call("b:1", Ack(), 3.0, repeatable=True)
    except PeerError:
        pass
    assert loop.time() - begun < 1.0


@on_net
async def test_a_handshake_that_goes_silent_holds_up_no_other(loop, net):
    client, server = await peers()
    loop.call_later(0.0025, net.silence, lambda *names: True)
    first = asyncio.ensure_future(client.call("b:1", Ack(), 3.0))
    await asyncio.sleep(0.5)
    failed = 0
    for _number in range(4):
        try:
            await client.call("b:1", Ack(), 0.5)
        except PeerError:
            failed += 1
    first.cancel()
    assert failed <= 1


@on_net
async def test_a_repeatable_call_is_repeated_on_a_busy_loop(loop, net):
    client, server = await peers()
    await client.call("b:1", Ack(), 3.0)
    net.silence(lambda *names: True)

    def busy():
        loop.now += 0.002

    loop.call_soon(busy)
    begun = loop.time()
    try:
        await client.call("b:1", Ack(), 3.0, repeatable=True)
    except PeerError:
        pass
    assert loop.time() - begun < 1.0


@on_net
async def test_a_repeatable_call_is_repeated_on_an_idle_loop(loop, net):
    client, server = await peers()
    for number in range(20):
        await asyncio.sleep(0.137)
        await client.call("b:1", Ack(), 3.0)
        net.silence(lambda *names: True)
        begun = loop.time()
        try:
            await client.call("b:1", Ack(), 3.0, repeatable=True)
        except PeerError:
            pass
        assert loop.time() - begun < 1.0, number


@on_net
async def test_a_slow_handler_is_no_silent_connection(loop, net):
    async def slow(_message):
        await asyncio.sleep(20.0)
        return Ack()

    client, server = await peers(slow)
    calls = []
    for _number in range(30):
        calls.append(asyncio.ensure_future(client.call("b:1", Ack(), 30.0)))
        await asyncio.sleep(0.5)
    print("open", server.open)
    assert server.open <= 2


@on_net
async def test_a_handler_that_fails_is_no_silent_connection(loop, net):
    async def fails(message):
        raise KeyError("a fault of this kind of message")

    client, server = await peers(fails)
    silences = []
    client.on_silence = silences.append
    for _number in range(5):
        try:
            await client.call("b:1", Ack(), 0.3)
        except PeerError:
            pass
        await asyncio.sleep(0.5)
    assert silences == []


@on_net
async def test_a_connection_that_was_just_heard_is_not_called_silent(
    loop, net
):
    waits = [0.3, 3.0, 0.0]

    async def slow(_message):
        await asyncio.sleep(waits.pop(0))
        return Ack()

    client, server = await peers(slow)
    silences = []

    def note(since):
        silences.append(loop.time() - since)

    client.on_silence = note
    with mock.patch("test.virtual_net.DELAY", 0.1):
        first = asyncio.ensure_future(client.call("b:1", Ack(), 5.0))
        await asyncio.sleep(0.45)
        second = asyncio.ensure_future(client.call("b:1", Ack(), 5.0))
        await asyncio.sleep(0.35)
        await client.call("b:1", Ack(), 5.0)
        await asyncio.gather(first, second)
    assert all(seconds >= 0.4 for seconds in silences), silences


@on_net
async def test_a_watch_is_sent_anew_on_a_new_connection(loop, net):
    HOST.set(STORE)
    store = StoreStandin()
    await store.start_at(STORE, 80)
    await store.put("op/config", config())
    HOST.set("a")
    client = HttpClient(0.5, STORE_KEEPALIVE)
    mine = PlatformStore(client, f"{STORE}:80", LoopClock(loop))
    await mine.get("op/config")
    revision = (await mine.get("op/config")).revision
    watch = asyncio.ensure_future(mine.watch("op/", revision))
    await asyncio.sleep(0.5)
    # A call of another user leaves a kept connection.
    await mine.get("op/config")
    await asyncio.sleep(0.5)
    kept = client._idle[f"{STORE}:80"][0].writer
    error = TimeoutError(errno.ETIMEDOUT, "timed out")
    # The kernel probes each connection at its own point of each second.
    kept.probe = lambda: loop.call_later(2.9, kept.hear_end, error)
    net.silence(lambda *names: True)
    try:
        await watch
    except StoreSilent:
        pass
    await store.put("op/config", config(version=2))
    begun = loop.time()
    try:
        await mine.watch("op/", revision)
    except StoreSilent:
        pass
    took = loop.time() - begun
    print("watch sent anew took", took)
    await store.close()
    assert took < 0.5


@on_net
async def test_a_stop_ends_within_its_grace(loop, net):
    fleet = Fleet(net, LoopClock(loop), 4)
    await fleet.start()
    host = fleet.hosts[0]
    gateway = fleet.gateways[host]
    gateway.settings.stop_grace = 8.0
    HOST.set("10.9.0.1")

    async def hang(reader, writer):
        await asyncio.sleep(100.0)

    await net.listen(hang, "10.9.0.1", 80, 0, 0)
    HOST.set("caller")
    client = HttpClient()
    fleet.version += 1
    await fleet.store.put(
        "op/config",
        config(
            version=fleet.version,
            routes=[route("/long/", "non_idempotent", timeout_ms=30000)],
        ),
    )
    await asyncio.sleep(3.0)

    async def ask():
        try:
            answer = await client.request(
                f"{host}:80",
                "POST",
                "/long/x",
                b"q",
                [
                    ("host", NAME),
                    (ID_HEADER, "r1"),
                    ("api-key", KEY),
                    ("x-rowanport-deadline-ms", "30000"),
                ],
                timeout=60.0,
            )
            print("answer", answer.status, loop.time() - begun)
            await answer.read()
        except Exception as error:
            print("error", repr(error), loop.time() - begun)

    asking = asyncio.ensure_future(ask())
    await asyncio.sleep(0.5)
    assert gateway._server.busy == 1
    begun = loop.time()
    HOST.set(host)
    stopping = asyncio.ensure_future(gateway.stop())
    await asyncio.sleep(6.0)
    # Towards the end nobody answers: neither the store nor any heir.
    fleet.store.fault = "silent"

    async def mute(address, message, timeout, repeatable=False):
        await asyncio.sleep(timeout)
        raise PeerError("cut off")

    gateway._peers.call = mute
    gateway.budgets.credit("org", 50)
    _reader, half = await net.connect(host, 80)
    half.write(b"POST /long/y HTTP/1.1\r\n")
    await stopping
    took = loop.time() - begun
    print("stop took", took)
    await asking
    await fleet.close()
    assert took < 8.0


async def outage(loop, net, seconds, prepaid=100000):
    fleet = Fleet(net, LoopClock(loop), 3)
    with mock.patch("test.test_silence.config", lambda: config(1, prepaid)):
        await fleet.start()
    await fleet.store.put("servers/two", UPSTREAM)
    await asyncio.sleep(6.3)
    await fleet.remove_in_outage("two", seconds)
    lost = []
    until = loop.time() + 1.0
    while loop.time() < until:
        for host, gateway in fleet.gateways.items():
            if "two" not in gateway.upstreams.upstreams and host not in lost:
                lost.append(host)
        await asyncio.sleep(0.02)
    backs = [
        g._sources[0]._store.reach.recovered_at
        for g in fleet.gateways.values()
    ]
    print(seconds, "lost by", lost, backs)
    await fleet.close()
    return lost


def lost_in_outages(lengths, **options):
    """Return by an outage's length who drops what lapsed in it at once."""
    lost = {}
    for seconds in lengths:
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        net = VirtualNet(loop)
        with net.installed():
            try:
                lost[seconds] = loop.run_until_complete(
                    outage(loop, net, seconds, **options)
                )
            finally:
                end_tasks(loop)
    return lost


def test_what_lapses_in_an_outage_is_kept_for_a_while():
    # Three heartbeats of 1.2 s lapse in an outage of 2.4 s or more.
    lost = lost_in_outages((2.4, 3.0, 3.6, 5.0))
    assert not any(lost.values()), lost


def test_what_lapses_in_an_outage_is_kept_where_nothing_is_drawn():
    # As in a fleet of 86, where few followers of the store draw tokens.
    lost = lost_in_outages((2.4, 3.0, 3.6, 5.0, 8.0), prepaid=None)
    assert not any(lost.values()), lost


class LateLoop(VirtualLoop):
    """A VirtualLoop whose timers fire slightly late, as real ones do."""

    def __init__(self):
        super().__init__()
        selector = self._selector
        select = selector.select

        def late(timeout=None):
            return select(timeout + 0.0002 if timeout else timeout)

        selector.select = late


def test_silent_connections_are_no_congested_link():
    loop = LateLoop()
    asyncio.set_event_loop(loop)
    net = VirtualNet(loop)

    async def run():
        fleet = Fleet(net, LoopClock(loop), 7)
        await fleet.start()
        congested = 0.0
        for number in range(6):
            host = fleet.hosts[number]
            net.silence(lambda *names: host in names)
            until = loop.time() + 5.0
            while loop.time() < until:
                if fleet.gateways[host].congestion.congested:
                    congested += 0.02
                await asyncio.sleep(0.02)
        await fleet.close()
        return congested

    with net.installed():
        try:
            congested = loop.run_until_complete(run())
        finally:
            end_tasks(loop)
    print("congested for", congested)
    assert congested == 0.0


@on_net
async def test_a_new_peer_is_reached_through_a_full_link(loop, net):
    # Opening a connection takes two round trips.
    hosts = ["b", "c", "d", "e"]
    for host in hosts:
        HOST.set(host)
        await PeerServer(at_once, "secret").start(host, 1)
    HOST.set("a")
    client = PeerClient("cell/a:1/x", "secret")
    for host in hosts[:3]:
        await client.call(f"{host}:1", Ack(), 3.0)
    net.fill("a", inward=0.6, outward=0.6)
    for host in hosts[:3]:
        await client.call(f"{host}:1", Ack(), 3.0, repeatable=True)
    assert await client.call("e:1", Ack(), 6.0) == Ack()


class SilentMembers:
    """Members of which none seems alive."""

    knows_peers = True
    seeds = ["seed"]
    listed = ["listed", "own"]

    def ready_peers(self):
        return []

    def delegates(self, kind, least, share):
        return ["own", "follower"]


def test_who_takes_all_for_dead_goes_on_asking():
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    peers = SilentPeers()
    views = make_views(loop, SilentMembers(), peers)
    run = loop.create_task(views.run())
    loop.run_until_complete(asyncio.sleep(2.0))
    run.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    assert peers.asked == {"seed", "listed", "follower"}


class SilentPeers:
    """Peers of which none answers."""

    def __init__(self):
        self.asked = set()

    async def call(self, address, message, timeout, repeatable):
        self.asked.add(address)
        await asyncio.sleep(timeout)
        raise PeerError("no answer")


@on_net
async def test_a_tool_without_an_address_is_answered(loop, net):
    _client, server = await peers()
    tool = PeerClient("operator", "secret")
    assert await tool.call("b:1", Ack(), 3.0) == Ack()
    assert server.open == 1
