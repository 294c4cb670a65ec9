"""Splits a stream of bytes into events, however it is chunked."""

END = b"\n\n"


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
    """Collects chunks and returns the events that are complete."""

    def __init__(self):
        self._rest = b""

    @property
    def has_partial_event(self):
        """Return whether the bytes so far end within an event."""
        return bool(self._rest.strip())

    def feed(self, chunk):
        """Add a chunk; return the list of events that it completes."""
        events = (self._rest + chunk).split(END)
        self._rest = events.pop()
        return [Event(event + END) for event in events]


def _read_id(data):
    for line in data.split(b"\n"):
        if line.startswith(b"id:"):
            try:
                return int(line[3:])
            except ValueError:
                return None
    return None
