"""Routers find each other through entries of their own in the store."""

import asyncio
import re

import structlog

from ..errors import LeaseOver
from ..errors import StoreError
from ..store import Directory
from ..store import Instance
from ..store.directory import LIVE
from ..store.directory import ROUTER_ROLE
from ..supervision import beat

LOG = structlog.get_logger(__name__)

PREFIX = "rowanport/router/"
# Seconds that an entry outlives its router; it only helps others to find
# it, so its age does no harm.
LEASE_SECONDS = 60.0
RENEW_SECONDS = 20.0
FAILED_PAUSE = 1.0
# Seconds after the start before an entry is written where seeds are known: by
# then a router knows whether it follows the store for others.
SEEDED_PAUSE = 5.0
# Peer address of a router, by which its entry is named.
_ADDRESS = re.compile(r"[!-~]+:[0-9]{1,5}")


class RouterDirectory(Directory):
    """Lists the routers that have registered.

    :param store: a PlatformStore
    """

    def __init__(self, store, settings):
        self._store = store
        self._name = settings.name
        self._address = settings.peers
        self._data_centre = settings.data_centre
        self._seeds = bool(settings.seeds)
        self._first = True
        # Keys of the entries that were unreadable, which are logged once.
        self._unreadable = set()

    async def instances(self):
        # Entries that are seconds old will do where there are seeds as well,
        # and such a read costs a tenth at each start.
        stale = self._seeds or not self._first
        listing = await self._store.list(PREFIX, stale=stale)
        self._first = False
        found = [self._read(item) for item in listing.items]
        return [instance for instance in found if instance is not None]

    def _read(self, item):
        """Return the Instance of an entry, None if it names no router."""
        address = item.key.removeprefix(PREFIX)
        try:
            data_centre, _, name = item.data.decode().partition(" ")
            if not _ADDRESS.fullmatch(address):
                raise ValueError("the key names no address")
        except ValueError as error:
            if item.key not in self._unreadable:
                self._unreadable.add(item.key)
                LOG.error(
                    "router_entry_unreadable",
                    key=item.key[:80],
                    error=str(error),
                )
            return None
        return Instance(name, address, ROUTER_ROLE, data_centre, LIVE)

    async def run(self, views):
        """Keep this router's entry until cancelled.

        Where the settings name routers to ask, a few entries are enough for
        the rest, so only those of routers that do something for all.
        """
        lease = None
        if self._seeds:
            await asyncio.sleep(SEEDED_PAUSE)
        while True:
            beat()
            if self._seeds and not views.watches_store:
                await asyncio.sleep(RENEW_SECONDS)
                continue
            try:
                if lease is None:
                    lease = await self._register()
                else:
                    await self._store.renew_lease(lease)
                pause = RENEW_SECONDS
            except LeaseOver:
                lease = None
                continue
            except StoreError as error:
                LOG.info("register_failed", error=str(error))
                await self._store.reach.wait_up()
                pause = FAILED_PAUSE
            await asyncio.sleep(pause)

    async def _register(self):
        lease = await self._store.grant_lease(LEASE_SECONDS)
        data = f"{self._data_centre} {self._name}".encode()
        await self._store.put_leased(PREFIX + self._address, data, lease)
        return lease
