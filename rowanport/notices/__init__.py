"""What upstreams say of themselves in their answers, and how long it holds.

This package does no I/O and has no clock.  The gateway passes in what it
receives from upstreams and peers, and the time.
"""

from .leaves import LeaveBook
from .parse import parse_leaving

__all__ = ["LeaveBook", "parse_leaving"]
