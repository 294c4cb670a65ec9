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
        self._replies = {}

    def handle_once(self, key, handler, message):
        """Handle a message once, and return the same reply for repeats.

        :param key: identifies the message and its repeats
        :param handler: function that returns the reply to a message
        """
        now = self._clock.steady()
        self._expire(now)
        cached = self._replies.get(key)
        if cached is not None:
            return cached[0]
        reply = handler(message)
        self._replies[key] = (reply, now + self._seconds)
        return reply

    def _expire(self, now):
        while self._replies:
            oldest = next(iter(self._replies))
            if self._replies[oldest][1] > now:
                return
            del self._replies[oldest]
