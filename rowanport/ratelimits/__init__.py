"""Rate limits that upstreams report, shared by all routers.

This package does no I/O.  The gateway passes in what it receives from
upstreams and peers, and asks for permits.
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
