"""How many bytes the answers of each route have, and how long they take."""

from ..diversion.link_use import HORIZON

# Weight of each answer in the means of its route.
WEIGHT = 0.05


class _Answers:
    """Mean bytes and seconds of the answers of a route."""

    __slots__ = ("size", "seconds")

    def __init__(self, size, seconds):
        self.size = size
        self.seconds = seconds


class AnswerSizes:
    """Estimates what an answer will have passed on the link soon."""

    def __init__(self):
        self._routes = {}

    def record(self, route, size, seconds):
        """Count a complete answer.

        :param seconds: time from the request to its end
        """
        answers = self._routes.get(route)
        if answers is None:
            self._routes[route] = _Answers(size, seconds)
            return
        answers.size += WEIGHT * (size - answers.size)
        answers.seconds += WEIGHT * (seconds - answers.seconds)

    def expected(self, route):
        """Return the bytes of an answer that pass within the HORIZON.

        A long stream passes a small part of its bytes in that time.
        """
        answers = self._routes.get(route)
        if answers is None:
            return 0.0
        part = min(1.0, HORIZON / max(HORIZON, answers.seconds))
        return answers.size * part
