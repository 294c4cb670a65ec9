"""Who is admitted while capacity is short, and which answers may be late.

The load concerned: one organisation sends several times its usual demand, and
all others are refused as often as it is.  Fair shares refuse what is beyond
the share of the organisations with the largest demand.  Requests that would be
answered late, but before their callers give up, run with the lowest urgency.

This package does no I/O and has no clock.
"""

from .demand import Demand
from .demand import DemandBook
from .late_answers import begin_by
from .late_answers import LateAnswers
from .shares import FairShares
from .shares import refused_part
from .shortage import Shortage

__all__ = [
    "begin_by",
    "Demand",
    "DemandBook",
    "FairShares",
    "LateAnswers",
    "refused_part",
    "Shortage",
]
