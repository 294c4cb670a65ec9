"""The routers that follow the store for all, and hear of what all send."""

from ..membership.members import STORE_DUTY

# Routers that follow the store, and the part of a larger fleet that does; the
# others ask these.  Each change costs each of them a call.
FOLLOWERS = 8
FOLLOWER_SHARE = 0.1


def followers(members):
    """Return the addresses of those routers.

    :param members: the Membership
    """
    return members.delegates(STORE_DUTY, FOLLOWERS, FOLLOWER_SHARE)
