"""What one router may retry of one service."""

import enum

from .earned import EarnedRetries
from .permits import BorrowedPermits
from .permits import OwnPermits


class Source(enum.Enum):
    """What a retry is counted against."""

    BORROWED = "borrowed"
    EARNED = "earned"
    SLACK = "slack"


class RetryAllowance:
    """The allowance of one service at one router.

    :param ratio: retries that the platform allows per request
    :param window: length of its window in seconds
    """

    __slots__ = ("_earned", "_own", "_borrowed")

    def __init__(self, ratio, window):
        self._earned = EarnedRetries(ratio, window)
        self._own = OwnPermits(window)
        self._borrowed = BorrowedPermits()

    @property
    def counts(self):
        """Return the numbers of requests and earned retries in the window."""
        return self._earned.counts

    def record_request(self, now):
        """Record a request for the service."""
        self._earned.record_request(now)

    def available(self, share, now):
        """Return the number of retries that are allowed at once.

        :param share: permits of the slack that belong to this router now
        :param now: monotonic time in seconds
        """
        return (
            self._borrowed.available(now)
            + self._earned.available(now)
            + self._own.available(share, now)
        )

    def acquire(self, share, now):
        """Use a retry, first of what expires first.

        :param share: permits of the slack that belong to this router now
        :param now: monotonic time in seconds
        :returns: its Source, None if no retry is allowed
        """
        if self._borrowed.acquire(now):
            return Source.BORROWED
        if self._earned.acquire(now):
            return Source.EARNED
        if self._own.acquire(share, now):
            return Source.SLACK
        return None

    # Loans

    def lend(self, share, wanted, now):
        """Lend permits to a peer; see :meth:`OwnPermits.lend`."""
        return self._own.lend(share, wanted, now)

    def next_free_at(self, now):
        """Return the monotonic time at which an own permit is free again."""
        return self._own.next_free_at(now)

    def add_loan(self, count, asked_at):
        """Add permits that a peer has lent.

        :param asked_at: monotonic time just before they were asked for
        """
        self._borrowed.add(count, asked_at)
