"""Where requests for plain services go, and over how many connections.

The load concerned: sixty routers share four replicas.  Each router sees one
request in sixty, so that its own requests do not show which replica is busy,
and all routers together open more connections than a replica accepts.

This package does no I/O and has no clock.
"""

from .connections import connection_share
from .connections import ConnectionCounts
from .replicas import ReplicaLoad
from .replicas import Replicas
from .selection import Candidate
from .selection import select

__all__ = [
    "Candidate",
    "connection_share",
    "ConnectionCounts",
    "ReplicaLoad",
    "Replicas",
    "select",
]
