"""Tells events of a run from other bytes, by their lines."""

import enum
import re

COMMENT = b":"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# Digits of the largest id, one of 64 bits.
MAX_ID_DIGITS = 19
_LINE_END = re.compile(rb"\r\n|\n")
# A reader ignores fields that it does not know.  The names that are in use are
# words; bytes that are no field at all have other ones.
_FIELD_NAME = re.compile(rb"[A-Za-z0-9_.-]{1,64}")
# A usual event, which is read without looking at each of its lines: a router
# reads each event of all streams.
_USUAL = re.compile(
    rb"id:[ \t]*([0-9]{1,%d})[ \t]*[\r\n]+data: ?([^\r\n]*)[\r\n]*"
    % MAX_ID_DIGITS
)
_FIELD_BEGIN = re.compile(
    rb"(?:^|[\r\n]|%s)%s[:\r\n]" % (BYTE_ORDER_MARK, _FIELD_NAME.pattern)
)
_ID = re.compile(rb"[ \t]*([0-9]{1,%d})[ \t]*" % MAX_ID_DIGITS)


class BlockKind(enum.Enum):
    """What a block of a stream is, as logs and metrics name it."""

    EVENT = "event"
    # Comments, and the pause before a new connection: a reader makes no event
    # of them.
    NO_EVENT = "no event"
    # From here on: nothing that a run may have made.
    NO_FIELD = "bytes that are no field"
    NO_ID = "event without an id"
    BAD_ID = "id that is no number"
    TWO_IDS = "event with two ids"
    BAD_COMMENT = "comment that is no text"


class Block:
    """A block of lines.

    :ivar kind: its BlockKind
    :ivar id: id of the event, None for other kinds
    :ivar data: its lines of data as bytes, joined by LF, or None
    """

    __slots__ = ("kind", "id", "data")

    def __init__(self, kind, id_=None, data=None):
        self.kind = kind
        self.id = id_
        self.data = data

    @classmethod
    def parse(cls, lines):
        """Return the Block that some bytes are, without a byte order mark.

        :param lines: their bytes, with or without their ends
        """
        usual = _USUAL.fullmatch(lines)
        if usual:
            return cls(BlockKind.EVENT, int(usual[1]), usual[2])
        return cls._parse_lines(lines)

    @classmethod
    def _parse_lines(cls, lines):
        ids = []
        values = []
        only_ignored = True
        for line, in_data in _split(lines):
            if not line:
                continue
            if line.startswith(COMMENT):
                if not _is_text(line):
                    return cls(BlockKind.BAD_COMMENT)
                continue
            name, _, value = line.partition(b":")
            if not _FIELD_NAME.fullmatch(name):
                if in_data:
                    continue
                return cls(BlockKind.NO_FIELD)
            if name == b"id":
                ids.append(value)
            elif name == b"data":
                values.append(value.removeprefix(b" "))
            only_ignored = only_ignored and name == b"retry"
        data = b"\n".join(values) if values else None
        if not ids:
            kind = BlockKind.NO_EVENT if only_ignored else BlockKind.NO_ID
            return cls(kind, data=data)
        if len(ids) > 1:
            return cls(BlockKind.TWO_IDS, data=data)
        number = parse_id(ids[0])
        if number is None:
            return cls(BlockKind.BAD_ID, data=data)
        return cls(BlockKind.EVENT, number, data)


def _split(lines):
    """Yield the lines of a block, and whether each may be part of data.

    A CR ends a line.  Where other lines end with LF, it may stand in the data
    of an upstream that does not know that.
    """
    has_lf = b"\n" in lines
    for line in _LINE_END.split(lines):
        first, *others = line.split(b"\r")
        yield first, False
        for other in others:
            yield other, has_lf


def has_field(lines):
    """Return whether a field begins in some bytes of a block."""
    return _FIELD_BEGIN.search(lines) is not None


def parse_id(text):
    """Return the id of an event, None if some bytes are none."""
    found = _ID.fullmatch(text)
    return found and int(found[1])


def _is_text(line):
    try:
        line.decode()
    except UnicodeDecodeError:
        return False
    return True
