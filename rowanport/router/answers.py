"""Answers to callers: headers, errors and retry times."""

import math
import random

from ..errors import ANSWERS
from ..errors import error_body
from ..errors import ErrorKind

OUTCOME = "Rowanport-Outcome"
REQUEST = "Rowanport-Request"
KEY = "Idempotency-Key"
_RANDOM = random.SystemRandom()


def answer_headers(call, outcome):
    """Return the headers that every answer carries.

    :param call: the Call, or None if the request could not be read
    :param outcome: the Outcome of the request
    """
    headers = [(OUTCOME, outcome.value)]
    headers.append((REQUEST, call.request if call else "none"))
    if call is not None:
        headers.append((KEY, call.key))
    return headers


def retry_after_seconds(least, wait=0.0):
    """Return whole seconds for Retry-After, with jitter.

    The jitter keeps refused callers from all retrying at once.

    :param least: minimum in seconds
    :param wait: seconds before which a retry is known to be in vain
    :returns: the longer of both, and up to twice the minimum more
    """
    jitter = 2 * least * _RANDOM.random()
    return max(1, math.ceil(max(least, wait) + jitter))


async def send_error(responder, call, error, least, wait=0.0):
    """Answer a request with a RequestError.

    :param call: the Call, or None if the request could not be read
    :param least: minimum time until a retry in seconds
    :param wait: seconds before which a retry is known to be in vain
    """
    answer = ANSWERS[error.kind]
    headers = answer_headers(call, error.outcome)
    if answer.retry:
        headers.append(("Retry-After", str(retry_after_seconds(least, wait))))
    else:
        headers.append(("x-should-retry", "false"))
    if error.kind in (ErrorKind.TOO_LARGE, ErrorKind.TOO_SLOW):
        # The rest of the body will not be read.
        headers.append(("Connection", "close"))
    await responder.reply_json(answer.status, error_body(error), headers)
