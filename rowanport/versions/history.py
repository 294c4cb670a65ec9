"""Which versions the upstreams of each service had lately."""

import collections
import math

from .stored_record import VersionRecord

# Seconds for which a version that is not listed any more counts.  No caller
# takes up a stream that began an hour ago, but some go on trying for longer
# than the time-out of their route.
HISTORY_SECONDS = 3600.0


class VersionHistory:
    """The versions that were listed, and when they were listed last."""

    def __init__(self):
        self._listed = {}
        # Monotonic time at which a version was last listed, by service.
        self._gone_at = collections.defaultdict(dict)
        # Monotonic time of the first list, and from which all versions are
        # known, also those that routers before this one listed.
        self._began_at = math.inf
        self._known_since = math.inf

    def update(self, upstreams, now):
        """Apply a list of upstreams.

        :param upstreams: Upstreams, the leaving ones too
        :param now: monotonic time
        :returns: whether some version is new or gone
        """
        listed = collections.defaultdict(set)
        for upstream in upstreams:
            listed[upstream.service].add(upstream.version)
        for service, versions in self._listed.items():
            for version in versions - listed[service]:
                self._gone_at[service][version] = now
        changed = listed != self._listed
        if changed:
            self._expire(now)
        self._listed = listed
        self._began_at = min(self._began_at, now)
        return changed

    def _expire(self, now):
        for service, versions in self._gone_at.items():
            self._gone_at[service] = {
                version: at
                for version, at in versions.items()
                if now < at + HISTORY_SECONDS
            }

    def versions(self, service, now):
        """Return the versions that a service had in the last hour."""
        gone = {
            version
            for version, at in self._gone_at[service].items()
            if now < at + HISTORY_SECONDS
        }
        return gone | self._listed.get(service, set())

    def watched(self, now):
        """Return the seconds for which all versions are known.

        :returns: 0 before the first list, and before the record of the
            routers before was merged
        """
        if self._began_at == math.inf:
            return 0.0
        return max(0.0, now - self._known_since)

    # The record in the store

    def merge(self, record, now, wall):
        """Merge the VersionRecord of other routers.

        A version that it names as listed may have gone at any time since.

        :param now: monotonic time
        :param wall: Unix time
        """
        for service, versions in record.gone_at.items():
            for version, at in versions.items():
                age = 0.0 if at is None else max(0.0, wall - at)
                gone_at = self._gone_at[service]
                gone_at[version] = max(
                    now - age, gone_at.get(version, -math.inf)
                )
        age = max(0.0, wall - record.since)
        self._known_since = min(self._known_since, now - age)

    def begin(self, now):
        """Begin anew, as there is no record of routers before."""
        self._known_since = min(self._known_since, now)

    def record(self, now, wall):
        """Return the VersionRecord to store.

        :param now: monotonic time
        :param wall: Unix time
        """
        record = VersionRecord(wall - max(0.0, now - self._known_since), {})
        for service in {*self._listed, *self._gone_at}:
            listed = self._listed.get(service, set())
            record.gone_at[service] = {
                version: (
                    None
                    if version in listed
                    else wall - (now - self._gone_at[service][version])
                )
                for version in sorted(self.versions(service, now))
            }
        return record
