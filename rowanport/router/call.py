"""A caller's request: who asks, for what, until when."""

import datetime
import math

from .. import keys
from ..errors import ErrorKind
from ..errors import RequestError
from ..hashing import content_hash
from ..hashing import new_id
from ..hashing import request_id

BEARER = "bearer "
KEY_LIMIT = 200
# Keys that routers made. A request with such a key is never a first try.
MADE_KEY = "rowanport-"
DEFAULT_BUDGET = "main"


class Call:
    """One request of a caller, authenticated and read.

    :ivar organisation: the OrganisationRecord
    :ivar request: request id, the same for each try with the same key
    :ivar key: the caller's key, or the one made here
    :ivar key_made: whether the key was made here, so this is the first try
    :ivar budget: budget id
    :ivar deadline: wall time
    :ivar repeatable: whether it may run more than once
    :ivar kind: what the caller calls it, for the policy
    :ivar retrying: whether the caller says that it tried before
    :ivar fingerprint: hash of what is asked
    """

    __slots__ = (
        "organisation",
        "request",
        "key",
        "key_made",
        "budget",
        "deadline",
        "repeatable",
        "kind",
        "retrying",
        "fingerprint",
    )

    @property
    def made_elsewhere(self):
        """Return whether its key was made by a router at an earlier try."""
        return self.key.startswith(MADE_KEY) and not self.key_made


def read_call(request, snapshot, settings, now):
    """Return the Call in an HttpRequest.

    :param snapshot: the configuration in force
    :param settings: CallerSettings
    :raises RequestError: it is not authenticated or malformed
    """
    call = Call()
    call.organisation = authenticate(request, snapshot)
    call.key = request.header("idempotency-key")
    if len(call.key) > KEY_LIMIT:
        raise RequestError(ErrorKind.MALFORMED, "Idempotency-Key is too long")
    call.key_made = not call.key
    if call.key_made:
        call.key = MADE_KEY + new_id() + new_id()
    name = call.organisation.name
    call.request = request_id(name, call.key)
    budget = request.header("rowanport-budget", DEFAULT_BUDGET)
    call.budget = f"{name}/{budget}"
    call.deadline = _read_deadline(request, settings, now)
    call.repeatable = _read_repeatable(request)
    call.kind = request.header("rowanport-kind")
    retries = request.header("x-stainless-retry-count", "0")
    call.retrying = retries != "0" or bool(request.header("rowanport-retry"))
    path = request.path.encode()
    call.fingerprint = content_hash(path + b"\0" + request.body)
    return call


def authenticate(request, snapshot):
    """Return the OrganisationRecord whose key a request carries."""
    header = request.header("authorization")
    key = header[len(BEARER) :].strip()
    record = snapshot.organisations.get(keys.organisation_of(key))
    named = header.lower().startswith(BEARER)
    if not named or record is None or not keys.matches(record, key):
        raise RequestError(ErrorKind.UNAUTHENTICATED, "unknown key")
    return record


def _read_deadline(request, settings, now):
    text = request.header("rowanport-deadline")
    if not text:
        return now + settings.default_deadline
    try:
        parsed = datetime.datetime.fromisoformat(text)
        deadline = parsed.timestamp()
    except ValueError:
        parsed = None
    if parsed is None or parsed.tzinfo is None or not math.isfinite(deadline):
        raise RequestError(
            ErrorKind.MALFORMED, "Rowanport-Deadline is not an RFC 3339 time"
        )
    if deadline <= now:
        raise RequestError(ErrorKind.DEADLINE_PASSED, "the deadline is over")
    return min(deadline, now + settings.longest_deadline)


def _read_repeatable(request):
    text = request.header("rowanport-repeatable", "yes").lower()
    if text not in ("yes", "no"):
        raise RequestError(
            ErrorKind.MALFORMED, "Rowanport-Repeatable is yes or no"
        )
    return text == "yes"
