"""Claims trials of blocked parts in the store."""

import structlog

from ..errors import MessageError
from ..errors import StoreError
from ..store import Write
from ..suspects import Trials
from .fingerprint import format_fingerprint

LOG = structlog.get_logger(__name__)

TRIALS_KEY = "rowanport/blocked/trials"
# Seconds until a router asks the store again after a claim that failed.
RETRY_SECONDS = 5.0


class PartTrials:
    """Decides which requests may try a blocked part again.

    :param store: a TransactionStore
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    """

    def __init__(self, store, clock, metrics):
        self._store = store
        self._clock = clock
        self._metrics = metrics
        # Monotonic time until which the store is not asked, by part.
        self._ask_at = {}

    def may_be_due(self, suspect):
        """Return whether a trial of a part may be due, without I/O.

        :param suspect: the Suspect of the part
        """
        now = self._clock.steady()
        due = Trials().next_at(suspect.fingerprint, self._crashed_at(suspect))
        if self._clock.wall() < due:
            return False
        return now >= self._ask_at.get(suspect.fingerprint, now)

    async def claim(self, suspect):
        """Return whether this router may send one request with a part.

        The claim is written before the request is sent, so that no more than
        the allowed trials are sent, whatever fails.
        """
        if not self.may_be_due(suspect):
            return False
        part = suspect.fingerprint
        # Other requests with the part are refused meanwhile.
        self._ask_at[part] = self._clock.steady() + RETRY_SECONDS
        try:
            value = await self._store.get_value(TRIALS_KEY)
            trials = Trials.unpack(value.data)
            wall = self._clock.wall()
            due = trials.next_at(part, self._crashed_at(suspect))
            if wall < due:
                self._ask_at[part] = self._clock.steady() + due - wall
                return False
            trials = trials.add(part, wall)
            write = Write(TRIALS_KEY, trials.pack(), value.version)
            await self._store.commit([write])
        except (StoreError, MessageError) as error:
            LOG.info(
                "part_trial_unclaimed",
                fingerprint=format_fingerprint(part),
                error=str(error),
            )
            return False
        self._metrics.part_trials.inc({})
        LOG.warning(
            "part_trial",
            fingerprint=format_fingerprint(part),
            trial=trials.count(part),
            crashes=len(suspect.uncleared_crashes),
        )
        return True

    def _crashed_at(self, suspect):
        """Return the Unix time of the last crash under a part."""
        age = self._clock.steady() - max(suspect.crashes.values())
        return self._clock.wall() - age
