"""Rate limits that upstreams name, kept by all routers together.

Nothing here waits or sends: the gateway tells what it hears, and asks.
"""

from .limits import parse_limit
from .limits import UpstreamLimits
from .permits import HeldPermits
from .permits import permit_batch_size
from .permits import PermitGranter

__all__ = [
    "HeldPermits",
    "parse_limit",
    "permit_batch_size",
    "PermitGranter",
    "UpstreamLimits",
]
