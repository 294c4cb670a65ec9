"""The operators' configuration: published once, in force everywhere."""

from .editor import ConfigEditor
from .follower import ConfigFollower
from .snapshot import Snapshot

__all__ = ["ConfigEditor", "ConfigFollower", "Snapshot"]
