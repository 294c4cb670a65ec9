"""HTTP gateway with routes, API keys and prepaid token budgets."""

from .daemon import Gateway
from .dialect import Dialect
from .upstream import Upstream
from .upstream import UpstreamList

__all__ = ["Dialect", "Gateway", "Upstream", "UpstreamList"]
