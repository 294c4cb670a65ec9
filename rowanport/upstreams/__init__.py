"""The upstreams of each group: selection, health and client calls."""

from .engine import EngineClient
from .pool import Pool
from .service import ServiceClient

__all__ = ["EngineClient", "Pool", "ServiceClient"]
