"""Shares what the routers of a large fleet learn of their engines' speed.

Routers report samples (prompt tokens ahead of a first event, seconds until
it); collectors fit them and answer with the estimates.
"""

import random

import structlog

from ..engines.book import SpeedBook
from ..engines.rows import MAX_ESTIMATE_ROWS
from ..engines.rows import MAX_SAMPLE_ROWS
from ..engines.rows import pack_estimates
from ..engines.rows import pack_samples
from ..engines.rows import read_estimates
from ..engines.rows import read_samples
from ..hashing import hash_of
from .backlog import MAX_RATE
from .state_exchange import StateComponent

LOG = structlog.get_logger(__name__)

# Rows of an answer with more engines than rows: for those that differ most
# from the median, and for others drawn at random, so that all are sent in
# time.  Full answers would cost a router of 420 more than 50 us a request.
OUTLIER_ROWS = 8
OTHER_ROWS = 8
# Seconds for which the estimates in answers are used again.
ANSWER_SECONDS = 0.4
# The same with more engines than rows, for which it costs more.
MAX_ANSWER_SECONDS = 2.0
KEY_BITS = 32


class EngineSpeeds(StateComponent):
    """The speeds of engines, while the fleet is large.

    :param pool: the UpstreamPool, whose backlogs use the speeds
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    :param is_large: function that returns whether the fleet is large
    """

    name = "speeds"

    def __init__(self, pool, clock, metrics, is_large):
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._is_large = is_large
        self._active = False
        self._book = SpeedBook()
        self._unreported = []
        self._rows = []
        self._rows_until = 0.0

    @property
    def active(self):
        large = self._is_large()
        if large is not self._active:
            self._active = large
            self.update()
        return large

    @property
    def exceeds_own_estimates(self):
        """Return whether engines read faster than a router's own estimate.

        Up to MAX_RATE that tells them apart, and reading prompts again for
        the sake of even work costs more than it gains.
        """
        return self._active and self._book.fastest_median > MAX_RATE

    @property
    def book(self):
        """Return the SpeedBook."""
        return self._book

    def update(self):
        """Apply the listed engines; those that restarted have no past."""
        records = self._pool.records() if self._active else []
        self._book.retain(
            (record.run, _key_of(record), record.service) for record in records
        )
        self._rows_until = 0.0
        self._pool.use_speeds(self if self._active else None)

    def of(self, run):
        """Return the EngineSpeed of an UpstreamRun, or None."""
        return self._book.get(run)

    def record(self, speed, tokens, seconds, now):
        """Record a first event of this router.

        :param speed: the EngineSpeed of the engine
        :param tokens: prompt tokens ahead of the event
        :param seconds: time from the send to the event
        :param now: monotonic time in seconds
        """
        if self._book.record(speed, tokens, seconds, now):
            self._unreported.append((speed.key, tokens, seconds))
            if len(self._unreported) > 2 * MAX_SAMPLE_ROWS:
                # An even sample of all, whatever arrives last.
                self._unreported = self._sample(MAX_SAMPLE_ROWS)

    def set_gauges(self):
        """Set the gauges of the engines' rates."""
        for speed in self._book.speeds():
            labels = {"upstream": speed.run.id}
            self._metrics.engine_rate.set(labels, round(speed.rate))

    def _sample(self, count):
        count = min(count, len(self._unreported))
        return random.sample(self._unreported, count)

    # Exchange

    def report(self):
        samples = self._sample(MAX_SAMPLE_ROWS)
        self._unreported = []
        if samples:
            self._metrics.engine_samples.add({}, len(samples))
        return pack_samples(samples)

    def collect(self, data, sender):
        now = self._clock.steady()
        for key, tokens, seconds in read_samples(data):
            self._book.collect(key, tokens, seconds, now)

    def summarize(self, receiver):
        now = self._clock.steady()
        if now >= self._rows_until:
            self._book.refresh(now)
            self._rows = [
                pack_estimates([(speed.key, estimate)])
                for speed, estimate in self._book.collected(now)
            ]
            scale = max(1.0, len(self._book) / MAX_ESTIMATE_ROWS)
            self._rows_until = now + min(
                MAX_ANSWER_SECONDS, ANSWER_SECONDS * scale
            )
        rows = self._rows
        if len(rows) > MAX_ESTIMATE_ROWS:
            others = rows[OUTLIER_ROWS:]
            rows = rows[:OUTLIER_ROWS] + random.sample(others, OTHER_ROWS)
        return b"".join(rows)

    def apply(self, data, sender):
        now = self._clock.steady()
        for key, estimate in read_estimates(data):
            self._book.apply(key, estimate, now)
        for speed in self._book.refresh(now):
            LOG.info(
                "engine_speed",
                upstream=speed.run.name,
                rate=round(speed.rate),
                fixed_ms=round(1000 * speed.fixed),
                error=round(speed.error, 2),
                peer=sender,
            )


def _key_of(record):
    return hash_of(record.run.name) % 2**KEY_BITS
