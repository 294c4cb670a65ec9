"""Reads the events of one run from the bytes that its upstream sends."""

from ..errors import BoundExceeded
from ..errors import ForeignBytes
from ..errors import StreamTruncated
from .block import Block
from .block import BlockKind
from .block import BYTE_ORDER_MARK
from .block import has_field
from .splitter import BlockSplitter
from .splitter import LINE_ENDS

# Bytes of comments that may come without an event between them: a sound
# upstream sends some tens of bytes each few seconds.
COMMENT_LIMIT = 64 * 1024
# Bytes of a partial block in which a field has to begin so that it may become
# an event: room for some comments.
FIELD_WITHIN = 256
# The kind of a block whose id does not rise, in logs and metrics.
NOT_RISING = "id that does not rise"
# The same, where a later run ends before the place at which it goes on.
BEYOND_END = "id beyond the last event"
# Kinds of blocks that consist of fields, whatever their ids.
_FIELDS = (
    BlockKind.EVENT,
    BlockKind.NO_ID,
    BlockKind.BAD_ID,
    BlockKind.TWO_IDS,
)


class Event:
    """An event of a run.

    :ivar data: its bytes, with the comments before it and the empty line at
        its end
    :ivar id: its integer id, None where ids have no meaning
    """

    __slots__ = ("data", "id")

    def __init__(self, data, id_):
        self.data = data
        self.id = id_


class DataReader:
    """Reads the data of events whose ids have no meaning.

    Nothing behind bytes that are no event with data is read.

    :ivar fault: the ForeignBytes or BoundExceeded at which reading ended, or
        None
    """

    def __init__(self):
        self.fault = None
        self._splitter = BlockSplitter()
        self._offset = 0

    def feed(self, chunk):
        """Add a chunk; return the data of the events that it completes."""
        found = []
        if self.fault is not None:
            return found
        try:
            for lines in self._splitter.feed(chunk):
                if not self._offset:
                    lines = lines.removeprefix(BYTE_ORDER_MARK)
                block = Block.parse(lines)
                if block.data is not None:
                    found.append(block.data)
                elif block.kind is not BlockKind.NO_EVENT:
                    self.fault = ForeignBytes(
                        block.kind.value, self._offset, lines
                    )
                    break
                self._offset += len(lines)
        except BoundExceeded as error:
            self.fault = error
        return found


class EventReader:
    """Reads a stream up to the first bytes that its run did not make.

    Nothing behind such bytes is read: where a run's events end and other bytes
    begin is not known any more.  Comments are held back until the next event
    or the end of the stream shows that they belong to it.

    :param after: id of the last event that the caller has of earlier runs, or
        None; events up to it are left out
    :param numbered: whether events have ids that rise, as on streaming routes.
        Otherwise only the fields are checked
    :ivar fault: the ForeignBytes or BoundExceeded at which reading ended, or
        None; the events that were returned before are the run's own
    :ivar repeated: number of events that were left out, as the caller has them
    """

    def __init__(self, after=None, numbered=True):
        self.fault = None
        self.repeated = 0
        self._after = after
        self._numbered = numbered
        self._splitter = BlockSplitter()
        # Bytes that were read as blocks.
        self._offset = 0
        # Comments since the last event.
        self._comments = bytearray()
        # Ids of the last event and the one before it, and the last one's
        # bytes.
        self._last = None
        self._before = None
        self._last_data = None

    @property
    def has_partial_event(self):
        """Return whether the bytes so far end within an event.

        A comment needs no empty line behind it.
        """
        if not self._splitter.has_partial_block:
            return False
        block = Block.parse(self._splitter.rest)
        return block.kind is not BlockKind.NO_EVENT

    @property
    def has_partial_fields(self):
        """Return whether the bytes so far end within what may be an event.

        Noise and comments may not.
        """
        if self.fault is not None:
            return False
        return has_field(self._splitter.partial_block(FIELD_WITHIN))

    @property
    def trailing(self):
        """Return the bytes behind the last event, which are no event."""
        return bytes(self._comments) + self._splitter.rest

    def check_end(self, framed):
        """Check that the run may end here.

        :param framed: whether the answer itself tells where it ends; otherwise
            bytes behind the last block show that it broke off
        :raises StreamTruncated: it ends within an event
        :raises ForeignBytes: it ends before the last event that the caller
            has, which no run made then
        """
        if self.fault is not None:
            raise self.fault
        torn = not framed and self._splitter.has_partial_block
        if torn or self.has_partial_event:
            raise StreamTruncated
        if self._last is not None and not self._reaches_caller:
            fault = ForeignBytes(BEYOND_END, self._offset, b"")
            fault.spoils_last = True
            raise fault

    @property
    def _reaches_caller(self):
        return self._after is None or self._last >= self._after

    def feed(self, chunk):
        """Add a chunk; return the list of new Events that it completes."""
        return self._read_all(self._splitter.feed(chunk))

    def finish(self):
        """End the stream; return the list of new Events that this completes.

        What has no end then is a partial event.
        """
        return self._read_all(self._splitter.finish())

    def _read_all(self, blocks):
        """Read blocks up to the first fault; return the list of new Events."""
        events = []
        if self.fault is not None:
            return events
        try:
            for data in blocks:
                self._read(data, events)
                if self.fault is not None:
                    break
                self._offset += len(data)
        except BoundExceeded as error:
            self.fault = error
        return events

    def _read(self, data, events):
        """Read a block; add its Event to a list if it is a new one."""
        lines = data
        if not self._offset and data.startswith(BYTE_ORDER_MARK):
            lines = data[len(BYTE_ORDER_MARK) :]
            if self._after is not None:
                # The caller has the beginning of the stream.
                data = lines.lstrip(LINE_ENDS)
        block = Block.parse(lines)
        if block.kind is BlockKind.NO_EVENT:
            self._hold(data)
        elif block.kind is BlockKind.EVENT and self._numbered:
            self._read_numbered(data, block.id, events)
        elif not self._numbered and block.kind in _FIELDS:
            self._add(data, None, events)
        else:
            self.fault = ForeignBytes(block.kind.value, self._offset, data)

    def _hold(self, data):
        """Hold a comment back."""
        self._comments += data
        if len(self._comments) > COMMENT_LIMIT:
            self.fault = BoundExceeded("comments", COMMENT_LIMIT)

    def _read_numbered(self, data, id_, events):
        if self._last is None or id_ > self._last:
            self._before, self._last = self._last, id_
            self._last_data = data
            if self._is_new(id_):
                self._add(data, id_, events)
            else:
                self._comments.clear()
                self.repeated += 1
            return
        if id_ == self._last and data == self._last_data:
            # Sent twice; one of them is passed on.
            return
        fault = ForeignBytes(NOT_RISING, self._offset, data)
        if self._before is None or id_ > self._before:
            # Either this event or the last one is foreign.
            if events:
                events.pop()
            else:
                fault.spoils_last = self._is_new(self._last)
        self.fault = fault

    def _is_new(self, id_):
        return self._after is None or id_ > self._after

    def _add(self, data, id_, events):
        if self._comments:
            data = bytes(self._comments) + data
            self._comments.clear()
        events.append(Event(data, id_))
