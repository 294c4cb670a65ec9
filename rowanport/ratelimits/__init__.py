"""Rate limits that upstreams name, kept by all routers together.

Nothing here waits or sends: the gateway tells what it hears, and asks.
"""

from .named import NamedLimits
from .named import read_limit
from .permits import chunk
from .permits import PermitBook
from .permits import Purse

__all__ = [
    "chunk",
    "NamedLimits",
    "PermitBook",
    "Purse",
    "read_limit",
]
