"""Prepaid budgets held by many routers, safe without any agreement.

The store keeps for each budget how many tokens were taken from it.  What a
router took it may spend, lend or give back, and nobody else counts it: a
token is always in exactly one place.  See docs/design/prepaid.md.
"""

from .account import Account
from .clocks import FleetClocks
from .keeper import BudgetKeeper
from .record import BudgetRecord
from .record import HolderRecord

__all__ = [
    "Account",
    "BudgetKeeper",
    "BudgetRecord",
    "FleetClocks",
    "HolderRecord",
]
