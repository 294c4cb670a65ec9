"""Closes a connection so that the last answer on it still arrives."""

import asyncio

from . import stream

READ_SIZE = 65536
# Seconds between two looks at how much of an answer is still on its way.
POLL = 0.02
# Longest wait in seconds for a slow caller to take what is left of an answer.
SEND_SECONDS = 30.0
# Longest wait in seconds while the caller takes nothing of it.
STALL_SECONDS = 5.0
# Longest wait in seconds for the caller to close as well.  Until then what it
# sends is read and discarded: the kernel resets a connection that is closed
# with bytes unread, and drops the answer before them.
LINGER_SECONDS = 2.0


class Closing:
    """A connection on which no request is served any more.

    :param reader: its WatchedReader
    :param writer: its StreamWriter
    :ivar stalled: whether it was given up as the caller took nothing
    """

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._surplus = False
        self.stalled = False

    @property
    def unsent(self):
        """Return the bytes that are lost if the process ends now."""
        return self._writer.transport.get_write_buffer_size()

    @property
    def sending(self):
        """Return whether an end of the process would cost an answer.

        What the kernel holds arrives all the same, unless bytes come that
        nobody reads.
        """
        if self._writer.transport.is_closing():
            return False
        if self.unsent:
            return True
        return self._surplus and self._undelivered

    @property
    def in_use(self):
        """Return whether the caller still sends, or waits for an answer."""
        return self.sending or self._surplus and not self._reader.ended

    @property
    def _undelivered(self):
        return self.unsent + stream.unacknowledged(self._writer)

    async def run(self):
        """Send what is left, and wait for the caller's end.

        :raises OSError: the connection was lost
        """
        transport = self._writer.transport
        if transport.is_closing():
            return
        loop = asyncio.get_running_loop()
        self._writer.write_eof()
        until = loop.time() + SEND_SECONDS
        stalled_at = loop.time() + STALL_SECONDS
        self._end_once_sent()
        before = left = self._undelivered
        while left and loop.time() < until:
            if transport.is_closing():
                return
            if left < before:
                stalled_at = loop.time() + STALL_SECONDS
            if loop.time() >= stalled_at:
                self.stalled = True
                return
            before = left
            await self._discard(POLL)
            self._end_once_sent()
            left = self._undelivered
        until = loop.time() + LINGER_SECONDS
        while not self._reader.ended and loop.time() < until:
            await self._discard(until - loop.time())

    def _end_once_sent(self):
        """Let the connection end in order once the kernel holds all."""
        if not self.unsent:
            stream.end_at_close(self._writer)

    async def _discard(self, seconds):
        """Read on for some seconds at most."""
        if self._reader.at_eof():
            return await asyncio.sleep(seconds)
        try:
            async with asyncio.timeout(seconds):
                if await self._reader.read(READ_SIZE):
                    self._surplus = True
        except asyncio.TimeoutError:
            pass
