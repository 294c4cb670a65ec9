"""Averages that decay: rates of demand, and times by size."""

import math

NEGLIGIBLE = 0.01


class DecayingRate:
    """A decaying average of amounts, in units a second.

    :param half_life: seconds after which an amount counts half
    :param least_age: if given, the average is over the time since the first
        amount, and over this many seconds at least, not over a past in
        which nothing was counted yet
    """

    __slots__ = ("_half_life", "_rate", "_at", "_least_age", "_first")

    def __init__(self, half_life, least_age=None):
        self._half_life = half_life
        self._least_age = least_age
        self._rate = 0.0
        self._at = None
        self._first = None

    def add(self, amount, now):
        """Count an amount at a time."""
        weight = math.log(2) / self._half_life
        if self._first is None:
            self._first = now
        self._rate = self._plain_rate(now) + amount * weight
        self._at = now

    def rate(self, now):
        """Return the average at a time."""
        rate = self._plain_rate(now)
        if self._least_age is None or self._first is None:
            return rate
        age = max(self._least_age, now - self._first)
        return rate / (1 - 0.5 ** (age / self._half_life))

    def _plain_rate(self, now):
        if self._at is None:
            return 0.0
        age = max(0.0, now - self._at) / self._half_life
        rate = self._rate * 0.5**age
        return rate if rate > NEGLIGIBLE else 0.0


class DecayingMean:
    """A mean of values that count less as they age.

    :param half_life: seconds after which a value counts half
    :ivar mean: the mean, None before the first value
    """

    __slots__ = ("_half_life", "_weight", "_at", "mean")

    def __init__(self, half_life):
        self._half_life = half_life
        self._weight = 0.0
        self._at = 0.0
        self.mean = None

    def add(self, value, now, weight=1.0):
        """Take in a value at a time."""
        age = max(0.0, now - self._at) / self._half_life
        self._weight = weight + self._weight * 0.5**age
        self._at = now
        known = value if self.mean is None else self.mean
        self.mean = known + (value - known) * weight / self._weight


class DecayingPeak:
    """The largest of some values, of which older ones count less.

    :param half_life: seconds after which a value counts half
    """

    __slots__ = ("_half_life", "_peak", "_at")

    def __init__(self, half_life):
        self._half_life = half_life
        self._peak = 0.0
        self._at = 0.0

    def update(self, value, now):
        """Take in a value at a time; return the peak."""
        age = max(0.0, now - self._at) / self._half_life
        self._peak = max(value, self._peak * 0.5**age)
        self._at = now
        return self._peak


class LinearEstimate:
    """A straight line through points that count less as they age.

    :param smoothing: weight of a new point, from 0 to 1
    """

    __slots__ = ("_smoothing", "_x", "_y", "_xx", "_xy", "_points")

    def __init__(self, smoothing):
        self._smoothing = smoothing
        self._x = self._y = self._xx = self._xy = 0.0
        self._points = 0

    def add(self, x, y):
        """Take in a point; the first ones count alike."""
        self._points += 1
        weight = max(self._smoothing, 1 / self._points)
        self._x += weight * (x - self._x)
        self._y += weight * (y - self._y)
        self._xx += weight * (x * x - self._xx)
        self._xy += weight * (x * y - self._xy)

    def at(self, x):
        """Return the line's value, 0 before the first point."""
        variance = self._xx - self._x**2
        slope = 0.0
        if variance > 1e-9:
            slope = max(0.0, (self._xy - self._x * self._y) / variance)
        # Neither part of a time can be less than nothing.
        slope = min(slope, self._y / self._x) if self._x else 0.0
        return self._y + slope * (x - self._x)
