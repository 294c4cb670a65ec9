"""Decides whether an answer without a length ended where its upstream meant.

Such an answer ends with its connection.  A kernel closes the connections of a
killed process in order, too, so the end alone does not tell whether the answer
is whole; what else is known of the upstream at that moment does.
"""

from .check import AnswerSource
from .check import EndCheck
from .check import is_earlier
from .check import PROXY_FAILURES
from .check import watch
from .record import APART_SECONDS
from .record import EndRecord
from .verdict import Evidence
from .verdict import Instance
from .verdict import judge
from .verdict import Opened
from .verdict import Peers
from .verdict import Reason
from .verdict import Step

__all__ = [
    "APART_SECONDS",
    "AnswerSource",
    "EndCheck",
    "EndRecord",
    "Evidence",
    "Instance",
    "is_earlier",
    "judge",
    "Opened",
    "Peers",
    "PROXY_FAILURES",
    "Reason",
    "Step",
    "watch",
]
