"""Decides what a holder draws from its shard and what it gives back."""

from .record import Draw
from .record import free_tokens
from .record import unspent_tokens

# Seconds for which a budget stays marked as short of tokens at a holder.
WANT_SECONDS = 10.0


class Rebalancer:
    """Fills in the draws, wants and returns of batches.

    :param sizing: a Sizing
    """

    def __init__(self, sizing):
        self._sizing = sizing

    def fill_draw(self, batch, account, budget, now):
        """Draw tokens of a budget if they are needed.

        If the shard has too few, the budget is marked as wanted, so that
        other holders give tokens back.

        :param budget: the BudgetRecord of the account
        """
        name = account.name
        free = free_tokens(budget)
        need = account.shortfall
        rate = account.demand.rate(now)
        available = account.available
        unspent = unspent_tokens(budget)
        tokens = self._sizing.draw(free, unspent, need, available, rate)
        if tokens > 0 or need:
            batch.draws[name] = Draw(need, available, rate)
        marked = budget.wanted.get(batch.holder, 0.0)
        if need and need > free:
            if marked < now + WANT_SECONDS / 2:
                batch.wants[name] = now + WANT_SECONDS
        elif marked:
            batch.wants[name] = 0.0

    def fill_return(self, batch, account, budget, leaving, now):
        """Give back the tokens that are not needed here.

        :param leaving: whether the holder gives back all that it can
        """
        if account.waiting:
            return
        if leaving:
            tokens = max(0, account.available)
        else:
            tokens = self._excess(batch.holder, account, budget, now)
        # Only tokens granted in the shard can be returned.  That includes
        # borrowed ones: this batch writes their transfers, applied first.
        if tokens > 0:
            batch.returns[account.name] = tokens
            batch.draws.pop(account.name, None)

    def _excess(self, holder, account, budget, now):
        wanted = any(
            until > now and name != holder
            for name, until in budget.wanted.items()
        )
        return self._sizing.excess(
            free_tokens(budget),
            unspent_tokens(budget),
            account.available,
            account.demand.rate(now),
            wanted,
        )
