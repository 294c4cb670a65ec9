"""Claims: a request that is not repeatable runs at most once."""

from .keeper import ClaimKeeper
from .shard import ClaimShard

__all__ = ["ClaimKeeper", "ClaimShard"]
