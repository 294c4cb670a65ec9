"""Remembers replies, so that a repeated message takes effect only once."""


class ReplyCache:
    """A router's recent replies by key.

    :param clock: a Clock
    :param seconds: how long a reply is remembered; senders must stop repeating
        a message before that
    """

    def __init__(self, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        self._known = {}

    def handle_once(self, key, handler, message):
        """Handle a message once, and return the same reply for repeats.

        :param key: identifies the message and its repeats
        :param handler: function that returns the reply to a message
        """
        now = self._clock.steady()
        self._expire(now)
        known = self._known.get(key)
        if known is not None:
            return known[0]
        answer = handler(message)
        self._known[key] = (answer, now + self._seconds)
        return answer

    def _expire(self, now):
        while self._known:
            oldest = next(iter(self._known))
            if self._known[oldest][1] > now:
                return
            del self._known[oldest]
