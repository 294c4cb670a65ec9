"""Prepaid budgets whose tokens are spread over many routers.

The store records for each budget how many tokens were drawn from it.  A router
may spend, lend or return the tokens that it drew.  Each token is in exactly
one place, so routers need no agreement to avoid spending one twice.  See
docs/design/prepaid.md.
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
