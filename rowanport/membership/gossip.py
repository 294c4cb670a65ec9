"""Background tasks of the membership: gossip and the instance list."""

import asyncio
import itertools

import structlog

from ..errors import PeerError
from ..errors import PeerGone
from ..errors import StoreError
from ..schema.messages import Gossip
from ..store.directory import ROUTER_ROLE
from ..supervision import beat

LOG = structlog.get_logger(__name__)

GOSSIP_TIMEOUT = 0.5
# Seconds between the first reads of the list: routers that start together find
# few entries in the first read, and all of them some seconds later.
FIRST_LIST_PAUSES = (1.0, 1.0, 2.0)
# Number of gossip rounds after the start that follow each other faster, and by
# which factor: a router should know the fleet before it acts on its behalf.
FAST_ROUNDS = 20
FAST_FACTOR = 5


class MembershipLoop:
    """Runs the network calls of a Membership.

    :param members: the Membership
    :param peers: a PeerClient
    :param directory: the InstanceDirectory
    :param settings: MembershipSettings
    :param on_list: function called with the instances of each read list
    :param on_gone: function called with the peer address of a router whose
        process has ended, or None
    """

    def __init__(
        self, members, peers, directory, settings, on_list, on_gone=None
    ):
        self._members = members
        self._peers = peers
        self._directory = directory
        self._settings = settings
        self._on_list = on_list
        self._on_gone = on_gone

    async def run(self):
        """Send heartbeats and read the instance list until cancelled."""
        await asyncio.gather(self.run_heartbeats(), self.run_list())

    async def run_heartbeats(self):
        """Send heartbeats until cancelled."""
        for number in itertools.count():
            beat()
            calls = [self._send(*pair) for pair in self._members.tick()]
            sending = asyncio.gather(*calls)
            factor = FAST_FACTOR if number < FAST_ROUNDS else 1
            await asyncio.sleep(self._settings.interval / factor)
            await sending

    async def _send(self, address, message):
        """Send a Gossip to a peer and merge the one that it returns."""
        try:
            answer = await self._peers.call(
                address, message, GOSSIP_TIMEOUT, repeatable=True
            )
        except PeerGone:
            if self._on_gone is not None:
                self._on_gone(address)
            return
        except PeerError:
            return
        if isinstance(answer, Gossip):
            self._members.merge(answer)

    async def run_list(self):
        """Read the instance list until cancelled."""
        for pause in FIRST_LIST_PAUSES:
            await self._read_list()
            await asyncio.sleep(pause)
        while True:
            await self._read_list()
            await asyncio.sleep(self._settings.list_interval)

    async def _read_list(self):
        """Read the instance list; announce this router to unknown ones."""
        beat()
        try:
            instances = await self._directory.instances()
        except StoreError as error:
            LOG.info("instance_list_unread", error=str(error))
            instances = None
        if instances is not None:
            routers = [
                instance.address
                for instance in instances
                if instance.role == ROUTER_ROLE
            ]
            self._members.set_listed(routers)
            self._on_list(instances)
            announcements = self._members.announcements()
            await asyncio.gather(
                *(self._send(*pair) for pair in announcements)
            )
