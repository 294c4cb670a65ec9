"""Synchronises with peers which requests crash upstreams.

Changes are sent at once.  As these messages may be lost, each poll of a peer
also carries recent changes.  While two tables differ, polls and answers carry
the newest rows and the others in batches.
"""

import asyncio
import random

import structlog

from ..schema.messages import SuspectNews
from ..schema.messages import SuspectRun
from ..tasks import TaskSet
from .fingerprint import format_fingerprints

LOG = structlog.get_logger(__name__)

# Longest time in seconds for which a peer counts a suspect's run if the end of
# the run is not announced or the message is lost.
MAX_RUN_SECONDS = 10.0
# Seconds for each recipient over which routers spread their announcements of
# clearances, so that in a large fleet only a few send them.
CLEARANCE_SPREAD = 0.002
# Seconds for which a change is included in each poll of a peer.
RECENT_SECONDS = 2.0


class SuspectSync:
    """Exchanges suspects and their runs with peers.

    :param table: the SuspectTable
    :param runs: the SuspectRuns
    :param peers: a PeerClient
    :param recipients: function that returns the addresses of the peers to
        which changes are sent at once
    :param address: this router's peer address
    :param clock: a Clock
    :ivar on_changes: callback with the Suspects that a peer's message changed
    :ivar on_runs: callback when a peer reports the start or end of a run
    """

    def __init__(self, table, runs, peers, recipients, address, clock):
        self._table = table
        self._runs = runs
        self._peers = peers
        self._recipients = recipients
        self._address = address
        self._clock = clock
        self._differs_until = 0.0
        # Fingerprints of suspects that this router cleared, as long as no
        # peer is known to have cleared them, too.
        self._unannounced = set()
        self._tasks = TaskSet()
        self.on_changes = None
        self.on_runs = None

    # Immediate messages

    def announce(self, suspects):
        """Send the rows of some Suspects to peers."""
        if not suspects:
            return
        now = self._clock.steady()
        rows = [self._table.row(suspect, now) for suspect in suspects]
        message = SuspectNews(self._table.digest, rows)
        self._peers.tell(self._recipients(), message)

    def announce_clearances(self, suspects):
        """Send the rows of Suspects that many routers may clear at once.

        Each waits for a random time, and sends only what no other one sent.
        """
        if not suspects:
            return
        names = {suspect.fingerprint for suspect in suspects}
        self._unannounced |= names
        self._tasks.spawn(self._announce_later(names))

    async def _announce_later(self, names):
        spread = CLEARANCE_SPREAD * len(self._recipients())
        await asyncio.sleep(random.uniform(0.0, spread))
        names &= self._unannounced
        self._unannounced -= names
        suspects = [self._table.get(name) for name in names]
        self.announce([one for one in suspects if one is not None])

    def _drop_announced(self, row):
        """Do not announce a clearance that a peer has announced."""
        suspect = self._table.get(row.fingerprint)
        if suspect is None or set(suspect.cleared) <= set(row.cleared):
            self._unannounced.discard(row.fingerprint)

    def close(self):
        """Cancel what is still to be announced."""
        self._tasks.cancel()

    def announce_run(self, send, fingerprint):
        """Record the run of a suspect, and send it to peers.

        :param send: the InFlightSend
        :param fingerprint: that of the request, or of the suspected part
        """
        now = self._clock.steady()
        run = send.run.name
        seconds = max(0.0, min(MAX_RUN_SECONDS, send.job.deadline - now))
        self._runs.add(fingerprint, run, self._address, now + seconds)
        message = SuspectRun(fingerprint, run, self._address, seconds)
        self._peers.tell(self._recipients(), message)

    def announce_ends(self, sends):
        """Remove the runs of some InFlightSends, and notify peers."""
        for send in sends:
            for fingerprint in send.job.suspect_ids:
                key = fingerprint, send.run.name, self._address
                if self._runs.remove(*key):
                    self._peers.tell(self._recipients(), SuspectRun(*key, 0.0))

    def receive_run(self, message):
        """Apply a SuspectRun message."""
        key = message.fingerprint, message.upstream, message.router
        if message.seconds > 0:
            seconds = min(MAX_RUN_SECONDS, message.seconds)
            self._runs.add(*key, self._clock.steady() + seconds)
        else:
            self._runs.remove(*key)
        self.on_runs()

    def receive(self, message):
        """Merge the rows of a SuspectNews message."""
        now = self._clock.steady()
        merged = [self._table.merge(row, now) for row in message.rows]
        for row in message.rows:
            self._drop_announced(row)
        changed = [suspect for suspect in merged if suspect is not None]
        if not changed:
            return
        LOG.info(
            "suspects_heard",
            heard_from=changed[0].source,
            fingerprints=format_fingerprints(s.fingerprint for s in changed),
        )
        self.on_changes(changed)

    # Polls

    def build_poll(self):
        """Return the SuspectNews to include in a poll of a peer."""
        now = self._clock.steady()
        if now < self._differs_until:
            rows = self._table.next_rows(now)
        else:
            rows = self._table.rows_since(now - RECENT_SECONDS, now)
        return SuspectNews(self._table.digest, rows)

    def answer_poll(self, message):
        """Merge the SuspectNews of a poll; return those for the answer."""
        self.receive(message)
        rows = []
        if message.digest != self._table.digest:
            rows = self._table.next_rows(self._clock.steady())
        return SuspectNews(self._table.digest, rows)

    def receive_answer(self, message):
        """Merge the SuspectNews of an answer.

        If the tables differ, the next polls include rows in batches.
        """
        self.receive(message)
        if message.digest != self._table.digest:
            self._differs_until = self._clock.steady() + RECENT_SECONDS
