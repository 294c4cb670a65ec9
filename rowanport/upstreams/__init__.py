"""The upstreams of each group: choice, calls, health."""

from .engine import EngineClient
from .pool import Pool
from .service import ServiceClient

__all__ = ["EngineClient", "Pool", "ServiceClient"]
