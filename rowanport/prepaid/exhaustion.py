"""Refusals of requests for want of tokens, and when to retry."""

from ..errors import ErrorKind
from ..errors import RequestError
from .account import HORIZON

# Minimum seconds after which a caller of an exhausted budget should retry.
MIN_RETRY_SECONDS = 1.0


class Exhaustion:
    """Distinguishes spent budgets from those that lack tokens for now.

    :param refill: the Refill, for the limits in effect
    :param clock: a Clock
    :ivar store_lost_at: monotonic time since which the store is unavailable,
        or None
    """

    def __init__(self, refill, clock):
        self._refill = refill
        self._clock = clock
        self.store_lost_at = None

    def is_spent(self, account, tokens):
        """Return whether the fleet has fewer than some tokens unspent.

        It is False while the store is unavailable, as this router may have
        missed a top-up.
        """
        return self.store_lost_at is None and account.unspent < tokens

    def error(self, account, tokens):
        """Return the RequestError for a refused request."""
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
        """Return the monotonic time from which there may be tokens.

        Tokens held back by a limit are free once it grows or expires.  Missing
        tokens come from the store, once it is back, or from a request that
        ends.
        """
        if account.loan_unanswered:
            # This router may be badly connected; another one may have tokens.
            return self._clock.steady()
        soon = self._clock.steady() + MIN_RETRY_SECONDS
        if account.available >= tokens:
            return self._refill.allowed_at(account, tokens)
        if self.store_lost_at is not None:
            return max(soon, self.store_lost_at + HORIZON)
        return soon
