"""Keeps engines apart that read long prompts and that run short streams.

An engine reads a prompt in pieces between the tokens of its streams, so one
long prompt holds up every stream beside it for as long as it is read.  Where
both kinds come all the time, a part of the engines reads the long ones, and
the others run what has to come evenly.

Load pattern: long prompts with short answers and short prompts with long
answers, mixed.  In a model of six engines with it, 20 in 100 short prompts
came late without the split and 5 with it (test_engine_load.py).
"""

import math

from ..hashing import rendezvous
from ..rates import DecayingRate

# Half life in seconds of the two demands, and the time over which the first
# requests are spread: a single long prompt must not move an engine.
HALF_LIFE = 20.0
LEAST_AGE = 5.0
# A prompt is long if it is read for more than this part of the pause that a
# stream may have: the next ones then add up to more than the whole of it.
LONG_SHARE = 0.3
# Engines by which the wanted number of long readers may differ from the one in
# force, down and up.  One too few for short prompts costs more than one too
# few for long ones: it is then full of reading.
STAY_BELOW = 0.1
STAY_ABOVE = 1.3
# Usual pauses of an engine against the fleet's from which on it counts as
# slow: the fast ones differ by a few in 100 with what runs there.
SLOW_FACTOR = 1.15
# Share of pauses that are shorter than the usual one, and how far one pause
# moves it: the short ones are those while nothing is read.
USUAL_SHARE = 0.2
USUAL_STEP = 0.05
# Part of their slots that engines for short prompts fill on average: streams
# come unevenly, and one without a slot waits for another one's end.
FULL_SHARE = 0.9
# Weight of what runs now in the usual number of running streams.
NEWEST_WEIGHT = 0.05


class Pace:
    """The usual pause of an engine's streams while it reads nothing.

    :ivar seconds: a low quantile of the pauses seen, 0 before the first one
    """

    __slots__ = ("seconds",)

    def __init__(self):
        self.seconds = 0.0

    def note(self, pause):
        """Take in a pause in seconds between two events."""
        if not self.seconds:
            self.seconds = pause
        elif pause > self.seconds:
            self.seconds *= 1 + USUAL_STEP * USUAL_SHARE
        else:
            self.seconds *= 1 - USUAL_STEP * (1 - USUAL_SHARE)


class Split:
    """Which engines of a service read long prompts.

    Routers that see the same kinds of requests agree on it without a word:
    the order of the engines is the same at all of them.
    """

    def __init__(self):
        self._long = DecayingRate(HALF_LIFE, LEAST_AGE)
        self._short = DecayingRate(HALF_LIFE, LEAST_AGE)
        self._running = None
        self._readers = None

    @staticmethod
    def is_long(tokens, rate, pause):
        """Return whether a prompt holds up streams.

        :param tokens: prompt tokens
        :param rate: prompt tokens that engines usually read a second
        :param pause: longest pause in seconds that streams may have
        """
        return tokens / rate > LONG_SHARE * pause

    def note(self, is_long, tokens, now):
        """Count the tokens that engines have to read of a prompt."""
        demand = self._long if is_long else self._short
        demand.add(tokens, now)

    def note_running(self, slots):
        """Count the slots of engines that short streams take in the fleet."""
        if self._running is None:
            self._running = slots
        self._running += NEWEST_WEIGHT * (slots - self._running)

    def readers(self, engines, slots, now):
        """Return the ids of the engines that read long prompts.

        :param engines: Pace by id of each engine
        :param slots: streams that an engine runs at once
        :returns: None while there is no mixture, or a single engine
        """
        long, short = self._long.rate(now), self._short.rate(now)
        if len(engines) < 2 or not long or not short:
            return None
        filled = (self._running or 0) / (FULL_SHARE * slots)
        share = len(engines) * long / (long + short)
        self._settle(min(share, len(engines) - filled))
        count = min(len(engines) - 1, max(1, self._readers))
        return set(self._order(engines)[:count])

    def _settle(self, wanted):
        """Follow the wanted number of readers, not each move of it."""
        least = self._readers
        if least is None or not (
            least - STAY_BELOW < wanted < least + STAY_ABOVE
        ):
            self._readers = math.floor(wanted)

    @staticmethod
    def _order(engines):
        """Return the ids of engines, slow ones last: they hold up longest."""
        known = sorted(p.seconds for p in engines.values() if p.seconds)
        usual = known[(len(known) - 1) // 2] if known else 0.0
        order = rendezvous("long prompts", engines)
        order.sort(key=lambda n: engines[n].seconds > SLOW_FACTOR * usual)
        return order
