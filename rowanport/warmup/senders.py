"""Which routers send to a cold upstream, and how often.

Routers know that an upstream is cold at different times, and cannot ask each
other while they are cut off.  So a few of all routers are its senders, by
rendezvous hashing, and each of them keeps to its own part of the rate: the
parts add up to the rate whatever the routers know of each other's sends.
"""

from ..hashing import hash_of


class SenderQuotas:
    """What one router may send to cold upstreams.

    :param address: its peer address
    """

    def __init__(self, address):
        self._address = address
        self._routers = None
        self._quotas = {}

    def quota(self, upstream, rate, routers, settled):
        """Return how many requests a second it may send to an upstream.

        :param upstream: name of the upstream's run
        :param rate: requests a second that it bears while it is cold
        :param routers: peer addresses of all routers known, this one among
            them, also those that may be dead: a part that is not used costs
            less than one that is used twice.  The same tuple as long as they
            stay the same
        :param settled: whether it has run for long enough to know them all;
            routers that start together take themselves for the only ones
        :returns: a whole number; 0 if it is none of the upstream's senders
        """
        if not settled:
            return 0
        if routers is not self._routers:
            self._routers = routers
            self._quotas = {}
        key = (upstream, rate)
        quota = self._quotas.get(key)
        if quota is None:
            quota = self._quotas[key] = self._compute(upstream, rate)
        return quota

    def _compute(self, upstream, rate):
        total = max(1, int(rate))
        senders = min(total, len(self._routers))
        own = _weight(upstream, self._address)
        ahead = sum(
            _weight(upstream, router) > own for router in self._routers
        )
        return total // senders if ahead < senders else 0

    def retain(self, names):
        """Drop the quotas of all upstreams but these."""
        self._quotas = {
            key: quota
            for key, quota in self._quotas.items()
            if key[0] in names
        }


def _weight(upstream, router):
    return hash_of(f"{upstream}\0{router}")
