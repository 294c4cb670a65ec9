"""Rate and concurrency limits of organisations, and the retry budget."""

from ..errors import ErrorKind
from ..errors import RequestError

# Seconds of its rate that an organisation may send at once.
RATE_BURST_SECONDS = 2.0
# Maximum number of unused retries that are kept, and their initial number.
MAX_RETRY_CREDIT = 10.0


class _Usage:
    """Running requests and token bucket of one organisation.

    :ivar running: number of running requests
    :ivar tokens: requests that the rate limit allows at once
    :ivar refilled_at: time at which the bucket was last refilled
    """

    __slots__ = ("running", "tokens", "refilled_at")

    def __init__(self, tokens, refilled_at):
        self.running = 0
        self.tokens = tokens
        self.refilled_at = refilled_at


class OrganisationLimits:
    """Limits concurrency and rate of each organisation on one router."""

    def __init__(self):
        self._usages = {}

    def acquire(self, organisation, now):
        """Admit a request.

        :param organisation: an OrganisationRecord; a limit of 0 is no limit
        :param now: monotonic time
        :raises RequestError: a limit of the organisation is reached
        """
        burst = max(1.0, organisation.rate * RATE_BURST_SECONDS)
        usage = self._usages.get(organisation.name)
        if usage is None:
            usage = self._usages[organisation.name] = _Usage(burst, now)
        if 0 < organisation.concurrency <= usage.running:
            raise RequestError(
                ErrorKind.RATE_LIMITED, "too many concurrent requests"
            )
        if organisation.rate > 0:
            usage.tokens += (
                max(0.0, now - usage.refilled_at) * organisation.rate
            )
            usage.tokens = min(burst, usage.tokens)
            usage.refilled_at = now
            if usage.tokens < 1.0:
                raise RequestError(
                    ErrorKind.RATE_LIMITED, "too many requests per second"
                )
            usage.tokens -= 1.0
        usage.running += 1

    def release(self, organisation):
        """Record the end of an admitted request."""
        usage = self._usages[organisation.name]
        usage.running -= 1


class RetryBudget:
    """Allows retries in proportion to requests.

    :param ratio: retries allowed for each request
    """

    def __init__(self, ratio):
        self._ratio = ratio
        self._credit = MAX_RETRY_CREDIT

    def record_request(self):
        """Credit the retries that a first attempt adds."""
        self._credit = min(MAX_RETRY_CREDIT, self._credit + self._ratio)

    @property
    def allows_retry(self):
        """Return whether one retry is allowed now."""
        return self._credit >= 1.0

    def acquire(self):
        """Spend one retry; return False if none is allowed."""
        if not self.allows_retry:
            return False
        self._credit -= 1.0
        return True
