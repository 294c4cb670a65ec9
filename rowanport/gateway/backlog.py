"""Estimates the prompt tokens that an engine still has to read."""

# Prompt tokens per second that an engine is assumed to read until its rate
# has been measured.
DEFAULT_RATE = 50000.0
# Bounds of the estimated rate: some engines are several times slower than the
# default, and a cached prompt appears to be read faster than any engine reads.
MIN_RATE = DEFAULT_RATE / 8
MAX_RATE = DEFAULT_RATE * 1.5
# Weight of a new measurement in the moving average of the rate.
SMOOTHING = 0.3
# Smallest share of the tokens ahead that an engine had to read for sure, for a
# first event to count as a sample of the fleet.  The others are prompts that
# may be cached, unknown to this router, and the estimated backlog; with them,
# engines looked up to ten times as fast as they were.
MIN_CERTAIN_SHARE = 0.6
# The lag covers work of an engine that this router learns of late or never:
# short prompts, streams that occupy its slots, prompts sent before this router
# started.  It is estimated from first events that are later than expected, as
# a moving average with this weight for a new sample, which decays with this
# half-life in seconds.  The lag is used to reject requests, not to choose an
# engine.  In a simulation with too few engines it raised the credit earned
# from .45 to .49 of what was asked for (eight seeds, standard error .02).
LAG_SMOOTHING = 0.5
LAG_HALF_LIFE = 2.0
# Seconds until the first event that do not count as lag: one step of an idle
# engine.
IDLE_STEP_SECONDS = 0.1
# With fewer tokens to read a send does not update the rate: reading them takes
# less time than one step of the engine.
MIN_MEASURED_TOKENS = 2000


class Backlog:
    """Estimate of the prompt tokens that an engine has not read yet.

    It grows with each known send of this router and its peers, and shrinks at
    the measured read rate of the engine.

    :ivar speed: the EngineSpeed that the fleet learns, None in small fleets,
        where the rate is this router's own estimate
    :ivar speeds: the EngineSpeeds to which first events are reported, or None
    """

    __slots__ = (
        "speed",
        "speeds",
        "_total",
        "_tokens",
        "_at",
        "_rate",
        "_lag",
        "_lag_at",
    )

    def __init__(self):
        self.speed = None
        self.speeds = None
        self._total = 0.0
        self._tokens = 0.0
        self._at = 0.0
        self._rate = DEFAULT_RATE
        self._lag = 0.0
        self._lag_at = 0.0

    @property
    def rate(self):
        """Return the estimated read rate in prompt tokens per second."""
        return self._rate if self.speed is None else self.speed.rate

    @property
    def total(self):
        """Return the prompt tokens of all known sends."""
        return self._total

    @property
    def fixed(self):
        """Return the seconds to a first event besides those of reading."""
        return 0.0 if self.speed is None else self.speed.fixed

    def tokens(self, now):
        """Return the prompt tokens still to be read.

        :param now: monotonic time in seconds
        """
        if not self._tokens:
            return 0.0
        read = self.rate * max(0.0, now - self._at)
        return max(0.0, self._tokens - read)

    def lag(self, now):
        """Return by how many seconds recent first events were late.

        :param now: monotonic time in seconds
        """
        if not self._lag:
            return 0.0
        age = max(0.0, now - self._lag_at)
        return self._lag * 0.5 ** (age / LAG_HALF_LIFE)

    def add(self, tokens, now):
        """Add the prompt tokens of a send.

        :param now: monotonic time in seconds
        :returns: prompt tokens still to be read, those of the send included
        """
        self._total += tokens
        self._tokens = self.tokens(now) + tokens
        self._at = now
        return self._tokens

    def record_first_event(
        self, tokens, seconds, now, certain=None, total=None
    ):
        """Update the lag and the rate when a first event arrives.

        :param tokens: prompt tokens still to be read at the send, as returned
            by :meth:`add`
        :param seconds: time from the send to its first event
        :param now: monotonic time in seconds
        :param certain: those of the tokens that the engine had to read for
            sure, None for all
        :param total: value of ``total`` after the send, None if not known
        """
        idle = max(self.fixed, IDLE_STEP_SECONDS)
        late = max(0.0, seconds - tokens / self.rate - idle)
        lag = self.lag(now)
        self._lag = lag + LAG_SMOOTHING * (late - lag)
        self._lag_at = now
        if self.speed is None:
            self.update_rate(tokens, seconds)
            return
        if certain is None or certain >= MIN_CERTAIN_SHARE * tokens:
            self.speeds.record(self.speed, tokens, seconds, now)
        if total is not None:
            # All that was ahead of the event is read by now.
            since = self._total - total
            self._tokens = min(self.tokens(now), since)
            self._at = now

    def update_rate(self, tokens, seconds):
        """Update the estimated rate when a first event arrives.

        :param tokens: prompt tokens still to be read at the send
        :param seconds: time from the send to its first event
        """
        if tokens < MIN_MEASURED_TOKENS or seconds <= 0:
            return
        rate = min(MAX_RATE, max(MIN_RATE, tokens / seconds))
        self._rate += SMOOTHING * (rate - self._rate)
