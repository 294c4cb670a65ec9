"""Answers requests that are not served, with a time to retry."""

import random

from ..errors import ANSWERS
from ..errors import CallerDiverted
from ..errors import error_body
from ..errors import ErrorKind
from ..errors import Outcome
from ..errors import RequestError

# Default retry time in seconds, and the random jitter that keeps callers from
# retrying at the same time: both are short compared to the seconds until their
# deadlines.
RETRY_AFTER = 0.1
RETRY_JITTER = 0.3
# The jitter in seconds of callers that another router serves at once.
DIVERTED_JITTER = 0.02
# Upper bound of the retry time, as a share of the time until the caller's
# deadline, so that the retry can still be served.
MAX_RETRY_SHARE = 0.5
# The same in a large fleet, where callers have many routers to try and come
# back only if they wait for no more than a third.
LARGE_FLEET_RETRY_SHARE = 0.33


class Refusals:
    """Sends RequestErrors to callers.

    :param clock: a Clock
    :param is_large_fleet: function that returns whether the fleet is large
    """

    def __init__(self, clock, is_large_fleet=lambda: False):
        self._clock = clock
        self._is_large_fleet = is_large_fleet

    async def send(self, responder, error, headers=(), job=None):
        """Send the answer of a RequestError, with a Retry-After header.

        The header is only sent for retryable errors of requests that did not
        run.

        :param responder: the Responder of the caller
        :param error: the RequestError
        :param headers: further headers, as (name, value) pairs
        :param job: Job whose deadline bounds the retry time, or None
        """
        answer = ANSWERS[error.kind]
        headers = list(headers)
        if answer.retry and error.outcome is Outcome.NOT_RUN:
            seconds = self._retry_seconds(error, job)
            headers.append(("Retry-After", f"{seconds:.3f}"))
        await responder.reply_json(answer.status, error_body(error), headers)

    def _retry_seconds(self, error, job):
        if isinstance(error, CallerDiverted):
            return random.uniform(0, DIVERTED_JITTER)
        now = self._clock.steady()
        seconds = RETRY_AFTER
        if error.come_back_at is not None:
            seconds = max(seconds, error.come_back_at - now)
        seconds += random.uniform(0, RETRY_JITTER)
        if job is not None:
            share = MAX_RETRY_SHARE
            if self._is_large_fleet():
                share = LARGE_FLEET_RETRY_SHARE
            seconds = min(seconds, share * (job.caller_deadline - now))
        return max(0.0, seconds)


def timeout_error(job):
    """Return the RequestError of a job whose deadline has passed."""
    if job.runs:
        return RequestError(ErrorKind.DEADLINE_PASSED, "deadline exceeded")
    return RequestError(
        ErrorKind.OVERLOADED, "not started before the deadline"
    )
