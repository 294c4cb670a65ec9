"""The routers that follow the store for all, and hear of what all send."""

from ..incarnation import address_of
from ..membership.members import STORE_DUTY

# Other routers up to which all are told news: each pair soon has a connection.
FULL_MESH_LIMIT = 32
# Routers that follow the store, and the part of a larger fleet that does; the
# others ask these.  Each change costs each of them a call.
STORE_WATCHERS = 8
STORE_WATCHER_SHARE = 0.1


def store_watchers(members):
    """Return the addresses of those routers.

    :param members: the Membership
    """
    return members.delegates(STORE_DUTY, STORE_WATCHERS, STORE_WATCHER_SHARE)


def update_recipients(members, address):
    """Return the addresses of the peers that are told news at once.

    In a larger fleet these are the followers, whom all others ask.

    :param members: the Membership
    :param address: this router's peer address
    """
    others = members.live_peers()
    if len(others) > FULL_MESH_LIMIT:
        return [peer for peer in store_watchers(members) if peer != address]
    return [address_of(other) for other in others]
