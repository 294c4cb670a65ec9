"""Learns an engine's fixed time and read rate from first events."""

import array
import math
import statistics

from .estimate import age_weight
from .estimate import Estimate

# Samples kept for each engine.
MAX_SAMPLES = 64
# Quantile of the samples at the fitted line.  Work that no router announced
# makes first events later, and one in seven takes 2.5 times as long, so the
# line runs through the lower part.  The minimum would follow prompts that are
# cached although they are counted as unread.
QUANTILE = 0.35
# Samples that the assumed speed counts for, so that a line is defined also by
# one sample.  More of them drew noisy fits to the assumed speed; how exact a
# fit is, its error tells.
PRIOR_SAMPLES = 0.2
# Prompt tokens at which the assumed speed is weighed against samples.
PRIOR_TOKENS = 2000.0
# Share of the residuals whose width tells their density at the line, and the
# standard error of the slowness by that width, for one sample at one token
# from the mean: sqrt(QUANTILE * (1 - QUANTILE)) * 2 / DENSITY_SHARE.
DENSITY_SHARE = 0.5
ERROR_FACTOR = 1.9
# Samples that the two parameters, their scale and their quantile use up.
FITTED_PARAMETERS = 5.0
# Multiple of the median tokens beyond which a sample counts for less: a single
# large one, whose tokens were estimated wrongly, would turn the line.
MAX_LEVERAGE = 3.0
# With few samples their residuals are too small: the line follows them.
FEW_SAMPLES = 12.0
# Rounds of the iterated weighted fit, which begins with the line of the last
# fit.  In a simulation of 60 samples, eight rounds were no more exact.
ROUNDS = 4
# Smallest residual in seconds in the weights of the fit, a part of one step of
# an engine.
MIN_RESIDUAL = 0.001
# Samples outside of these bounds measure something else than reading.
MAX_SAMPLE_SECONDS = 12.0
MAX_SAMPLE_TOKENS = 1000000.0
# Bound on the slowness against a division by zero, far beyond any engine.
MIN_SLOWNESS = 1e-8
# A fit is repeated once this share of its samples is new.  With a quarter, 2
# of 100 draws of 60 first events missed the rate by more than 15 in 100.
REFIT_SHARE = 0.125


class ReadSpeed:
    """Recent samples of an engine, and the line through them."""

    __slots__ = (
        "_tokens",
        "_seconds",
        "_at",
        "_next",
        "_new",
        "_fit",
    )

    def __init__(self):
        self._tokens = array.array("f")
        self._seconds = array.array("f")
        # 32-bit floats of monotonic times are exact to a second for months.
        self._at = array.array("f")
        self._next = 0
        self._new = 0
        self._fit = None

    def __len__(self):
        return len(self._at)

    def add(self, tokens, seconds, now):
        """Add a sample.

        :param tokens: prompt tokens ahead of a first event
        :param seconds: time from the send to that event
        :param now: monotonic time in seconds
        :returns: whether it is within bounds
        """
        if not 0 < seconds <= MAX_SAMPLE_SECONDS:
            return False
        if not 0 <= tokens <= MAX_SAMPLE_TOKENS:
            return False
        if len(self._at) < MAX_SAMPLES:
            self._tokens.append(tokens)
            self._seconds.append(seconds)
            self._at.append(now)
        else:
            self._tokens[self._next] = tokens
            self._seconds[self._next] = seconds
            self._at[self._next] = now
            self._next = (self._next + 1) % MAX_SAMPLES
        self._new += 1
        return True

    @property
    def outdated(self):
        """Return whether enough samples are new for another fit."""
        return self._new > REFIT_SHARE * len(self._at)

    def estimate(self, prior, now):
        """Return the Estimate by the samples.

        It is computed anew only if enough samples are new.

        :param prior: Estimate that is assumed without samples
        :param now: monotonic time in seconds
        """
        if self._fit is None or self.outdated:
            self._fit = self._compute(prior, now)
            self._new = 0
        return self._fit

    def _compute(self, prior, now):
        limit = MAX_LEVERAGE * (statistics.median(self._tokens) + 1.0)
        weights = [
            age_weight(now - at) * min(1.0, limit / (tokens + 1.0))
            for at, tokens in zip(self._at, self._tokens)
        ]
        rows = list(zip(self._tokens, self._seconds, weights))
        assumed = prior.fixed + PRIOR_TOKENS * prior.slowness
        weight = PRIOR_SAMPLES / 2
        rows.append((0.0, prior.fixed, weight))
        rows.append((PRIOR_TOKENS, assumed, weight))
        guess = self._fit or prior
        fixed, slowness = fit_quantile(rows, guess.fixed, guess.slowness)
        error = _error(rows[: len(self)], fixed, slowness)
        return Estimate(fixed, slowness, error)


def fit_quantile(rows, fixed, slowness):
    """Fit the line at QUANTILE by iteratively reweighted least squares.

    Residuals count by their absolute value, so that a few samples far from
    the line have little effect.

    :param rows: tokens, seconds and weight of each sample
    :param fixed: first guess of the seconds at no tokens
    :param slowness: first guess of the seconds per token
    :returns: fixed and slowness, neither negative
    """
    for _round in range(ROUNDS):
        total = sum_x = sum_y = sum_xx = sum_xy = 0.0
        for x, y, weight in rows:
            residual = y - fixed - slowness * x
            if residual > 0:
                weight *= QUANTILE / max(MIN_RESIDUAL, residual)
            else:
                weight *= (1.0 - QUANTILE) / max(MIN_RESIDUAL, -residual)
            weighted = weight * x
            total += weight
            sum_x += weighted
            sum_y += weight * y
            sum_xx += weighted * x
            sum_xy += weighted * y
        spread = total * sum_xx - sum_x * sum_x
        if spread <= 0:
            return fixed, slowness
        slowness = (total * sum_xy - sum_x * sum_y) / spread
        slowness = max(MIN_SLOWNESS, slowness)
        fixed = (sum_y - slowness * sum_x) / total
        if fixed < 0:
            fixed, slowness = 0.0, max(MIN_SLOWNESS, sum_xy / sum_xx)
    return fixed, slowness


def _error(rows, fixed, slowness):
    """Return the standard error of the slowness.

    :param rows: tokens, seconds and weight of each sample
    """
    count = sum(weight for _x, _y, weight in rows) - FITTED_PARAMETERS
    if count <= 0:
        return math.inf
    residuals = sorted(abs(y - fixed - slowness * x) for x, y, _ in rows)
    width = residuals[int(DENSITY_SHARE * len(rows))]
    width = max(MIN_RESIDUAL, width)
    spread = statistics.pstdev(x for x, _y, _weight in rows) + 1.0
    factor = ERROR_FACTOR * (1.0 + FEW_SAMPLES / count)
    return factor * width / (math.sqrt(count) * spread)
