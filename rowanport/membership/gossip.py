"""Sends heartbeats, reads the instance list."""

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
# Seconds between the first reads of the list: routers that start together
# find few entries in it at once, all of them some seconds later.
FIRST_LIST_PAUSES = (1.0, 1.0, 2.0)
# Rounds after the start that follow each other faster, and by how much: a
# router that just started is to know the fleet before it acts for it.
FIRST_ROUNDS = 20
FIRST_SPEED = 5


class MembershipLoop:
    """The asyncio shell of a Membership.

    :param on_list: function that is given each reading of the list
    :param on_gone: function that is given the address of a router whose
        process has ended
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
        """Gossip and read the list until cancelled."""
        await asyncio.gather(self.run_heartbeats(), self.run_list())

    async def run_heartbeats(self):
        """Send heartbeats until cancelled."""
        for number in itertools.count():
            beat()
            calls = [self._tell(*pair) for pair in self._members.tick()]
            sending = asyncio.gather(*calls)
            speed = FIRST_SPEED if number < FIRST_ROUNDS else 1
            await asyncio.sleep(self._settings.interval / speed)
            await sending

    async def _tell(self, address, message):
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
            self._members.take(answer)

    async def run_list(self):
        """Read the list of instances until cancelled."""
        for pause in FIRST_LIST_PAUSES:
            await self._read_list()
            await asyncio.sleep(pause)
        while True:
            await self._read_list()
            await asyncio.sleep(self._settings.list_interval)

    async def _read_list(self):
        """Greet the routers in the list that are not known yet."""
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
                *(self._tell(*pair) for pair in announcements)
            )
