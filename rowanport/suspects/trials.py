"""Counts the trials of blocked parts, which all routers share by the store.

A blocked part may be sent again a few times, to find out whether the upstreams
were mended or the part was blamed wrongly.
"""

import math

import msgpack

from ..errors import MessageError

# Seconds after the last crash, or trial, until each trial of a part.  There
# are no others: what crashes upstreams after these is left to operators.
TRIAL_DELAYS = (60.0, 1800.0)
# Most parts in the record; those tried last are kept, and others may be tried
# anew.
RECORD_LIMIT = 512


class Trials:
    """The trials so far.

    :param rows: number of trials and Unix time of the last one, by the
        fingerprint of the part
    """

    __slots__ = ("_rows",)

    def __init__(self, rows=None):
        self._rows = rows or {}

    @classmethod
    def unpack(cls, data):
        """Return the Trials of a record in the store.

        :param data: bytes of the record, empty if there is none
        :raises MessageError: the bytes are malformed
        """
        if not data:
            return cls()
        try:
            rows = {
                int(part): (int(count), float(at))
                for part, count, at in msgpack.unpackb(data)
            }
        except (ValueError, TypeError, msgpack.UnpackException):
            raise MessageError("malformed record of trials") from None
        return cls(rows)

    def pack(self):
        """Return the bytes of the record."""
        rows = [[part, *row] for part, row in self._rows.items()]
        return msgpack.packb(rows[-RECORD_LIMIT:])

    def count(self, part):
        """Return the number of trials of a part."""
        return self._rows.get(part, (0, 0.0))[0]

    def next_at(self, part, crashed_at):
        """Return the Unix time from which a part may be tried again.

        :param crashed_at: Unix time of the last crash
        :returns: infinity if it may not
        """
        count, tried_at = self._rows.get(part, (0, 0.0))
        if count >= len(TRIAL_DELAYS):
            return math.inf
        return max(crashed_at, tried_at) + TRIAL_DELAYS[count]

    def add(self, part, now):
        """Return the Trials with one more of a part.

        :param now: Unix time of the trial
        """
        rows = {p: row for p, row in self._rows.items() if p != part}
        rows[part] = (self.count(part) + 1, now)
        return Trials(rows)
