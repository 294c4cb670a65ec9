"""Estimates of an engine's speed, and how they are merged."""

import math
import statistics

# Prompt tokens per second and fixed seconds to the first event that are
# assumed while no engine of a service was measured.
DEFAULT_RATE = 50000.0
DEFAULT_FIXED = 0.04
# Standard deviation of the engines of a service, as a share of the median
# slowness.  Estimates are drawn to the median by it until they are exact.
PRIOR_SPREAD = 0.6
# The same while no median is known.
DEFAULT_SPREAD = 3.0
# Seconds after which a measurement counts for less, and after which its
# weight halves from then on: speeds change when engines restart, rarely else.
FULL_WEIGHT_SECONDS = 30.0
AGE_HALF_LIFE = 30.0
# Precision that earlier answers of collectors keep against a new one, as a
# multiple of its own: there are eight collectors, and one that answers again
# repeats most of its samples.
MAX_KEPT_ANSWERS = 7.0


class Estimate:
    """A line: the seconds to the first event by the tokens ahead of it.

    :ivar fixed: seconds to the first event without any tokens to read
    :ivar slowness: seconds per prompt token
    :ivar error: standard error of the slowness, infinite if unknown
    """

    __slots__ = ("fixed", "slowness", "error")

    def __init__(self, fixed, slowness, error=math.inf):
        self.fixed = fixed
        self.slowness = slowness
        self.error = error

    @property
    def rate(self):
        """Return the prompt tokens read per second."""
        return 1.0 / self.slowness

    @property
    def precision(self):
        """Return the weight of the estimate in a mean."""
        return self.error**-2

    def assign(self, other):
        """Take the values of another Estimate."""
        self.fixed = other.fixed
        self.slowness = other.slowness
        self.error = other.error


class FleetEstimate:
    """The merged answers of collectors about one engine."""

    __slots__ = ("_fixed", "_slowness", "_precision", "_at")

    def __init__(self):
        self._fixed = 0.0
        self._slowness = 0.0
        self._precision = 0.0
        self._at = 0.0

    def merge(self, estimate, now):
        """Merge the Estimate of a collector."""
        new = estimate.precision
        if new <= 0:
            return
        old = self._precision * age_weight(now - self._at)
        total = min(old, MAX_KEPT_ANSWERS * new) + new
        share = new / total
        self._fixed += share * (estimate.fixed - self._fixed)
        self._slowness += share * (estimate.slowness - self._slowness)
        self._precision = total
        self._at = now

    def estimate(self, now):
        """Return it as an Estimate, None if nothing was merged."""
        if not self._precision:
            return None
        precision = self._precision * age_weight(now - self._at)
        return Estimate(self._fixed, self._slowness, precision**-0.5)


def age_weight(age):
    """Return the weight, from 0 to 1, of a measurement of an age."""
    if age <= FULL_WEIGHT_SECONDS:
        return 1.0
    return 0.5 ** ((age - FULL_WEIGHT_SECONDS) / AGE_HALF_LIFE)


def combine(estimates, median):
    """Return the mean of Estimates, weighted by their precision.

    :param estimates: Estimates of one engine, None for those that are missing
    :param median: Estimate of the engines of its service, whose error is the
        spread of these
    """
    total = median.precision
    fixed = total * median.fixed
    slowness = total * median.slowness
    for estimate in estimates:
        if estimate is not None:
            precision = estimate.precision
            total += precision
            fixed += precision * estimate.fixed
            slowness += precision * estimate.slowness
    return Estimate(fixed / total, slowness / total, total**-0.5)


def default_estimate():
    """Return the Estimate of an engine of which nothing is known."""
    slowness = 1.0 / DEFAULT_RATE
    return Estimate(DEFAULT_FIXED, slowness, DEFAULT_SPREAD * slowness)


def median_of(estimates):
    """Return the median Estimate of some engines, at least one."""
    rate = statistics.median(one.rate for one in estimates)
    fixed = statistics.median(one.fixed for one in estimates)
    return Estimate(fixed, 1.0 / rate, PRIOR_SPREAD / rate)
