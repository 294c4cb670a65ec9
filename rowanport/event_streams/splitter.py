"""Splits a stream into blocks of lines, however it is chunked."""

import re

from ..errors import BoundExceeded

LINE_ENDS = b"\r\n"
# The line end of a block's last line, and the empty line behind it.  A line
# ends with CR LF, LF or CR; the first CR of a pair is no line end by itself.
_BLOCK_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
# Ends a block, unless the LF of a CR LF is still to come.
_HALF_PAIR = b"\n\r"
# Longest end of a block in bytes.
_END_SIZE = 4
# Bytes of one block, a thousand times those of a usual event.  It is held in
# memory until it is complete.
BLOCK_LIMIT = 256 * 1024
# Bytes of line ends that may come without a block between them.  They hold
# nothing; streams have one or two.
BLANK_LIMIT = 64 * 1024


class BlockSplitter:
    """Collects chunks and returns the blocks that are complete.

    A block is some lines and the empty line that ends them.  Further line ends
    between two blocks are dropped.
    """

    def __init__(self):
        self._rest = bytearray()
        # Bytes of line ends since the last block.
        self._blank = 0

    @property
    def rest(self):
        """Return the bytes of a block that is not complete."""
        return bytes(self._rest)

    @property
    def has_partial_block(self):
        """Return whether the bytes so far end within a block."""
        return bool(self._rest)

    def partial_block(self, size):
        """Return the first bytes of the block that is not complete."""
        return bytes(self._rest[:size])

    def feed(self, chunk):
        """Add a chunk; yield the blocks that it completes, as bytes.

        :raises BoundExceeded: a block, or line ends, go on without end
        """
        rest = self._rest
        # The end of a block may be split between two chunks.
        position = max(0, len(rest) - _END_SIZE + 1)
        rest += chunk
        begin = self._skip_line_ends(0)
        position = max(begin, position)
        while True:
            found = _BLOCK_END.search(rest, position)
            if found is None or self._may_continue(found):
                break
            block = bytes(rest[begin : found.end()])
            self._blank = 0
            yield block
            begin = position = self._skip_line_ends(found.end())
        del rest[:begin]
        if len(rest) > BLOCK_LIMIT:
            raise BoundExceeded("event", BLOCK_LIMIT)

    def finish(self):
        """End the stream; yield the block that its end completes, if any.

        A last CR without its LF is a line end.
        """
        block = bytes(self._rest)
        if block.endswith(_HALF_PAIR):
            self._rest.clear()
            yield block

    def _skip_line_ends(self, begin):
        """Return where the next block begins, at or behind a position.

        :raises BoundExceeded: there were too many line ends
        """
        rest = self._rest
        end = begin
        while end < len(rest) and rest[end] in LINE_ENDS:
            end += 1
        self._blank += end - begin
        if self._blank > BLANK_LIMIT:
            raise BoundExceeded("line ends between events", BLANK_LIMIT)
        return end

    def _may_continue(self, found):
        """Return whether the LF of a block's last CR LF is still to come.

        Where lines end with CR alone, a block ends with its second CR: waiting
        would delay each event by one.  A CR behind an LF is half a pair.
        """
        at_end = found.end() == len(self._rest)
        return at_end and found[0].endswith(_HALF_PAIR)
