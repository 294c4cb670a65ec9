"""How much of their links the other routers of the data centre use."""

# Seconds after which what is known of peers no longer counts.
LIFETIME = 3.0


class PeerSummary:
    """The use of the links of some routers.

    :ivar quartile: a quarter of them use at most this part of their links
    :ivar median: half of them use at most this part
    """

    __slots__ = ("quartile", "median")

    def __init__(self, quartile, median):
        self.quartile = quartile
        self.median = median


class _Report:
    """The last report of a router."""

    __slots__ = ("data_centre", "share", "end")

    def __init__(self, data_centre, share, end):
        self.data_centre = data_centre
        self.share = share
        self.end = end


class PeerUse:
    """The reports of routers, and the last summary of a collector.

    :param data_centre: this router's data centre
    """

    def __init__(self, data_centre):
        self._data_centre = data_centre
        self._reports = {}
        self._summary = None
        self._summary_end = 0.0

    def collect(self, sender, data_centre, share, now):
        """Take in the report of a router."""
        self._reports[sender] = _Report(data_centre, share, now + LIFETIME)

    def apply(self, summary, now):
        """Take in the PeerSummary of a collector."""
        self._summary = summary
        self._summary_end = now + LIFETIME

    def summary_for(self, receiver, now):
        """Return the PeerSummary of the routers beside one, or None."""
        own = self._reports.get(receiver)
        if own is None:
            return None
        return self._summarize(own.data_centre, receiver, now)

    def summary(self, now):
        """Return the PeerSummary for this router, None if none is known."""
        if self._summary is not None and now < self._summary_end:
            return self._summary
        return self._summarize(self._data_centre, None, now)

    def _summarize(self, data_centre, receiver, now):
        self._reports = {
            sender: report
            for sender, report in self._reports.items()
            if now < report.end
        }
        shares = sorted(
            report.share
            for sender, report in self._reports.items()
            if report.data_centre == data_centre and sender != receiver
        )
        if not shares:
            return None
        return PeerSummary(shares[len(shares) // 4], shares[len(shares) // 2])
