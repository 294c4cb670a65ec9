"""Why a request gets no tokens, and when it may come back."""

from ..errors import ErrorKind
from ..errors import RequestError
from .account import HORIZON

# Least time in seconds after which a caller of a dry budget should return.
MIN_RETRY_SECONDS = 1.0


class Exhaustion:
    """Tells budgets that are spent from those that lack tokens for now.

    :param refill: the Refill, for the limits that bind
    :param clock: a Clock
    :ivar store_lost_at: steady time since which the store is away, or None
    """

    def __init__(self, refill, clock):
        self._refill = refill
        self._clock = clock
        self.store_lost_at = None

    def is_spent(self, account, tokens):
        """Return whether the whole fleet surely lacks some tokens.

        A router without the store may have missed a top-up.
        """
        return self.store_lost_at is None and account.unspent < tokens

    def error(self, account, tokens):
        """Return the refusal of a request, and when it may come back."""
        if self.is_spent(account, tokens):
            return RequestError(
                ErrorKind.BUDGET_SPENT,
                f"{tokens} tokens needed, {account.unspent} left at most",
            )
        headroom = self._refill.headroom(account)
        return RequestError(
            ErrorKind.BUDGET_EXHAUSTED,
            f"{tokens} tokens needed, {account.available} held, "
            f"headroom {headroom}",
            come_back_at=self._come_back_at(account, tokens),
        )

    def _come_back_at(self, account, tokens):
        """Return the steady time from which on there may be tokens.

        Where a limit holds them back, they are free once it has lapsed.
        What is lacking comes with the store, once it is back, or by a
        request that ends.
        """
        if account.loan_unanswered:
            # This router is badly connected: another one may have tokens.
            return self._clock.steady()
        soon = self._clock.steady() + MIN_RETRY_SECONDS
        if account.available >= tokens:
            return self._refill.allowed_at(account, tokens)
        if self.store_lost_at is not None:
            return max(soon, self.store_lost_at + HORIZON)
        return soon
