"""Which data centres operators have evacuated.

This package does no I/O and has no clock.  The gateway passes in the time and
what the store and peers say.
"""

from .state import EvacuationChange
from .state import Evacuations

__all__ = ["EvacuationChange", "Evacuations"]
