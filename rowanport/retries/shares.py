"""The store's record of which router has which part of the slack."""

import msgpack

from ..errors import MessageError


class ShareRow:
    """The share of the router at one address.

    :ivar incarnation: the run that wrote the row last
    :ivar permits: number of permits
    :ivar renewals: increases whenever the row is written
    """

    __slots__ = ("incarnation", "permits", "renewals")

    def __init__(self, incarnation, permits, renewals):
        self.incarnation = incarnation
        self.permits = permits
        self.renewals = renewals

    def fields(self):
        """Return the values of all slots, in the order of the slots."""
        return [getattr(self, slot) for slot in self.__slots__]


class ShareRecord:
    """All shares of the slack.

    :ivar rows: ShareRow by peer address
    """

    __slots__ = ("rows",)

    def __init__(self, rows=None):
        self.rows = {} if rows is None else rows

    def free(self, slack):
        """Return the permits that belong to no router.

        :param slack: permits of the fleet
        """
        return max(0, slack - sum(r.permits for r in self.rows.values()))

    @classmethod
    def unpack(cls, data):
        """Return the record in a store value.

        :param data: the bytes; empty if no share was ever claimed
        :raises MessageError: the data is malformed
        """
        if not data:
            return cls()
        try:
            rows = msgpack.unpackb(data)
            return cls({name: _row(*row) for name, row in rows.items()})
        except (ValueError, TypeError, AttributeError) as error:
            raise MessageError(f"malformed retry shares: {error}") from None

    def pack(self):
        """Return the bytes for the store."""
        rows = {name: row.fields() for name, row in self.rows.items()}
        return msgpack.packb(rows)


def _row(incarnation, permits, renewals):
    if not isinstance(permits, int) or permits < 0:
        raise ValueError(f"{permits!r} permits")
    return ShareRow(incarnation, permits, renewals)
