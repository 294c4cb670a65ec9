"""For how long runs have been missing from the list of upstreams."""

# Seconds after which a run that is not listed has ended.  Entries that expire
# in a store outage are back about 2 s after the store; what is listed later
# under the same name is another run, also if it does not tell when it started.
ABSENCE_SECONDS = 5.0


class Absences:
    """The runs that are known and not listed."""

    def __init__(self):
        self._began_at = {}

    def update(self, known, listed, now):
        """Apply a list of upstreams.

        :param known: names of the runs of which something is known
        :param listed: names of the listed runs
        :param now: monotonic time
        :returns: the known runs that have ended, also those whose name is
            listed again
        """
        ended = {
            name
            for name in known
            if now >= self._began_at.get(name, now) + ABSENCE_SECONDS
        }
        self._began_at = {
            name: self._began_at.get(name, now)
            for name in known
            if name not in listed and name not in ended
        }
        return ended
