"""Selects the routers that watch the store, and the recipients of updates."""

from ..incarnation import address_of
from ..membership.members import STORE_DUTY

# Other routers up to which updates are sent to every router.  In a fleet of
# this size each pair of routers soon has a connection anyway.
FULL_MESH_LIMIT = 32
# Minimum number of routers that watch the store, and their share of a larger
# fleet; the others poll these.  Each change costs each of them a store call.
STORE_WATCHERS = 8
STORE_WATCHER_SHARE = 0.1


def store_watchers(members):
    """Return the addresses of the routers that watch the store.

    :param members: the Membership
    """
    return members.delegates(STORE_DUTY, STORE_WATCHERS, STORE_WATCHER_SHARE)


def update_recipients(members, address):
    """Return the addresses of the peers to which updates are sent at once.

    In a fleet above FULL_MESH_LIMIT these are the store watchers, which all
    other routers poll.

    :param members: the Membership
    :param address: this router's peer address
    """
    others = members.live_peers()
    if len(others) > FULL_MESH_LIMIT:
        return [peer for peer in store_watchers(members) if peer != address]
    return [address_of(other) for other in others]
