"""Exchanges the state of components between the routers of a fleet.

Each router sees only its own requests: a request or two a second for each
engine in a fleet of 60 routers before 30 engines.  What it learns alone is
outdated by the time it is used.  Therefore each router reports the state of
its components twice a second to one of the routers that watch the store, and
receives the state of the fleet in the answer.
"""

import abc
import asyncio
import random

import structlog

from ..errors import MessageError
from ..errors import PeerError
from ..incarnation import STATE_PROTOCOL
from ..schema.messages import FleetState
from ..schema.messages import StateReport
from ..schema.messages import StateRow
from ..supervision import beat
from .store_watchers import store_watchers

LOG = structlog.get_logger(__name__)

# Seconds between two reports of a router.
REPORT_INTERVAL = 0.5
# Time-out of a report in seconds: what arrives later is outdated.
REPORT_TIMEOUT = 0.4


class StateComponent(abc.ABC):
    """A component whose state the fleet shares.

    The state is bytes in the component's own encoding; b"" is not sent.
    Each method may be called at any time and must not wait.

    :cvar name: unique and short, as it is sent with each report
    """

    name = ""

    @property
    def active(self):
        """Return whether the configuration calls for this component."""
        return True

    @abc.abstractmethod
    def report(self):
        """Return the state of this router since the last report."""

    @abc.abstractmethod
    def collect(self, data, sender):
        """Merge the report of a peer.

        :param data: bytes that the peer's :meth:`report` returned
        :param sender: its peer address
        :raises MessageError: the data cannot be read
        """

    @abc.abstractmethod
    def summarize(self, receiver):
        """Return the state of the fleet for a peer.

        :param receiver: its peer address
        """

    @abc.abstractmethod
    def apply(self, data, sender):
        """Apply the state of the fleet that a peer summarized.

        :param data: bytes that the peer's :meth:`summarize` returned
        :param sender: its peer address
        :raises MessageError: the data cannot be read
        """


class StateExchange:
    """Reports to peers that collect, and answers the reports of peers.

    :param peers: a PeerClient
    :param members: the Membership
    :param address: this router's peer address
    :ivar components: the StateComponents by name
    """

    def __init__(self, peers, members, address):
        self._peers = peers
        self._members = members
        self._address = address
        self.components = {}

    def add(self, component):
        """Add a StateComponent."""
        self.components[component.name] = component

    @property
    def _active(self):
        return [one for one in self.components.values() if one.active]

    async def run(self):
        """Report until cancelled."""
        while True:
            beat()
            await self.exchange()
            await asyncio.sleep(REPORT_INTERVAL)

    async def exchange(self):
        """Report once to a random collector, and apply its answer.

        Nothing is sent while no component is active.  A lost report or answer
        is not repeated: the next one carries newer state.
        """
        collectors = self._collectors() if self._active else []
        if not collectors:
            return
        address = random.choice(collectors)
        rows = [
            StateRow(one.name, data)
            for one in self._active
            if (data := one.report())
        ]
        try:
            answer = await self._peers.call(
                address, StateReport(self._address, rows), REPORT_TIMEOUT
            )
        except PeerError as error:
            LOG.debug("state_unanswered", peer=address, error=str(error))
            return
        if isinstance(answer, FleetState):
            for row in answer.rows:
                self._read(row, address, StateComponent.apply.__name__)

    def _collectors(self):
        """Return the addresses of the peers that collect reports."""
        return [
            address
            for address in store_watchers(self._members)
            if address != self._address
            and self._members.speaks(address, STATE_PROTOCOL)
        ]

    def answer(self, ask):
        """Merge the report of a peer; return the FleetState for it."""
        for row in ask.rows:
            self._read(row, ask.sender, StateComponent.collect.__name__)
        return FleetState(
            [
                StateRow(one.name, data)
                for one in self._active
                if (data := one.summarize(ask.sender))
            ]
        )

    def _read(self, row, sender, method):
        """Pass a StateRow to a method of its component.

        Rows of components that this build does not have are ignored.
        """
        component = self.components.get(row.name)
        if component is None:
            return
        try:
            getattr(component, method)(row.data, sender)
        except MessageError as error:
            LOG.error(
                "state_unreadable",
                component=row.name,
                peer=sender,
                error=str(error),
            )
