"""Requests under which upstreams crash, and what is done about them.

Nothing here waits or sends: the gateway tells what it sees and what peers
say, and asks what may run where.
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
