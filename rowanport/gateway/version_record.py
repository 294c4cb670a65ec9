"""Stores which versions services had, for routers that start.

A stream that nobody knows any more may go on if its service had one version
all along.  Routers that start together know that only from the store.
"""

import structlog

from ..errors import MessageError
from ..hashing import rendezvous
from ..versions import VersionRecord
from .shared_record import SharedRecord
from .store_watchers import store_watchers

LOG = structlog.get_logger(__name__)

# Seconds that each further router in the rendezvous order waits for the ones
# before it to write a change, in which its own list becomes current, too.
RANK_DELAY = 2.0


class StoredVersions(SharedRecord):
    """Reads the record of versions at the start, and updates it.

    :param store: a TransactionStore
    :param history: the VersionHistory
    :param members: the Membership
    :param address: this router's peer address
    :param clock: a Clock
    """

    key = "rowanport/versions"
    name = "versions"

    def __init__(self, store, history, members, address, clock):
        super().__init__(store, members, address, clock)
        self._history = history
        # Whether each known version is listed: by the record in the store,
        # and by this router, with the monotonic time of its last change.
        self._stored = {}
        self._wanted = {}
        self._wanted_since = 0.0

    def _receive(self, data):
        now = self._clock.steady()
        if not data:
            self._history.begin(now)
            return
        try:
            record = VersionRecord.unpack(data)
        except MessageError:
            self._history.begin(now)
            raise
        self._history.merge(record, now, self._clock.wall())
        self._stored = record.listed
        LOG.info("versions_loaded", versions=record.gone_at)

    def _must_save(self):
        if not self._loaded:
            return False
        now = self._clock.steady()
        wanted = self._history.record(now, self._clock.wall()).listed
        if wanted != self._wanted:
            self._wanted = wanted
            self._wanted_since = now
        if not wanted or wanted == self._stored:
            return False
        writers = rendezvous(self.key, store_watchers(self._members))
        if self._address not in writers:
            return False
        delay = RANK_DELAY * writers.index(self._address)
        return now >= self._wanted_since + delay

    def _merge(self, data):
        now, wall = self._clock.steady(), self._clock.wall()
        if data:
            self._history.merge(VersionRecord.unpack(data), now, wall)
        return self._history.record(now, wall).pack()

    def _on_conflict(self, data):
        if data:
            record = VersionRecord.unpack(data)
            self._history.merge(
                record, self._clock.steady(), self._clock.wall()
            )
            self._stored = record.listed

    def _on_saved(self, data):
        record = VersionRecord.unpack(data)
        self._stored = record.listed
        LOG.info("versions_stored", versions=record.gone_at)
