"""Which versions the upstreams of each service had lately."""

import collections
import math


class VersionHistory:
    """The versions that were listed, and when they were listed last."""

    def __init__(self):
        self._listed = {}
        # Monotonic time at which a version was last listed, by service.
        self._gone_at = collections.defaultdict(dict)
        self._began_at = math.inf

    def update(self, upstreams, now):
        """Apply a list of upstreams.

        :param upstreams: Upstreams, the leaving ones too
        :param now: monotonic time
        """
        listed = collections.defaultdict(set)
        for upstream in upstreams:
            listed[upstream.service].add(upstream.version)
        for service, versions in self._listed.items():
            for version in versions - listed[service]:
                self._gone_at[service][version] = now
        self._listed = listed
        self._began_at = min(self._began_at, now)

    def versions(self, service, span, now):
        """Return the versions that a service had in the last seconds.

        :param span: number of these seconds
        """
        gone = {
            version
            for version, at in self._gone_at[service].items()
            if now < at + span
        }
        return gone | self._listed.get(service, set())

    def watched(self, now):
        """Return the seconds for which lists were seen, 0 without any."""
        return max(0.0, now - self._began_at)
