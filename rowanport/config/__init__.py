"""The operators' configuration, published in the store for all routers."""

from .editor import ConfigEditor
from .follower import ConfigFollower
from .snapshot import Snapshot

__all__ = ["ConfigEditor", "ConfigFollower", "Snapshot"]
