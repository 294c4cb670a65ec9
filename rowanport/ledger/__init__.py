"""Prepaid budgets: grants from a sharded ledger.

The classes of this package decide; they neither wait nor send.  Messages
and time go in, messages and batches come out.  :class:`LedgerKeeper` is the
asyncio shell that connects them to a store and to peers.
"""

from .book import ReservationBook
from .holder import Holder
from .keeper import LedgerKeeper
from .record import apply_batch
from .record import Batch
from .record import Expelled

__all__ = [
    "Batch",
    "Expelled",
    "Holder",
    "LedgerKeeper",
    "ReservationBook",
    "apply_batch",
]
