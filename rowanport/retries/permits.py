"""Permits for retries from the fleet's slack: own ones and loans.

A permit allows one retry, and the next one once the window has passed.  It is
lent for a moment only, and the lender holds it for used from then on, so that
a loan that is lost costs one window.
"""

from .earned import SEND_SECONDS

# Seconds for which a borrowed permit may be used.
LOAN_SECONDS = 0.5


def rest_seconds(window):
    """Return the seconds until a permit that was lent or used is free again.

    :param window: length of the platform's window in seconds
    """
    return window + SEND_SECONDS + LOAN_SECONDS


class OwnPermits:
    """The permits of this router's share of the slack, for one service.

    :param window: length of the platform's window in seconds
    """

    __slots__ = ("_window", "_free_at")

    def __init__(self, window):
        self._window = window
        # Monotonic time by used permit from which it is free again.
        self._free_at = []

    def available(self, share, now):
        """Return the number of free permits.

        :param share: number of permits that belong to this router now
        :param now: monotonic time in seconds
        """
        self._free_at = [at for at in self._free_at if at > now]
        return max(0, share - len(self._free_at))

    def next_free_at(self, now):
        """Return the monotonic time at which a used permit is free again."""
        return min(self._free_at, default=now)

    def acquire(self, share, now):
        """Use a permit; return whether one was free."""
        if not self.available(share, now):
            return False
        self._free_at.append(now + self._window + SEND_SECONDS)
        return True

    def lend(self, share, wanted, now):
        """Lend permits, at most half of the free ones if there are several.

        :param wanted: number of permits that a peer asks for
        :returns: the number of permits lent
        """
        free = self.available(share, now)
        count = max(0, min(wanted, max(free // 2, min(1, free))))
        self._free_at += [now + rest_seconds(self._window)] * count
        return count


class BorrowedPermits:
    """Permits that peers have lent to this router, for one service."""

    __slots__ = ("_expire_at",)

    def __init__(self):
        self._expire_at = []

    def add(self, count, asked_at):
        """Add a loan.

        :param asked_at: monotonic time just before it was asked for
        """
        self._expire_at += [asked_at + LOAN_SECONDS] * count

    def available(self, now):
        """Return the number of borrowed permits."""
        self._expire_at = [at for at in self._expire_at if at > now]
        return len(self._expire_at)

    def acquire(self, now):
        """Use a borrowed permit; return whether there was one."""
        if not self.available(now):
            return False
        self._expire_at.remove(min(self._expire_at))
        return True
