"""What an engine still has to read, as one router estimates it."""

# Prompt tokens that an engine reads a second, before its rate is known.
DEFAULT_RATE = 50000.0
# Bounds of an engine's rate as multiples of the default: some are several
# times slower, and a cached prompt seems to be read faster than any reads.
MIN_RATE = DEFAULT_RATE / 8
MAX_RATE = DEFAULT_RATE * 1.5
# Weight of a new measurement of the rate.
SMOOTHING = 0.3
# What an engine has to do besides is heard of late, if at all: short prompts,
# streams that hold its slots, what a router that just started did not see.
# First events that come late tell of it: weight of a new one, and seconds
# after which what was seen counts half.  Requests are turned away by it, not
# placed.  In a model with too few engines, what was earned of what was asked
# for rose from .45 to .49 (eight seeds, standard error .02).
LAG_SMOOTHING = 0.5
LAG_HALF_LIFE = 2.0
# Seconds of a first event that are no lag: a step of an idle engine.
IDLE_STEP_SECONDS = 0.1
# Smaller sends are no measure of the rate: a step of the engine takes longer.
MIN_MEASURED_TOKENS = 2000


class Backlog:
    """Prompt tokens that an engine has not read yet.

    It grows by each send that is known of, this router's and its peers', and
    shrinks at the rate at which the engine was seen to read.
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
        """Return the prompt tokens that the engine reads a second."""
        return self._rate

    def tokens(self, now):
        """Return the prompt tokens still to be read at a steady time."""
        read = self._rate * max(0.0, now - self._at)
        return max(0.0, self._tokens - read)

    def lag(self, now):
        """Return by how many seconds first events came late of late."""
        age = max(0.0, now - self._lag_at)
        return self._lag * 0.5 ** (age / LAG_HALF_LIFE)

    def add(self, tokens, now):
        """Count a send; return what is still to be read with it."""
        self._tokens = self.tokens(now) + tokens
        self._at = now
        return self._tokens

    def record_first_event(self, tokens, seconds, now):
        """Learn from a send whose first event came.

        :param tokens: what was to be read with it, as :meth:`add` returned
        :param seconds: from the send to its first event
        :param now: steady time
        """
        late = max(0.0, seconds - tokens / self._rate - IDLE_STEP_SECONDS)
        lag = self.lag(now)
        self._lag = lag + LAG_SMOOTHING * (late - lag)
        self._lag_at = now
        self.update_rate(tokens, seconds)

    def update_rate(self, tokens, seconds):
        """Learn the rate from a send whose first event came.

        :param tokens: what was to be read with it
        :param seconds: from the send to its first event
        """
        if tokens < MIN_MEASURED_TOKENS or seconds <= 0:
            return
        rate = min(MAX_RATE, max(MIN_RATE, tokens / seconds))
        self._rate += SMOOTHING * (rate - self._rate)
