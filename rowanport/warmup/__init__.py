"""How many requests a fleet sends to upstreams that are cold.

A cold upstream, one that started or idled a short time ago, bears a low rate
of requests and falls over above it.  This package does no I/O and has no
clock.  The gateway passes in the time, what upstreams say and which routers
are known.
"""

from .reports import cold_until
from .reports import MAX_COLD_SECONDS
from .reports import parse_cold_time
from .senders import SenderQuotas
from .sends import ColdSends

__all__ = [
    "cold_until",
    "ColdSends",
    "MAX_COLD_SECONDS",
    "parse_cold_time",
    "SenderQuotas",
]
