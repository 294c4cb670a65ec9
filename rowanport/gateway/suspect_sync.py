"""Tells peers of requests under which upstreams crash, and hears them.

What is new is told at once.  As such a message may be lost, each question to
a peer and its answer carry what is recent as well, and all the rest in turn
while the two know different things.
"""

import structlog

from ..schema.messages import SuspectNews
from ..schema.messages import SuspectRun
from .fingerprint import format_fingerprint

LOG = structlog.get_logger(__name__)

# Seconds for which a peer counts a suspect's run whose end it did not hear.
RUN_SECONDS = 10.0
# Seconds for which news are told with each question to a peer.
RECENT_SECONDS = 2.0
# Requests that one log line names.
LOG_LIMIT = 20


class SuspectSync:
    """What routers tell each other of suspects.

    :param table: the SuspectTable
    :param runs: the SuspectRuns
    :param peers: a PeerClient
    :param listeners: function that returns the addresses of the peers that
        are told news at once
    :param address: this router's peer address
    :param clock: a Clock
    :ivar on_changes: function of the Suspects that a peer's news changed
    :ivar on_runs: function that is called when a peer told of a run
    """

    def __init__(self, table, runs, peers, listeners, address, clock):
        self._table = table
        self._runs = runs
        self._peers = peers
        self._listeners = listeners
        self._address = address
        self._clock = clock
        self._push_until = 0.0
        self.on_changes = None
        self.on_runs = None

    # At once

    def announce(self, suspects):
        """Tell peers what is known of some Suspects."""
        if not suspects:
            return
        now = self._clock.steady()
        rows = [self._table.row(suspect, now) for suspect in suspects]
        news = SuspectNews(self._table.digest, rows)
        self._peers.tell(self._listeners(), news)

    def announce_run(self, send):
        """Count a suspect's run, and tell peers of it."""
        now = self._clock.steady()
        job, run = send.job, send.run.name
        seconds = max(0.0, min(RUN_SECONDS, job.deadline - now))
        self._runs.add(job.fingerprint, run, self._address, now + seconds)
        message = SuspectRun(job.fingerprint, run, self._address, seconds)
        self._peers.tell(self._listeners(), message)

    def announce_ends(self, sends):
        """Count the runs of some InFlightSends no more, and tell peers."""
        for send in sends:
            key = send.job.fingerprint, send.run.name, self._address
            if self._runs.remove(*key):
                self._peers.tell(self._listeners(), SuspectRun(*key, 0.0))

    def receive_run(self, message):
        """Take in a SuspectRun."""
        key = message.fingerprint, message.upstream, message.router
        if message.seconds > 0:
            seconds = min(RUN_SECONDS, message.seconds)
            self._runs.add(*key, self._clock.steady() + seconds)
        else:
            self._runs.remove(*key)
        self.on_runs()

    def receive(self, news):
        """Take in SuspectNews."""
        now = self._clock.steady()
        merged = [self._table.merge(row, now) for row in news.rows]
        changed = [suspect for suspect in merged if suspect is not None]
        if not changed:
            return
        LOG.info(
            "suspects_heard",
            heard_from=changed[0].source,
            fingerprints=format_fingerprints(changed),
        )
        self.on_changes(changed)

    # With questions

    def build_poll(self):
        """Return the SuspectNews that go along with a question to a peer."""
        now = self._clock.steady()
        if now < self._push_until:
            rows = self._table.next_rows(now)
        else:
            rows = self._table.rows_since(now - RECENT_SECONDS, now)
        return SuspectNews(self._table.digest, rows)

    def answer_poll(self, news):
        """Take in an asker's SuspectNews; return what it may not know."""
        self.receive(news)
        rows = []
        if news.digest != self._table.digest:
            rows = self._table.next_rows(self._clock.steady())
        return SuspectNews(self._table.digest, rows)

    def receive_answer(self, news):
        """Take in the SuspectNews that a peer answered with."""
        self.receive(news)
        if news.digest != self._table.digest:
            self._push_until = self._clock.steady() + RECENT_SECONDS


def format_fingerprints(suspects):
    """Return the fingerprints of some Suspects as logs show them."""
    return [format_fingerprint(s.fingerprint) for s in suspects][:LOG_LIMIT]
