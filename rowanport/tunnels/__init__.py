"""Tunnels: connections to upstreams that another router relays.

A tunnel begins as a connection between routers: the asking one proves who it
is and names an upstream, the other one answers whether it reaches it.  From
then on all bytes pass unchanged, so that requests, answers and streams are the
asking router's own, with their tokens, retries and deadlines.
"""

from .client import TunnelClient
from .client import TunnelUnsupported
from .server import SETTLE_SECONDS
from .server import TunnelServer
from .server import UpstreamReach

__all__ = [
    "SETTLE_SECONDS",
    "TunnelClient",
    "TunnelServer",
    "TunnelUnsupported",
    "UpstreamReach",
]
