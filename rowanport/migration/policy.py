"""Decides by value which runs are copied to another engine."""

import math

GIGABYTE = 1e9
# Probability of the loss of a run whose engine leaves before the run ends.
CERTAIN = 1.0
# Seconds before an engine leaves by which a run has to end to stay there: a
# move takes less, and the pace of a run varies.
LEAVE_MARGIN = 0.5


class MovePolicy:
    """Compares the expected loss of a run with the price of a copy.

    All costs are in the same unit, for example the worth of an answer in time.

    :param copy_cost: cost of a copied gigabyte
    :param lost_stream_cost: cost of a lost stream, 0 if nothing is copied
    :param failure_rate: failures a second of one engine
    """

    def __init__(self, copy_cost, lost_stream_cost, failure_rate):
        self._copy_cost = copy_cost
        self._lost_stream_cost = lost_stream_cost
        self._failure_rate = failure_rate

    @property
    def enabled(self):
        """Return whether any copy may pay."""
        return self._lost_stream_cost > 0

    def loss_probability(self, seconds):
        """Return the probability that an engine fails within some seconds."""
        return -math.expm1(-self._failure_rate * seconds)

    def backup_pays(self, size, seconds):
        """Return whether a run is copied as it grows, in case of a crash.

        :param size: bytes of the run's memory at its end
        :param seconds: expected duration of the run
        """
        return self._pays(size, self.loss_probability(seconds))

    def move_pays(self, size):
        """Return whether a run is moved that its engine will not complete.

        :param size: bytes of the run's memory
        """
        return self._pays(size, CERTAIN)

    @staticmethod
    def ends_in_time(ends_at, leaves_at):
        """Return whether a run ends before its engine leaves.

        :param ends_at: monotonic time at which it ends at the latest, None if
            that is not known
        :param leaves_at: monotonic time at which the engine leaves, None if
            that is not known
        """
        if ends_at is None or leaves_at is None:
            return False
        return ends_at + LEAVE_MARGIN < leaves_at

    def _pays(self, size, probability):
        price = size / GIGABYTE * self._copy_cost
        return probability * self._lost_stream_cost > price
