"""What the routers of a large fleet know of their engines' speed.

Each router sees only a few first events of an engine.  The load concerned is
engines of different speed behind many routers: estimated alike, the slow ones
queue and the fast ones idle.

This package does no I/O and has no clock.
"""

from .book import SpeedBook
from .estimate import DEFAULT_RATE
from .estimate import Estimate
from .read_speed import ReadSpeed

__all__ = ["DEFAULT_RATE", "Estimate", "ReadSpeed", "SpeedBook"]
