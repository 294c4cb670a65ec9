"""Answers that are remembered, so that a repeated message acts once."""


class ReplyCache:
    """What a router answered lately.

    :param clock: a Clock
    :param seconds: how long an answer is remembered; whoever repeats a
        message must have ended by then
    """

    def __init__(self, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        self._known = {}

    def handle_once(self, key, handler, message):
        """Act on a message once, and give the same answer to repeats.

        :param key: what all repeats have in common
        :param handler: function from the message to its answer
        """
        now = self._clock.steady()
        self._forget(now)
        known = self._known.get(key)
        if known is not None:
            return known[0]
        answer = handler(message)
        self._known[key] = (answer, now + self._seconds)
        return answer

    def _forget(self, now):
        while self._known:
            oldest = next(iter(self._known))
            if self._known[oldest][1] > now:
                return
            del self._known[oldest]
