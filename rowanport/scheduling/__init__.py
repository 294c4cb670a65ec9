"""Request queues, fairness between organisations, limits and overload."""

from .lane import Lane
from .lane import Ticket
from .limits import OrganisationLimits
from .limits import RetryBudget
from .overload import Overload

__all__ = [
    "Lane",
    "OrganisationLimits",
    "Overload",
    "RetryBudget",
    "Ticket",
]
