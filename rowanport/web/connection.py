"""What a server knows of one of its connections."""

import asyncio

import h11


class Connection:
    """One open connection, and what it waits for.

    :param reader: its WatchedReader
    :param writer: its StreamWriter
    :param head_limit: largest head of a request in bytes
    :ivar state: the h11.Connection
    :ivar responder: the Responder of the request in hand, or None
    :ivar idle_limit: the time limit while it waits for the first byte of a
        request, or None
    :ivar closing: its Closing once no more requests are served, or None
    """

    __slots__ = (
        "reader",
        "writer",
        "state",
        "responder",
        "idle_limit",
        "closing",
    )

    def __init__(self, reader, writer, head_limit):
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=head_limit
        )
        self.responder = None
        self.idle_limit = None
        self.closing = None

    @property
    def in_use(self):
        """Return whether a request, or the end of an answer, is in hand."""
        if self.closing is not None:
            return self.closing.in_use
        return self.idle_limit is None

    @property
    def sending(self):
        """Return whether only the end of an answer is in hand."""
        return self.closing is not None and self.closing.sending

    @property
    def unsent(self):
        """Return the bytes that wait to be handed to the kernel."""
        return self.writer.transport.get_write_buffer_size()

    def end_idle(self):
        """Close it unless something of a request has come.

        It counts as in use until its last answer is out.
        """
        limit = self.idle_limit
        if limit is None or self.reader.unread:
            return
        self.idle_limit = None
        if not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())
