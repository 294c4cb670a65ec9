"""What upstreams say of themselves in their answers, and how long it holds.

This package does no I/O and has no clock.  The gateway passes in what it
receives from upstreams and peers, and the time.
"""

from .absences import Absences
from .backoffs import Backoff
from .backoffs import BackoffBook
from .backoffs import LONGEST_LIMIT_SECONDS
from .leaves import LeaveBook
from .parse import MAX_BACKOFF_SECONDS
from .parse import parse_backoff
from .parse import parse_leaving
from .parse import REFUSAL_STATUSES

__all__ = [
    "Absences",
    "LeaveBook",
    "LONGEST_LIMIT_SECONDS",
    "MAX_BACKOFF_SECONDS",
    "REFUSAL_STATUSES",
    "parse_leaving",
    "parse_backoff",
    "Backoff",
    "BackoffBook",
]
