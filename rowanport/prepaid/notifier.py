"""News of budgets' records between the routers that draw on them.

A draw is written on condition that the record is the one last seen.  Without
news nearly each first try was refused, as others had drawn meanwhile: 139
draws of 23 routers took 347 calls of the store in 68 s.
"""

import structlog

from ..errors import PeerError
from ..schema.messages import BudgetNews
from ..tasks import TaskSet

LOG = structlog.get_logger(__name__)

# Seconds for an answer, of which nothing depends.
NOTIFY_TIMEOUT = 0.5


class RecordNotifier:
    """Tells peers of the records that this router wrote.

    :param address: this router's peer address
    :param peers: a PeerClient
    """

    def __init__(self, address, peers):
        self._address = address
        self._peers = peers
        self._tasks = TaskSet()

    def notify(self, addresses, name, value):
        """Tell some peers what a budget's record says now.

        :param addresses: their peer addresses; the own one is passed over
        :param value: the Value as it stands in the store
        """
        message = BudgetNews(name, value.version, value.data)
        for address in addresses:
            if address != self._address:
                self._tasks.spawn(self._notify(address, message))

    async def _notify(self, address, message):
        try:
            await self._peers.call(address, message, NOTIFY_TIMEOUT)
        except PeerError as error:
            # Its next draw costs one more call.
            LOG.debug("budget_news_lost", peer=address, error=str(error))
