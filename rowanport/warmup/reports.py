"""Until when an upstream is cold, by what it says itself."""

import math
import re

# Longest time in seconds for which a report makes an upstream cold.
MAX_COLD_SECONDS = 60.0
# Seconds for which an upstream counts as cold whose report is unreadable.
UNREADABLE_SECONDS = 10.0
# Reports of the same cold time arrive with different delays.  A later end by
# less than this is no news.
REPORT_JITTER = 0.25
# The same for an earlier end, which costs only time.
EARLY_JITTER = 1.0
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


def parse_cold_time(value):
    """Return the seconds for which an upstream says that it is cold.

    :param value: milliseconds, a number or its text; anything may be there
    :returns: 0 to MAX_COLD_SECONDS, None if the value is unreadable
    """
    if isinstance(value, str):
        if not _DECIMAL.fullmatch(value):
            return None
        value = float(value)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if isinstance(value, float) and math.isnan(value):
        return None
    # Bounded before it becomes a float, which holds no number of 400 digits.
    return max(0, min(1000 * MAX_COLD_SECONDS, value)) / 1000


def cold_until(known, seconds, now):
    """Return until when an upstream is cold after a report.

    :param known: monotonic time that earlier reports of the same run gave,
        None for the first report
    :param seconds: its remaining time as reported, None if unreadable
    :param now: monotonic time of the report's arrival
    :returns: monotonic time; ``known`` itself if the report is no news
    """
    if seconds is None:
        # Later unreadable reports do not prolong it, or it stayed cold.
        return now + UNREADABLE_SECONDS if known is None else known
    if known is None:
        return now + seconds if seconds else 0.0
    if not seconds:
        return known if known <= now + EARLY_JITTER else now
    until = now + seconds
    if known - EARLY_JITTER <= until <= known + REPORT_JITTER:
        return known
    return until
