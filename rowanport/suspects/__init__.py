"""Suspects: requests during which upstreams crashed, and their isolation.

An upstream's run is one lifetime of its process.  The code here does no I/O:
the gateway reports crashes, answers and messages of peers, and asks which
upstreams may run a request.
"""

from .in_flight import InFlightSends
from .isolation import select_isolated
from .runs import SuspectRuns
from .stored_record import pack_blocked
from .stored_record import unpack_blocked
from .table import BLOCK_THRESHOLD
from .table import SuspectTable

__all__ = [
    "BLOCK_THRESHOLD",
    "InFlightSends",
    "pack_blocked",
    "select_isolated",
    "SuspectRuns",
    "SuspectTable",
    "unpack_blocked",
]
