"""A router's share of the connections that an upstream accepts."""

import collections

# Share of an upstream's connections that the routers divide among themselves.
# The rest is for connections that it has not yet seen closed, and for routers
# that have just started and are not known everywhere.
USED_SHARE = 0.9


def connection_share(most, routers):
    """Return how many connections one router may have to an upstream.

    :param most: connections that the upstream accepts in total, 0 if it
        names no limit
    :param routers: number of routers known
    :returns: at least 1, or None for no limit
    """
    if not most:
        return None
    return max(1, int(most * USED_SHARE / max(1, routers)))


class ConnectionCounts:
    """Counts this router's connections by address, idle ones included.

    :param limit: function from an address to the most connections, None for
        no limit
    :param is_closed: function from a connection to whether it is closed
    """

    def __init__(self, limit, is_closed):
        self._limit = limit
        self._is_closed = is_closed
        self._opening = collections.Counter()
        self._open = {}

    def count(self, address):
        """Return the number of connections that are open or being opened."""
        kept = self._open.get(address)
        if kept:
            closed = [one for one in kept if self._is_closed(one)]
            kept.difference_update(closed)
        if not kept:
            self._open.pop(address, None)
        return len(kept or ()) + self._opening[address]

    def has_room(self, address):
        """Return whether a request may open a connection."""
        limit = self._limit(address)
        return limit is None or self.count(address) < limit

    def exceeds(self, address):
        """Return whether there are more than may be, as the share shrank."""
        limit = self._limit(address)
        return limit is not None and self.count(address) > limit

    def may_probe(self, address):
        """Return whether a probe or a peer may open a connection.

        They leave the last one to requests.  A share of one is an exception:
        without probes a lost link would never be found to work again.
        """
        limit = self._limit(address)
        return limit is None or self.count(address) < max(1, limit - 1)

    def begin(self, address):
        """Count a connection that is being opened."""
        self._opening[address] += 1

    def end(self, address, connection=None):
        """Count a connection as open, or as failed to open.

        :param connection: None if it failed
        """
        self._opening[address] -= 1
        if not self._opening[address]:
            del self._opening[address]
        # Forgets closed ones, also of addresses without a limit.
        self.count(address)
        if connection is not None:
            self._open.setdefault(address, set()).add(connection)
