"""Which organisations use more than their share of a link."""

import collections

# Seconds for which bytes of an organisation count.
WINDOW = 0.5


def fair_level(amounts, total):
    """Return the max-min fair share: nobody may have more, if all is used.

    :param amounts: what each asks for
    :param total: what there is
    """
    level = total
    left = total
    amounts = sorted(amounts)
    for number, amount in enumerate(amounts):
        level = left / (len(amounts) - number)
        if amount > level:
            break
        left -= amount
        level = max(level, amount)
    return level


class OrganisationBytes:
    """The bytes that organisations recently had pass a link."""

    def __init__(self):
        # (end of its time, organisation, bytes), oldest first.
        self._entries = collections.deque()
        self._totals = collections.Counter()

    def add(self, organisation, size, now):
        """Count bytes of an organisation."""
        self._expire(now)
        self._entries.append((now + WINDOW, organisation, size))
        self._totals[organisation] += size

    def excess(self, organisation, rate, now):
        """Return the part of an organisation's bytes beyond its share.

        :param rate: bytes a second that all may have together
        """
        self._expire(now)
        own = self._totals[organisation]
        level = fair_level(self._totals.values(), rate * WINDOW)
        return 1.0 - level / own if own > level else 0.0

    def _expire(self, now):
        while self._entries and self._entries[0][0] <= now:
            _end, organisation, size = self._entries.popleft()
            self._totals[organisation] -= size
            if not self._totals[organisation]:
                del self._totals[organisation]
