"""When a router whose network link fills up leaves callers to others.

The load concerned: the platform hands all connections of a caller to one
router, so that a caller with much traffic fills that router's link while the
links of the others are nearly idle.  Requests then wait on the link for
seconds, and news of upstreams and configurations with them.

This package does no I/O and has no clock.
"""

from .diversion import Diversion
from .peers import PeerSummary
from .peers import PeerUse
from .readiness import LinkReadiness

__all__ = ["LinkReadiness", "Diversion", "PeerSummary", "PeerUse"]
