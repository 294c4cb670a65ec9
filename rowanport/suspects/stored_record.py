"""The record of blocked requests that outlives all routers."""

import msgpack

from ..errors import MessageError
from ..schema.messages import CrashSeen
from ..schema.messages import SuspectRow
from .table import KEEP_SECONDS

# Requests that the record holds, the last ones blocked.
RECORD_LIMIT = 256


def pack_blocked(rows, wall):
    """Return the bytes of the record.

    :param rows: SuspectRows
    :param wall: Unix time in seconds
    """
    entries = [
        [row.fingerprint, [[c.upstream, wall - c.age] for c in row.crashes]]
        for row in rows
    ]
    return msgpack.packb(entries[-RECORD_LIMIT:])


def unpack_blocked(data, wall):
    """Return the SuspectRows in a record's bytes.

    :param wall: Unix time in seconds
    :raises MessageError: the bytes are none of a record
    """
    if not data:
        return []
    try:
        return [
            row
            for fingerprint, crashes in msgpack.unpackb(data)
            if (row := _row(int(fingerprint), crashes, wall)).crashes
        ]
    except (ValueError, TypeError, msgpack.UnpackException):
        raise MessageError("malformed record of blocked requests") from None


def _row(fingerprint, crashes, wall):
    # A wall clock that went back since makes a crash young, not negative.
    seen = [
        CrashSeen(str(run), max(0.0, wall - float(at))) for run, at in crashes
    ]
    seen = [crash for crash in seen if crash.age < KEEP_SECONDS]
    return SuspectRow(fingerprint, seen, [], "store", True)
