"""Tells which bytes of an upstream's stream are events of its run.

Nothing here waits or sends: docs/design/stream-events.md.
"""

from .block import Block
from .block import BlockKind
from .block import parse_id
from .reader import DataReader
from .reader import Event
from .reader import EventReader
from .splitter import BLANK_LIMIT
from .splitter import BLOCK_LIMIT
from .splitter import BlockSplitter

__all__ = [
    "BLANK_LIMIT",
    "Block",
    "BlockKind",
    "BLOCK_LIMIT",
    "BlockSplitter",
    "DataReader",
    "Event",
    "EventReader",
    "parse_id",
]
