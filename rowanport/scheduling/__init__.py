"""Which request runs next: queues, fairness and limits."""

from .lane import Lane
from .lane import Ticket
from .limits import OrganisationLimits
from .limits import RetryBudget

__all__ = ["Lane", "OrganisationLimits", "RetryBudget", "Ticket"]
