"""Routers of the own interface that lose their links to all upstreams.

Their own link is their only way (docs/incidents/022, docs/design/paths.md).
"""

import asyncio
from test.test_silence import run_on_net
from test.test_silence import STORE
from test.virtual import LoopClock
from test.virtual_net import HOST

from bench.deploy import POLICY
from bench.deploy import SERVICE
from rowanport import keys
from rowanport.config import ConfigEditor
from rowanport.config.editor import put_group
from rowanport.config.editor import put_organisation
from rowanport.config.editor import put_policy
from rowanport.config.editor import put_upstream
from rowanport.router.daemon import Router
from rowanport.schema.messages import GroupRecord
from rowanport.schema.messages import OrganisationRecord
from rowanport.schema.messages import PolicyRecord
from rowanport.schema.messages import UpstreamRecord
from rowanport.settings import parse_settings
from rowanport.standins.platform import PlatformStandin
from rowanport.standins.service import ServiceStandin
from rowanport.store import KeyValueStore
from rowanport.web import HttpClient

HOSTS = ("10.0.0.1", "10.0.0.2")
UPSTREAM = "10.9.0.1"
SETTINGS = """
[router]
name = {host}
address = {host}
data_centre = north
secret = a secret of the tests
[platform]
store = {store}:80
data_centres = north
"""
# Seconds after which routers know each other, and after which a router that
# is cut off serves through a peer.
START_SECONDS = 8.0
CONTACT_SECONDS = 4.0


async def publish(clock):
    """Publish one organisation and one plain service; return the key."""
    store = KeyValueStore(HttpClient(), f"{STORE}:80", "operator", 1.0)
    editor = ConfigEditor(store, "operator", clock)
    key, salt = keys.new_key("org"), keys.new_salt()
    hashed = keys.hash_key(salt, key)
    changes = (
        put_organisation(OrganisationRecord("org", salt, hashed, 1, 0, 0.0)),
        put_group(GroupRecord(SERVICE, "service", 0, 1, 1.0)),
        put_upstream(UpstreamRecord(f"{UPSTREAM}:80", SERVICE, "", 64, False)),
        put_policy(PolicyRecord(POLICY, [])),
    )
    for number, change in enumerate(changes):
        await editor.apply(f"change-{number}", change)
    return key


async def start_router(host, clock):
    """Start the router of a host, and list it; return it."""
    HOST.set(host)
    settings = parse_settings(SETTINGS.format(host=host, store=STORE))
    router = Router(settings, clock)
    await router.start()
    own = settings.router
    entry = {
        "address": f"{host}:{own.peer_port}",
        "role": "router",
        "data_centre": "north",
        "state": "live",
    }
    HOST.set("operator")
    await HttpClient().request_json(
        f"{STORE}:80", "PUT", f"/instances/{host}", entry
    )
    return router


async def ask(router, key, name):
    """Return the status of a request to the plain service."""
    HOST.set("caller")
    own = router.settings.router
    answer = await HttpClient().request(
        f"{own.address}:{own.caller_port}",
        "POST",
        f"/services/{SERVICE}/page",
        name.encode(),
        [("authorization", f"Bearer {key}")],
    )
    await answer.read()
    return answer.status


def test_a_router_of_the_own_interface_serves_through_a_peer():
    # Guards against refusals at a router that lost its own link while a peer
    # reaches the upstream.
    async def run(loop, net):
        clock = LoopClock(loop)
        HOST.set(STORE)
        platform = PlatformStandin()
        await platform.start(STORE, 80)
        HOST.set(UPSTREAM)
        service = ServiceStandin()
        await service.start(UPSTREAM, 80)
        HOST.set("operator")
        key = await publish(clock)
        routers = [await start_router(host, clock) for host in HOSTS]
        await asyncio.sleep(START_SECONDS)
        for number, router in enumerate(routers):
            assert await ask(router, key, f"before{number}") == 200
        net.sever(HOSTS[0], UPSTREAM, "reset")
        await asyncio.sleep(CONTACT_SECONDS)
        assert await ask(routers[1], key, "other") == 200
        status = await ask(routers[0], key, "cut off")
        for router in routers:
            await router.close()
        assert status == 200

    run_on_net(run)
