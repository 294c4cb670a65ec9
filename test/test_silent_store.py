"""The own interface's calls of the store on a connection that goes silent.

Its clients have no keep-alive (docs/incidents/010, "Open").
"""

import asyncio
from test.test_silence import run_on_net
from test.test_silence import STORE
from test.virtual import LoopClock
from test.virtual_net import HOST

from rowanport.config import ConfigEditor
from rowanport.config import ConfigFollower
from rowanport.config.editor import put_organisation
from rowanport.schema.messages import OrganisationRecord
from rowanport.standins.platform import PlatformStandin
from rowanport.store import KeyValueStore
from rowanport.web import HttpClient

# Seconds in which an accepted configuration has to be in force.
APPLY_SECONDS = 5.0
ROUTER = "10.0.0.1"


class OnlyMember:
    """The Membership of a router that is alone."""

    def __init__(self):
        self.own_entry = self
        self.incarnation = ROUTER
        self.config = 0

    def homes(self, _shard, _kind):
        return [self.incarnation]

    def set_config(self, version):
        self.config = version

    def newest_config(self):
        return self


def open_store(name):
    """Return the client of the store as a router builds it."""
    return KeyValueStore(HttpClient(), f"{STORE}:80", name, 1.0)


def test_a_configuration_is_in_force_after_the_watch_goes_silent():
    # Guards against an old configuration for as long as a watch waits.
    async def run(loop, net):
        HOST.set(STORE)
        platform = PlatformStandin()
        await platform.start(STORE, 80)
        HOST.set("operator")
        editor = ConfigEditor(open_store("operator"), "me", LoopClock(loop))
        await publish(editor, "first")
        HOST.set(ROUTER)
        follower = ConfigFollower(
            open_store(ROUTER), None, OnlyMember(), lambda snapshot: None
        )
        following = asyncio.ensure_future(follower.run())
        await asyncio.sleep(3.0)
        assert set(follower.snapshot.organisations) == {"first"}
        assert net.silence(lambda client, _server: client == ROUTER)
        HOST.set("operator")
        await publish(editor, "second")
        await asyncio.sleep(APPLY_SECONDS)
        names = set(follower.snapshot.organisations)
        following.cancel()
        await platform.close()
        assert names == {"first", "second"}

    run_on_net(run)


async def publish(editor, name):
    """Publish a configuration with one more organisation."""
    record = OrganisationRecord(name, b"", b"", 1, 0, 0.0)
    await editor.apply(name, put_organisation(record), None)
