"""Stores blocked requests, so that they survive a failure of all routers."""

import structlog

from ..hashing import rendezvous
from ..incarnation import address_of
from ..schema.messages import SuspectNews
from ..suspects import pack_blocked
from ..suspects import unpack_blocked
from .fingerprint import format_fingerprint
from .shared_record import SharedRecord

LOG = structlog.get_logger(__name__)

# Seconds that each further router in the rendezvous order waits for the ones
# before it to write a blocked request.
RANK_DELAY = 2.0


class Blocklist(SharedRecord):
    """Reads the record of blocked requests at the start, and updates it.

    Routers that do not access the store receive its rows from their peers.

    :param store: a TransactionStore
    :param crashes: the CrashGuard
    :param members: the Membership
    :param address: this router's peer address
    :param clock: a Clock
    """

    key = "rowanport/blocked"
    name = "blocklist"

    def __init__(self, store, crashes, members, address, clock):
        super().__init__(store, members, address, clock)
        self._crashes = crashes
        self._outdated = False

    def on_blocked(self):
        """Schedule a check, as a request was blocked or unblocked."""
        self.schedule()

    def on_blocked_answered(self):
        """Schedule a write, as a blocked request was answered completely."""
        self._outdated = True
        self.schedule()

    def _receive(self, data):
        rows = unpack_blocked(data, self._clock.wall())
        self._crashes.sync.receive(SuspectNews(0, rows))

    def _must_save(self):
        """Return whether this router is to write the record now.

        Each blocked request is written by the first available router in an
        order of its own.
        """
        now = self._clock.steady()
        return self._outdated or any(
            now >= suspect.changed_at + self._delay(suspect)
            for suspect in self._crashes.table.blocked_suspects
            if not suspect.stored
        )

    def _delay(self, suspect):
        """Return the seconds that this router waits for others to write."""
        routers = [address_of(other) for other in self._members.live_peers()]
        routers.append(self._address)
        order = rendezvous(format_fingerprint(suspect.fingerprint), routers)
        return RANK_DELAY * order.index(self._address)

    def _merge(self, data):
        """Return the record to write.

        Rows of the stored record are kept unless the table of this router
        knows the suspect and does not block it.
        """
        now, wall = self._clock.steady(), self._clock.wall()
        table = self._crashes.table
        rows = {
            row.fingerprint: row
            for row in unpack_blocked(data, wall)
            if table.get(row.fingerprint) is None
        }
        for suspect in table.blocked_suspects:
            rows[suspect.fingerprint] = table.row(suspect, now)
        return pack_blocked(list(rows.values()), wall)

    def _on_saved(self, data):
        self._outdated = False
        now = self._clock.steady()
        rows = unpack_blocked(data, self._clock.wall())
        for row in rows:
            self._crashes.table.mark_stored(row.fingerprint, now)
        LOG.info("blocklist_stored", count=len(rows))
