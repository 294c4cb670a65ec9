"""The rate limits that upstreams name, as all routers together heard them."""

import re

from ..errors import MessageError
from ..schema.messages import LimitRow

# Seconds without a word of a limit after which a peer's word that it has ended
# is taken: older news may arrive after newer ones.
END_SECONDS = 1.0
# Seconds for which peers are told that a limit has ended.
TELL_END_SECONDS = 30.0
# Limits in one message; where there are more, they are told in turn.
ROWS_LIMIT = 16
# Largest limit in requests a second that is taken for one.
LARGEST = 1e6
# What a LimitRow says where no limit is named.
NO_RATE = -1.0
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


def parse_limit(text):
    """Return the requests a second that an upstream's text names.

    :raises MessageError: it is no decimal number, negative or absurd
    """
    if not _DECIMAL.fullmatch(text) or float(text) > LARGEST:
        raise MessageError(f"no rate limit: {text[:40]!r}")
    return float(text)


class UpstreamLimit:
    """What an upstream's run last said of its limit.

    :ivar rate: requests a second, None if it named none
    :ivar heard_at: steady time of that answer
    :ivar changed_at: steady time at which the rate last changed here
    """

    __slots__ = ("rate", "heard_at", "changed_at")

    def __init__(self, rate, heard_at, changed_at):
        self.rate = rate
        self.heard_at = heard_at
        self.changed_at = changed_at


class UpstreamLimits:
    """All NamedLimits by the name of the upstream's run.

    The last answer decides, whichever router got it.
    """

    def __init__(self):
        self._limits = {}
        self._turn = 0

    @property
    def count(self):
        """Return how many upstreams name a limit."""
        return sum(limit.rate is not None for limit in self._limits.values())

    def rate(self, name):
        """Return the requests a second of an upstream's run, None if any."""
        limit = self._limits.get(name)
        return limit.rate if limit else None

    def update(self, name, rate, heard_at, now):
        """Take in what an upstream's run said.

        :param rate: requests a second, None if it named none
        :param heard_at: steady time of the answer
        :returns: whether this changes its limit
        """
        limit = self._limits.get(name)
        if limit is None:
            if rate is None:
                return False
            self._limits[name] = UpstreamLimit(rate, heard_at, now)
            return True
        if heard_at <= limit.heard_at:
            return False
        limit.heard_at = heard_at
        if rate == limit.rate:
            return False
        limit.rate = rate
        limit.changed_at = now
        return True

    # What peers know

    def row(self, name, now):
        """Return the LimitRow of a run."""
        limit = self._limits[name]
        rate = NO_RATE if limit.rate is None else limit.rate
        return LimitRow(name, rate, max(0.0, now - limit.heard_at))

    def next_rows(self, now):
        """Return some LimitRows; asked again and again, all of them."""
        names = [
            name
            for name, limit in self._limits.items()
            if limit.rate is not None
            or limit.changed_at > now - TELL_END_SECONDS
        ]
        if self._turn >= len(names):
            self._turn = 0
        some = names[self._turn : self._turn + ROWS_LIMIT]
        self._turn += ROWS_LIMIT
        return [self.row(name, now) for name in some]

    def merge(self, row, now):
        """Take in a LimitRow; return whether this changes a limit."""
        heard_at = now - max(0.0, row.age)
        if not row.rate <= LARGEST:
            return False
        if row.rate >= 0:
            return self.update(row.upstream, row.rate, heard_at, now)
        limit = self._limits.get(row.upstream)
        if limit is None or heard_at < limit.heard_at + END_SECONDS:
            return False
        return self.update(row.upstream, None, heard_at, now)

    def retain(self, names):
        """Forget all runs but some."""
        self._limits = {k: v for k, v in self._limits.items() if k in names}
