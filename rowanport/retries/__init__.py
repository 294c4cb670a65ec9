"""What a fleet may retry, shared by its routers without overdrawing it.

This package does no I/O and has no clock.  The gateway passes in the time,
what the store holds and what peers ask for.
"""

from .allowance import RetryAllowance
from .claim import ShareClaim
from .earned import SEND_SECONDS
from .permits import LOAN_SECONDS
from .shares import ShareRecord

__all__ = [
    "LOAN_SECONDS",
    "RetryAllowance",
    "SEND_SECONDS",
    "ShareClaim",
    "ShareRecord",
]
