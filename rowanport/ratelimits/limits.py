"""The rate limits that upstreams report, merged from all routers."""

import re

from ..cycle import Cycle
from ..errors import MessageError
from ..schema.messages import LimitRow

# Seconds since a limit was last reported after which a peer's update that it
# has ended is accepted, as updates may arrive out of order.
END_DELAY = 1.0
# Seconds for which the end of a limit is announced to peers.
ANNOUNCE_END_SECONDS = 30.0
# Maximum limits in one message; if there are more, they are sent in turn.
MAX_ROWS = 16
# Largest valid limit in requests a second.
MAX_RATE = 1e6
# Rate in a LimitRow if the upstream has no limit.
NO_RATE = -1.0
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


def parse_limit(text):
    """Return the limit in requests a second that an upstream reports.

    :raises MessageError: the text is no decimal number, or out of range
    """
    if not _DECIMAL.fullmatch(text) or float(text) > MAX_RATE:
        raise MessageError(f"not a valid rate limit: {text[:40]!r}")
    return float(text)


class UpstreamLimit:
    """The limit that an upstream's run last reported.

    :ivar rate: requests a second, None without a limit
    :ivar seen_at: monotonic time of the answer that reported it
    :ivar changed_at: monotonic time at which the rate last changed here
    """

    __slots__ = ("rate", "seen_at", "changed_at")

    def __init__(self, rate, seen_at, changed_at):
        self.rate = rate
        self.seen_at = seen_at
        self.changed_at = changed_at


class UpstreamLimits:
    """Each UpstreamLimit by the name of the upstream's run.

    The latest answer decides, whichever router received it.
    """

    def __init__(self):
        self._limits = {}
        self._cycle = Cycle(MAX_ROWS)

    @property
    def count(self):
        """Return the number of upstreams that report a limit."""
        return sum(limit.rate is not None for limit in self._limits.values())

    def rate(self, name):
        """Return the limit of a run in requests a second, None without one."""
        limit = self._limits.get(name)
        return limit.rate if limit else None

    def update(self, name, rate, seen_at, now):
        """Apply an answer of an upstream's run if it is newer.

        :param rate: requests a second, None without a limit
        :param seen_at: monotonic time of the answer
        :param now: monotonic time
        :returns: whether the limit changed
        """
        limit = self._limits.get(name)
        if limit is None:
            if rate is None:
                return False
            self._limits[name] = UpstreamLimit(rate, seen_at, now)
            return True
        if seen_at <= limit.seen_at:
            return False
        limit.seen_at = seen_at
        if rate == limit.rate:
            return False
        limit.rate = rate
        limit.changed_at = now
        return True

    # Exchange with peers

    def row(self, name, now):
        """Return the LimitRow of a run."""
        limit = self._limits[name]
        rate = NO_RATE if limit.rate is None else limit.rate
        return LimitRow(name, rate, max(0.0, now - limit.seen_at))

    def next_rows(self, now):
        """Return the next LimitRows; repeated calls cycle through all."""
        names = [
            name
            for name, limit in self._limits.items()
            if limit.rate is not None
            or limit.changed_at > now - ANNOUNCE_END_SECONDS
        ]
        return [self.row(name, now) for name in self._cycle.next(names)]

    def merge(self, row, now):
        """Merge a peer's LimitRow; return whether a limit changed."""
        seen_at = now - max(0.0, row.age)
        if not row.rate <= MAX_RATE:
            return False
        if row.rate >= 0:
            return self.update(row.upstream, row.rate, seen_at, now)
        limit = self._limits.get(row.upstream)
        if limit is None or seen_at < limit.seen_at + END_DELAY:
            return False
        return self.update(row.upstream, None, seen_at, now)

    def retain(self, names):
        """Remove all runs but these."""
        self._limits = {k: v for k, v in self._limits.items() if k in names}
