"""Rate limits that upstreams name, kept by all routers together.

Nothing here waits or sends: the gateway tells what it hears, and asks.
"""

from .named import NamedLimits
from .named import read_limit

__all__ = [
    "NamedLimits",
    "read_limit",
]
