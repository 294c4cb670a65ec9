"""At which version of the upstreams' software a stream may go on.

This package does no I/O and has no clock.  The gateway passes in what it
sees, what peers tell and what it asks them.
"""

from .history import HISTORY_SECONDS
from .history import VersionHistory
from .resumption import Knowledge
from .resumption import Resolution
from .resumption import resolve
from .stored_record import VersionRecord
from .streams import AMBIGUOUS
from .streams import RECORD_SECONDS
from .streams import stream_key
from .streams import StreamVersions

__all__ = [
    "AMBIGUOUS",
    "HISTORY_SECONDS",
    "Knowledge",
    "RECORD_SECONDS",
    "Resolution",
    "resolve",
    "stream_key",
    "StreamVersions",
    "VersionHistory",
    "VersionRecord",
]
