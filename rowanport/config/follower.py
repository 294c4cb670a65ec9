"""Keeps a router's configuration at the highest version known.

Few routers of a cell watch the store; the others hear of a new version by
gossip and fetch it from a peer.  So a router that is cut off from the
store, or starts while the store is out, follows all the same.  A lower
version is never applied.
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
WATCHERS = 2
WATCH_WAIT = 20.0
PEER_PAUSE = 0.5
STORE_PAUSE = 1.0
POLL_PAUSE = 5.0
FETCH_TIMEOUT = 2.0


class ConfigFollower:
    """Holds the configuration in force at one router.

    :param on_change: function that is given each new Snapshot
    """

    def __init__(self, store, peers, members, on_change):
        self._store = store
        self._peers = peers
        self._members = members
        self._on_change = on_change
        self._store_version = 0
        self.snapshot = empty_snapshot()

    # Taking in

    def offer(self, root, parts):
        """Put a configuration in force if it is newer; say whether.

        :param parts: packed parts by content hash, at least those that
            the configuration in force does not have
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
        """Answer a ConfigAsk of a peer."""
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
            await asyncio.sleep(PEER_PAUSE)
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
                    await self._watch(WATCH_WAIT if watching else 0.0)
                else:
                    await asyncio.sleep(POLL_PAUSE)
                    await self._watch(0.0)
            except (StoreError, MessageError):
                await asyncio.sleep(STORE_PAUSE)
            if not watching:
                await asyncio.sleep(STORE_PAUSE)

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
        """Follow until cancelled."""
        await asyncio.gather(self._run_store(), self._run_peers())
