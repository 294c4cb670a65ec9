"""Keeps a router's configuration at the highest known version.

Only a few routers of a cell watch the store; the others learn of a new version
by gossip and fetch it from a peer.  So a router that cannot reach the store,
or starts during an outage of it, still gets new versions.  A lower version is
never applied.
"""

import asyncio

import structlog

from ..errors import MessageError
from ..errors import PeerError
from ..errors import StoreError
from ..errors import UserError
from ..incarnation import address_of
from ..schema.messages import ConfigAsk
from ..schema.messages import ConfigGive
from ..schema.messages import RootRecord
from .snapshot import empty_snapshot
from .snapshot import missing_parts
from .snapshot import part_key
from .snapshot import ROOT_KEY
from .snapshot import Snapshot
from .snapshot import verify_part

LOG = structlog.get_logger(__name__)
# Routers of a cell that watch the store; the others poll it.
WATCHERS = 2
# Longest wait of a watch in seconds.
WATCH_TIMEOUT = 20.0
# Seconds between two checks for a newer version among the peers.
PEER_CHECK_INTERVAL = 0.5
# Seconds before the next call after one that failed, and after each poll.
STORE_RETRY_DELAY = 1.0
# Seconds that a router which does not watch waits before each poll.
POLL_INTERVAL = 5.0
# Time limit of a call to a peer in seconds.
FETCH_TIMEOUT = 2.0


class ConfigFollower:
    """Holds the active configuration of one router.

    :param store: the Store
    :param peers: client for calls to other routers
    :param members: the list of the cell's routers, kept by gossip
    :param on_change: function that is called with each new Snapshot
    :ivar snapshot: the active Snapshot
    """

    def __init__(self, store, peers, members, on_change):
        self._store = store
        self._peers = peers
        self._members = members
        self._on_change = on_change
        self._store_version = 0
        self.snapshot = empty_snapshot()

    # Applying

    def offer(self, root, parts):
        """Apply a configuration if it is newer and complete.

        :param root: its RootRecord
        :param parts: packed parts by content hash, at least those that
            the active configuration does not have
        :returns: whether it was applied
        """
        if root.version <= self.snapshot.version:
            return False
        known = {**self.snapshot.parts, **parts}
        if missing_parts(root, known):
            return False
        try:
            self.snapshot = Snapshot(root, known, self.snapshot)
        except (MessageError, UserError) as error:
            LOG.error("configuration_unfit", error=str(error))
            return False
        self._members.set_config(root.version)
        self._on_change(self.snapshot)
        LOG.info("configuration_in_force", version=root.version)
        return True

    # Peers

    def handle(self, message):
        """Answer a ConfigAsk of a peer with a ConfigGive.

        It holds the requested parts as far as they are known or, if the peer
        asks for none, the root if it is newer than the peer's version.
        """
        snapshot = self.snapshot
        if message.parts:
            parts = {
                digest: snapshot.parts[digest]
                for digest in message.parts
                if digest in snapshot.parts
            }
            return ConfigGive(b"", parts)
        newer = snapshot.version > message.version
        return ConfigGive(snapshot.root.pack() if newer else b"", {})

    async def _run_peers(self):
        while True:
            await asyncio.sleep(PEER_CHECK_INTERVAL)
            newest = self._members.newest_config()
            if newest.config <= self.snapshot.version:
                continue
            try:
                await self._fetch(address_of(newest.incarnation))
            except (PeerError, MessageError):
                pass

    async def _fetch(self, address):
        ask = ConfigAsk(self.snapshot.version, [])
        answer = await self._peers.call(address, ask, FETCH_TIMEOUT)
        if not isinstance(answer, ConfigGive) or not answer.root:
            return
        root = RootRecord.unpack(answer.root)
        missing = missing_parts(root, self.snapshot.parts)
        parts = {}
        if missing:
            ask = ConfigAsk(0, missing)
            answer = await self._peers.call(address, ask, FETCH_TIMEOUT)
            parts = {
                digest: data
                for digest, data in answer.parts.items()
                if verify_part(digest, data)
            }
        self.offer(root, parts)

    # Store

    async def _run_store(self):
        while True:
            order = self._members.homes("root", "config")
            watching = self._members.own_entry.incarnation in order[:WATCHERS]
            try:
                if watching or not self._store_version:
                    await self._watch(WATCH_TIMEOUT if watching else 0.0)
                else:
                    await asyncio.sleep(POLL_INTERVAL)
                    await self._watch(0.0)
            except (StoreError, MessageError):
                await asyncio.sleep(STORE_RETRY_DELAY)
            if not watching:
                await asyncio.sleep(STORE_RETRY_DELAY)

    async def _watch(self, wait):
        value = await self._store.watch(ROOT_KEY, self._store_version, wait)
        if value.version <= self._store_version:
            return
        root = RootRecord.unpack(value.data)
        if root.version > self.snapshot.version:
            missing = missing_parts(root, self.snapshot.parts)
            keys = [part_key(digest) for digest in missing]
            values = await asyncio.gather(*map(self._store.get, keys))
            found = (value.data for value in values)
            self.offer(root, dict(zip(missing, found)))
        self._store_version = value.version

    async def run(self):
        """Follow the store and the peers until cancelled."""
        await asyncio.gather(self._run_store(), self._run_peers())
