"""Reads the headers by which upstreams say something of themselves."""

import re

from ..errors import MessageError

# Statuses of refusals, which may name a time to back off.
REFUSAL_STATUSES = (429, 503)
# Longest part of a malformed value that an error names.
NAMED_LENGTH = 40
# Longest back-off in seconds: an upstream that names hours by mistake is found
# out by one request after each such time.
MAX_BACKOFF_SECONDS = 600.0
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
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


def parse_backoff(text):
    """Return the seconds for which an upstream wants no requests.

    Upstreams send numbers, unlike HTTP with fractions, and no dates.

    :param text: value of the header, None if the answer has none
    :returns: 0 to MAX_BACKOFF_SECONDS
    :raises MessageError: the text is no decimal number
    """
    if text is None:
        return 0.0
    if not _DECIMAL.fullmatch(text):
        raise MessageError(f"not a time: {text[:NAMED_LENGTH]!r}")
    return min(MAX_BACKOFF_SECONDS, float(text))
