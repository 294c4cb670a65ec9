"""Counts one router's sends to cold upstreams."""

import collections

# Seconds within which no more than a quota is sent; above 1 s, so that the
# network cannot deliver two seconds' quotas within one.
QUOTA_SECONDS = 1.1


class ColdSends:
    """The recent sends of one router to each cold upstream."""

    def __init__(self):
        self._sent_at = {}

    def available_at(self, name, quota, now):
        """Return the monotonic time from which one more may be sent.

        :param name: name of the upstream's run
        :param quota: sends allowed a second, at least one
        """
        sent_at = self._recent(name, now)
        if len(sent_at) < quota:
            return now
        return sent_at[-quota] + QUOTA_SECONDS

    def acquire(self, name, quota, now):
        """Count a send if it is allowed; return whether it is."""
        if not quota or self.available_at(name, quota, now) > now:
            return False
        self._sent_at[name].append(now)
        return True

    def _recent(self, name, now):
        sent_at = self._sent_at.setdefault(name, collections.deque())
        while sent_at and sent_at[0] <= now - QUOTA_SECONDS:
            sent_at.popleft()
        return sent_at

    def retain(self, names):
        """Drop the sends to all upstreams but these."""
        self._sent_at = {k: s for k, s in self._sent_at.items() if k in names}
