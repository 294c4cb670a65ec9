"""Incarnations: the identity of one run of one router.

The text is ``cell/address/nonce``: a router that starts again at the same
address is another incarnation, and any peer can tell where to reach it.
A holder id is an incarnation with ``~`` and a count.

The nonce ends with ``.`` and the number of the protocol that the run speaks:
a message of a kind that a peer does not know ends the connection to it.
"""

from .hashing import new_id

# Increases with each kind of message that is sent without being asked for.
# 2: versions of streams, permits to retry.
# 3: evacuated data centres in the answers to polls.
# 4: reports of state to the routers that collect them.
# 5: upstreams that said that they leave, or refused a relay.
# 6: no new message; a tunnel ends in order only as the upstream's connection
# did, and routers know which versions services had before they started.
# 7: what upstreams did as answers without a length ended.
PROTOCOL = 7
EVACUATIONS_PROTOCOL = 3
STATE_PROTOCOL = 4
NOTICES_PROTOCOL = 5
TUNNEL_ENDS_PROTOCOL = 6
HISTORY_PROTOCOL = 6
ANSWER_ENDS_PROTOCOL = 7
# The protocol of runs that name none.
FIRST_PROTOCOL = 1


def new_incarnation(cell, address):
    """Return a fresh incarnation of the router at a peer address."""
    return f"{cell}/{address}/{new_id()}.{PROTOCOL}"


def protocol_of(incarnation):
    """Return the number of the protocol that a run of a router speaks."""
    _nonce, _, number = incarnation.rpartition("/")[2].partition(".")
    return int(number) if number.isdecimal() else FIRST_PROTOCOL


def address_of(name):
    """Return the peer address of an incarnation or holder."""
    return name.split("/")[-2]


def cell_of(name):
    """Return the cell of an incarnation or holder."""
    return name.split("/")[0]


def incarnation_of(holder):
    """Return the incarnation that a holder id belongs to."""
    return holder.partition("~")[0]
