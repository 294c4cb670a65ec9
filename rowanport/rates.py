"""Rates that decay, for demand and arrivals."""

import math

NEGLIGIBLE = 0.01


class DecayingRate:
    """A decaying average of amounts, in units a second.

    :param half_life: seconds after which an amount counts half
    """

    __slots__ = ("_half_life", "_rate", "_at")

    def __init__(self, half_life):
        self._half_life = half_life
        self._rate = 0.0
        self._at = None

    def add(self, amount, now):
        """Count an amount at a time."""
        weight = math.log(2) / self._half_life
        self._rate = self.rate(now) + amount * weight
        self._at = now

    def rate(self, now):
        """Return the average at a time."""
        if self._at is None:
            return 0.0
        age = max(0.0, now - self._at) / self._half_life
        rate = self._rate * 0.5**age
        return rate if rate > NEGLIGIBLE else 0.0
