"""What the store keeps of one budget, and how a batch changes it."""

import msgpack

from ..errors import MessageError

# Holders whose last batch number is remembered.  A batch of unknown fate is
# sent again by its holder within seconds; between two tries of one holder
# far fewer than this write to the same budget.
HOLDERS_REMEMBERED = 64


class BudgetRecord:
    """The store's side of one budget.

    :ivar taken: tokens out of the store, spent or held by routers
    :ivar total: tokens paid for, by the newest configuration that a writer
        knew
    :ivar version: that configuration's version
    :ivar batches: number of the last batch by holder, oldest writer first
    """

    __slots__ = ("taken", "total", "version", "batches")

    def __init__(self, taken=0, total=0, version=0, batches=None):
        self.taken = taken
        self.total = total
        self.version = version
        self.batches = batches or {}

    @property
    def left(self):
        """Return the tokens that may still be taken."""
        return max(0, self.total - self.taken)

    @classmethod
    def unpack(cls, data):
        """Return the record in a store value; raise MessageError if unfit.

        :param data: the bytes; empty for a budget nobody has drawn on
        """
        if not data:
            return cls()
        try:
            taken, total, version, batches = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException):
            raise MessageError("malformed budget record") from None
        return cls(taken, total, version, batches)

    def pack(self):
        """Return the bytes for the store."""
        return msgpack.packb(
            [self.taken, self.total, self.version, self.batches]
        )

    def set_total(self, total, version):
        """Take over a total unless a newer one is known."""
        if version >= self.version:
            self.total = total
            self.version = version

    def is_applied(self, holder, number):
        """Return whether a holder's batch already changed this record."""
        return self.batches.get(holder, 0) >= number

    def apply(self, holder, number, tokens):
        """Move tokens out to a holder, or back from it if negative.

        :returns: tokens moved; never more than are left
        """
        moved = min(tokens, self.left)
        self.taken += moved
        self.batches.pop(holder, None)
        self.batches[holder] = number
        while len(self.batches) > HOLDERS_REMEMBERED:
            del self.batches[next(iter(self.batches))]
        return moved
