"""Answers requests that are not served, and says when to come back."""

import random

from ..errors import ANSWERS
from ..errors import error_body
from ..errors import ErrorKind
from ..errors import Outcome
from ..errors import RequestError

# Times to come back in seconds where none is known better, and the spread
# that keeps callers from coming back together: short against the seconds
# that a caller has left.
RETRY_AFTER = 0.1
RETRY_SPREAD = 0.3
# Part of the time that a caller has left after which it is told to come back
# at the latest, so that it still can be served then.
RETURN_SHARE = 0.5


class Refusals:
    """Sends RequestErrors to callers.

    :param clock: a Clock
    """

    def __init__(self, clock):
        self._clock = clock

    async def send(self, responder, error, headers=(), job=None):
        """Answer with a RequestError, and when to come back.

        :param headers: more headers, as (name, value) pairs
        :param job: the Job, whose caller has to be back in time, or None
        """
        answer = ANSWERS[error.kind]
        headers = list(headers)
        if answer.retry and error.outcome is Outcome.NOT_RUN:
            seconds = self._retry_seconds(error, job)
            headers.append(("Retry-After", f"{seconds:.3f}"))
        await responder.reply_json(answer.status, error_body(error), headers)

    def _retry_seconds(self, error, job):
        now = self._clock.steady()
        seconds = RETRY_AFTER
        if error.come_back_at is not None:
            seconds = max(seconds, error.come_back_at - now)
        seconds += random.uniform(0, RETRY_SPREAD)
        if job is not None:
            seconds = min(seconds, RETURN_SHARE * (job.caller_deadline - now))
        return max(0.0, seconds)


def timeout_error(job):
    """Return the RequestError of a job whose time is over."""
    if job.runs:
        return RequestError(ErrorKind.DEADLINE_PASSED, "the time is over")
    return RequestError(ErrorKind.OVERLOADED, "not started in time")
