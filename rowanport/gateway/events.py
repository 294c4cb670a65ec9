"""Splits a stream of events at their ends, whatever pieces it comes in."""

END = b"\n\n"


class Event:
    """One whole event.

    :ivar data: its bytes, the empty line at its end included
    :ivar id: its number, or None
    """

    __slots__ = ("data", "id")

    def __init__(self, data):
        self.data = data
        self.id = _read_id(data)


class EventSplitter:
    """Collects pieces and returns the events that are whole."""

    def __init__(self):
        self._rest = b""

    @property
    def torn(self):
        """Return whether an event has begun that is not whole."""
        return bool(self._rest.strip())

    def feed(self, piece):
        """Take in a piece; return the list of events that it completes."""
        events = (self._rest + piece).split(END)
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
