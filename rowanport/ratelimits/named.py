"""The rate limits that upstreams name, as all routers together heard them."""

import re

from ..errors import MessageError

# Largest limit in requests a second that is taken for one.
LARGEST = 1e6
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


def read_limit(text):
    """Return the requests a second that an upstream's text names.

    :raises MessageError: it is no decimal number, negative or absurd
    """
    if not _DECIMAL.fullmatch(text) or float(text) > LARGEST:
        raise MessageError(f"no rate limit: {text[:40]!r}")
    return float(text)


class NamedLimit:
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


class NamedLimits:
    """All NamedLimits by the name of the upstream's run.

    The last answer decides, whichever router got it.
    """

    def __init__(self):
        self._limits = {}

    def __len__(self):
        return len(self._limits)

    def items(self):
        """Return (name, NamedLimit) pairs."""
        return list(self._limits.items())

    def rate(self, name):
        """Return the requests a second of an upstream's run, None if any."""
        limit = self._limits.get(name)
        return limit.rate if limit else None

    def note(self, name, rate, heard_at, now):
        """Take in what an upstream's run said.

        :param rate: requests a second, None if it named none
        :param heard_at: steady time of the answer
        :returns: whether this changes its limit
        """
        limit = self._limits.get(name)
        if limit is None:
            if rate is None:
                return False
            self._limits[name] = NamedLimit(rate, heard_at, now)
            return True
        if heard_at <= limit.heard_at:
            return False
        limit.heard_at = heard_at
        if rate == limit.rate:
            return False
        limit.rate = rate
        limit.changed_at = now
        return True

    def keep(self, names):
        """Forget all runs but some."""
        self._limits = {k: v for k, v in self._limits.items() if k in names}
