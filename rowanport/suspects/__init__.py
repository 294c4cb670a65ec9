"""Requests under which upstreams crash, and what is done about them.

Nothing here waits or sends: the gateway tells what it sees and what peers
say, and asks what may run where.
"""

from .archive import pack_blocked
from .archive import unpack_blocked
from .flights import Flights
from .placing import place
from .runs import SuspectRuns
from .table import BLOCK_CRASHES
from .table import SuspectTable

__all__ = [
    "BLOCK_CRASHES",
    "Flights",
    "pack_blocked",
    "place",
    "SuspectRuns",
    "SuspectTable",
    "unpack_blocked",
]
