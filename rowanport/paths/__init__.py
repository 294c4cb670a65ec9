"""Paths to upstreams: the router's own link, or another router's.

The code here does no I/O and has no clock.  The gateway reports what became of
connections, and asks which way the next one takes.
"""

from .links import ANSWER_REASONS
from .links import CLOSED
from .links import NO_CONNECTION
from .links import REFUSED
from .links import SILENT
from .links import UNACKNOWLEDGED
from .links import UpstreamLinks
from .relays import RelayPeers
from .verdict import Verdict

__all__ = [
    "ANSWER_REASONS",
    "CLOSED",
    "NO_CONNECTION",
    "REFUSED",
    "RelayPeers",
    "SILENT",
    "UNACKNOWLEDGED",
    "UpstreamLinks",
    "Verdict",
]
