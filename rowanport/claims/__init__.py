"""Claims ensure that a non-repeatable request runs at most once."""

from .keeper import ClaimKeeper
from .shard import ClaimQueue

__all__ = ["ClaimKeeper", "ClaimQueue"]
