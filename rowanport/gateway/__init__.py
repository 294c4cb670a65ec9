"""Serves any HTTP request by routes, keys and prepaid budgets."""

from .daemon import Gateway
from .dialect import Dialect
from .upstream import Upstream
from .upstream import UpstreamList

__all__ = ["Dialect", "Gateway", "Upstream", "UpstreamList"]
