"""How callers are answered: headers, errors, times to come back."""

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
    """Return the headers that each answer carries.

    :param call: the Call, or None if it could not be read
    """
    headers = [(OUTCOME, outcome.value)]
    headers.append((REQUEST, call.request if call else "none"))
    if call is not None:
        headers.append((KEY, call.key))
    return headers


def retry_seconds(least):
    """Return a time to come back, spread so that not all do so at once.

    :param least: shortest time in seconds
    """
    return max(1, math.ceil(least * (1 + 2 * _RANDOM.random())))


async def send_error(responder, call, error, least):
    """Answer with a RequestError.

    :param least: shortest time to come back in seconds
    """
    answer = ANSWERS[error.kind]
    headers = answer_headers(call, error.outcome)
    if answer.retry:
        headers.append(("Retry-After", str(retry_seconds(least))))
    else:
        headers.append(("x-should-retry", "false"))
    if error.kind in (ErrorKind.TOO_LARGE, ErrorKind.TOO_SLOW):
        # The rest of the body will not be read.
        headers.append(("Connection", "close"))
    await responder.reply_json(answer.status, error_body(error), headers)
