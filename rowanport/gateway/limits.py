"""Keeps the rate limits that upstreams name."""

import structlog

from ..errors import MessageError
from ..ratelimits import NamedLimits
from ..ratelimits import read_limit

LOG = structlog.get_logger(__name__)


class RateLimits:
    """The rate limits of all upstreams.

    :param clock: a Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._named = NamedLimits()
        self._unreadable = {}

    def note_answer(self, run, text):
        """Take in what an upstream's answer says of its limit.

        :param run: the UpstreamRun
        :param text: the limit that it names, None if it names none
        """
        rate = None
        if text is not None:
            try:
                rate = read_limit(text)
            except MessageError as error:
                return self._note_unreadable(run, text, error)
        now = self._clock.steady()
        if self._named.note(run.name, rate, now, now):
            LOG.info("upstream_limit", upstream=run.name, rate=rate)

    def _note_unreadable(self, run, text, error):
        """Log once what an upstream says instead of a limit."""
        if self._unreadable.get(run.name) != text:
            self._unreadable[run.name] = text
            LOG.warning(
                "upstream_limit_unreadable",
                upstream=run.name,
                error=str(error),
            )

    def keep(self, names):
        """Forget all upstreams but some.

        :param names: names of upstreams' runs
        """
        self._named.keep(names)
        self._unreadable = {
            name: text
            for name, text in self._unreadable.items()
            if name in names
        }
