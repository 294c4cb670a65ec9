"""Prepaid budgets: token grants from a sharded ledger in the store.

The router that accepts a request, its entry router, reserves tokens at the
home router of the budget's shard.  There a :class:`Holder` reserves them
from the grant that it has drawn from the shard.  If both are the same
router, another one, the witness, keeps a copy of the reservation.

:class:`Holder` and the functions on records do no I/O: messages and the
time go in, answers and batches come out.  :class:`LedgerKeeper` connects
holders to the store and to peers with asyncio.
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
