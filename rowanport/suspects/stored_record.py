"""Encodes the record of blocked requests and parts in the store."""

import msgpack

from ..errors import MessageError
from ..schema.messages import CrashSeen
from ..schema.messages import SuspectRow
from .table import oldest_age

# Most rows in the record; those blocked last are kept.
RECORD_LIMIT = 256


def pack_blocked(rows, wall):
    """Return the record as bytes, with the crashes that count.

    :param rows: SuspectRows
    :param wall: Unix time in seconds
    """
    entries = [[row.fingerprint, _pack_crashes(row, wall)] for row in rows]
    return msgpack.packb(entries[-RECORD_LIMIT:])


def _pack_crashes(row, wall):
    return [
        [crash.upstream, wall - crash.age]
        for crash in row.crashes
        if crash.upstream not in row.cleared
    ]


def unpack_blocked(data, wall):
    """Return the SuspectRows of a record.

    :param data: bytes of the record, empty if there is none
    :param wall: Unix time in seconds
    :raises MessageError: the bytes are malformed
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
    times = {str(run): float(at) for run, at in crashes}
    # If the wall clock was set back since, the age of the last crash is 0
    # rather than negative; separate crashes stay separate.
    now = max(wall, *times.values()) if times else wall
    seen = [CrashSeen(run, now - at) for run, at in times.items()]
    seen = [crash for crash in seen if crash.age < oldest_age(fingerprint)]
    return SuspectRow(fingerprint, seen, [], "store", True)
