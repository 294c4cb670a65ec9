"""Suspects: requests, and parts of prompts, during which upstreams crashed.

An upstream's run is one lifetime of its process.  The code here does no I/O:
the gateway reports crashes, answers and messages of peers, and asks which
requests are blocked, and which upstreams may run the others.
"""

from .blame import BLOCK_THRESHOLD
from .blame import is_part
from .blame import LIKELY_CRASHES
from .in_flight import InFlightSends
from .isolation import select_isolated
from .runs import SuspectRuns
from .sound_parts import SoundParts
from .stored_record import pack_blocked
from .stored_record import unpack_blocked
from .table import SuspectTable
from .trials import Trials

__all__ = [
    "BLOCK_THRESHOLD",
    "InFlightSends",
    "is_part",
    "LIKELY_CRASHES",
    "pack_blocked",
    "select_isolated",
    "SoundParts",
    "SuspectRuns",
    "SuspectTable",
    "Trials",
    "unpack_blocked",
]
