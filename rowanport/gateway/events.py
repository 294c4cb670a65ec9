"""Splits a stream of bytes into events, however it is chunked."""

from ..errors import BoundExceeded

LINE_END = b"\n"
END = b"\n\n"
# Bytes of one event, a thousand times those of a usual one.  It is held in
# memory until it is complete.
EVENT_LIMIT = 256 * 1024


# Bytes of line ends that may come without an event between them.  They hold
# nothing; streams have one or two.
BLANK_LIMIT = 64 * 1024


class Event:
    """A complete event.

    :ivar data: its bytes, including the empty line at its end
    :ivar id: its integer id, or None
    """

    __slots__ = ("data", "id")

    def __init__(self, data):
        self.data = data
        self.id = _read_id(data)


class EventSplitter:
    """Collects chunks and returns the events that are complete.

    Line ends between two events are dropped.
    """

    def __init__(self):
        self._rest = bytearray()
        # Bytes of line ends since the last event.
        self._blank = 0

    @property
    def has_partial_event(self):
        """Return whether the bytes so far end within an event."""
        return bool(self._rest.strip())

    def feed(self, chunk):
        """Add a chunk; return the list of events that it completes.

        :raises BoundExceeded: an event, or line ends, go on without end
        """
        rest = self._rest
        if rest:
            # The end of an event may be split between two chunks.
            begin = max(0, len(rest) - len(END) + 1)
            rest += chunk
            if rest.find(END, begin) < 0:
                _check_size(rest)
                return []
            chunk = bytes(rest)
        else:
            size = len(chunk)
            chunk = chunk.lstrip(LINE_END)
            self._count_blank(size - len(chunk))
        *parts, last = chunk.split(END)
        events = [Event(part + END) for part in parts if part.strip()]
        if events:
            self._blank = 0
        else:
            self._count_blank(len(chunk) - len(last))
        last = last.lstrip(LINE_END)
        if last or rest:
            _check_size(last)
            self._rest = bytearray(last)
        return events

    def _count_blank(self, size):
        """Count bytes that hold no event.

        :raises BoundExceeded: there are too many since the last event
        """
        self._blank += size
        if self._blank > BLANK_LIMIT:
            raise BoundExceeded("line ends between events", BLANK_LIMIT)


def _check_size(partial):
    """Raise BoundExceeded if a partial event is too large."""
    if len(partial) > EVENT_LIMIT:
        raise BoundExceeded("event", EVENT_LIMIT)


def _read_id(data):
    for line in data.split(b"\n"):
        if line.startswith(b"id:"):
            try:
                return int(line[3:])
            except ValueError:
                return None
    return None
