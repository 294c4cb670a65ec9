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
    """

    __slots__ = ("_tokens", "_at", "_rate", "_lag", "_lag_at")

    def __init__(self):
        self._tokens = 0.0
        self._at = 0.0
        self._rate = DEFAULT_RATE
        self._lag = 0.0
        self._lag_at = 0.0

    @property
    def rate(self):
        """Return the estimated read rate in prompt tokens per second."""
        return self._rate

    def tokens(self, now):
        """Return the prompt tokens still to be read.

        :param now: monotonic time in seconds
        """
        read = self._rate * max(0.0, now - self._at)
        return max(0.0, self._tokens - read)

    def lag(self, now):
        """Return by how many seconds recent first events were late.

        :param now: monotonic time in seconds
        """
        age = max(0.0, now - self._lag_at)
        return self._lag * 0.5 ** (age / LAG_HALF_LIFE)

    def add(self, tokens, now):
        """Add the prompt tokens of a send.

        :param now: monotonic time in seconds
        :returns: prompt tokens still to be read, those of the send included
        """
        self._tokens = self.tokens(now) + tokens
        self._at = now
        return self._tokens

    def record_first_event(self, tokens, seconds, now):
        """Update the lag and the rate when a first event arrives.

        :param tokens: prompt tokens still to be read at the send, as returned
            by :meth:`add`
        :param seconds: time from the send to its first event
        :param now: monotonic time in seconds
        """
        late = max(0.0, seconds - tokens / self._rate - IDLE_STEP_SECONDS)
        lag = self.lag(now)
        self._lag = lag + LAG_SMOOTHING * (late - lag)
        self._lag_at = now
        self.update_rate(tokens, seconds)

    def update_rate(self, tokens, seconds):
        """Update the estimated rate when a first event arrives.

        :param tokens: prompt tokens still to be read at the send
        :param seconds: time from the send to its first event
        """
        if tokens < MIN_MEASURED_TOKENS or seconds <= 0:
            return
        rate = min(MAX_RATE, max(MIN_RATE, tokens / seconds))
        self._rate += SMOOTHING * (rate - self._rate)
