"""Incarnations: the identity of one run of one router.

The text is ``cell/address/nonce``: a router that starts again at the same
address is another incarnation, and any peer can tell where to reach it.
A holder id is an incarnation with ``~`` and a count.
"""

from .hashing import new_id


def new_incarnation(cell, address):
    """Return a fresh incarnation of the router at a peer address."""
    return f"{cell}/{address}/{new_id()}"


def address_of(name):
    """Return the peer address of an incarnation or holder."""
    return name.split("/")[-2]


def cell_of(name):
    """Return the cell of an incarnation or holder."""
    return name.split("/")[0]


def incarnation_of(holder):
    """Return the incarnation that a holder id belongs to."""
    return holder.partition("~")[0]
