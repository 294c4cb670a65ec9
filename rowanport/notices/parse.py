"""Reads the headers by which upstreams say something of themselves."""

import re

from ..errors import MessageError

# Longest part of a malformed value that an error names.
NAMED_LENGTH = 40
_INTEGER = re.compile(r"[0-9]{1,12}")


def parse_leaving(text):
    """Return whether an upstream says that it leaves.

    :param text: value of the header, None if the answer has none
    :raises MessageError: the text is no whole number
    """
    if text is None:
        return False
    if not _INTEGER.fullmatch(text):
        raise MessageError(f"not a flag: {text[:NAMED_LENGTH]!r}")
    return int(text) != 0
