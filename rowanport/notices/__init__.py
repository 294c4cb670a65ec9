"""What upstreams say of themselves in their answers, and how long it holds.

This package does no I/O and has no clock.  The gateway passes in what it
receives from upstreams and peers, and the time.
"""

from .absences import Absences
from .leaves import LeaveBook
from .parse import MAX_REST_SECONDS
from .parse import parse_leaving
from .parse import parse_rest
from .rests import Rest
from .rests import RestBook

__all__ = [
    "Absences",
    "LeaveBook",
    "MAX_REST_SECONDS",
    "parse_leaving",
    "parse_rest",
    "Rest",
    "RestBook",
]
