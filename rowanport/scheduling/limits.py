"""Limits of each organisation, and of retries."""

from ..errors import ErrorKind
from ..errors import RequestError

RATE_BURST = 2.0
RETRY_SAVED = 10.0


class _Usage:
    """What one organisation uses now."""

    __slots__ = ("running", "tokens", "at")

    def __init__(self, tokens, at):
        self.running = 0
        self.tokens = tokens
        self.at = at


class OrganisationLimits:
    """Bounds concurrency and rate of each organisation on one router."""

    def __init__(self):
        self._usages = {}

    def enter(self, organisation, now):
        """Count a request in.

        :param organisation: an OrganisationRecord; limits of 0 are none
        :raises RequestError: the organisation is at a limit
        """
        burst = max(1.0, organisation.rate * RATE_BURST)
        usage = self._usages.get(organisation.name)
        if usage is None:
            usage = self._usages[organisation.name] = _Usage(burst, now)
        if 0 < organisation.concurrency <= usage.running:
            raise RequestError(
                ErrorKind.RATE_LIMITED, "too many requests at once"
            )
        if organisation.rate > 0:
            usage.tokens += max(0.0, now - usage.at) * organisation.rate
            usage.tokens = min(burst, usage.tokens)
            usage.at = now
            if usage.tokens < 1.0:
                raise RequestError(
                    ErrorKind.RATE_LIMITED, "too many requests a second"
                )
            usage.tokens -= 1.0
        usage.running += 1

    def leave(self, organisation):
        """Count a request out."""
        usage = self._usages[organisation.name]
        usage.running -= 1


class RetryBudget:
    """Allows retries in proportion to requests.

    :param ratio: retries for each request
    """

    def __init__(self, ratio):
        self._ratio = ratio
        self._saved = RETRY_SAVED

    def request(self):
        """Count a first try."""
        self._saved = min(RETRY_SAVED, self._saved + self._ratio)

    @property
    def allows(self):
        """Return whether one retry may be made."""
        return self._saved >= 1.0

    def retry(self):
        """Return whether one retry may be made, and count it."""
        if not self.allows:
            return False
        self._saved -= 1.0
        return True
