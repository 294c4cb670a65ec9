"""The versions at which recent streams began."""

import collections

from ..hashing import hash_of

# Seconds after the last event was about to be passed on for which a record is
# kept: callers take a stream up within the time that they wait in all.
RECORD_SECONDS = 60.0
# Maximum records; the oldest ones are dropped.
MAX_RECORDS = 20000
# The version of a stream whose id was used for streams of several versions.
AMBIGUOUS = "?"


def stream_key(organisation, request):
    """Return the key of a stream.

    :param organisation: name of the organisation that asked for it, or None
    :param request: id of the request that brought its first event
    """
    return f"{hash_of(f'{organisation or str()}/{request}'):016x}"


class StreamRecord:
    """One stream.

    :ivar version: the version that began it, or AMBIGUOUS
    :ivar expires_at: monotonic time until which it is kept
    """

    __slots__ = ("version", "expires_at")

    def __init__(self, version, expires_at):
        self.version = version
        self.expires_at = expires_at


class StreamVersions:
    """StreamRecord by the key of the stream."""

    def __init__(self):
        # The records that expire first come first.
        self._records = collections.OrderedDict()

    def __len__(self):
        return len(self._records)

    def record(self, key, version, now, age=0.0):
        """Record the version at which a stream began or went on.

        :param now: monotonic time
        :param age: seconds since a peer recorded it
        """
        self._expire(now)
        known = self._records.pop(key, None)
        expires_at = now - max(0.0, age) + RECORD_SECONDS
        if known is not None:
            if known.version != version:
                version = AMBIGUOUS
            expires_at = max(expires_at, known.expires_at)
        self._records[key] = StreamRecord(version, expires_at)

    def find(self, key, now):
        """Return the version of a stream, None if it is not known."""
        self._expire(now)
        record = self._records.get(key)
        if record is None or record.expires_at <= now:
            return None
        return record.version

    def rows(self, now):
        """Return (key, version, age) of all records."""
        return [
            (key, record.version, now + RECORD_SECONDS - record.expires_at)
            for key, record in self._records.items()
            if record.expires_at > now
        ]

    def _expire(self, now):
        while self._records:
            key = next(iter(self._records))
            expired = self._records[key].expires_at <= now
            if not expired and len(self._records) <= MAX_RECORDS:
                return
            del self._records[key]
