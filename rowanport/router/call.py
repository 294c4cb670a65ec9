"""Parsing and authentication of a caller's request."""

import datetime
import math

from .. import keys
from ..errors import ErrorKind
from ..errors import RequestError
from ..hashing import content_hash
from ..hashing import new_id
from ..hashing import request_id

BEARER = "bearer "
MAX_KEY_LENGTH = 200
# Prefix of idempotency keys that routers generated.  A caller only has such a
# key from an answer, so a request that carries one is never a first attempt.
GENERATED_KEY_PREFIX = "rowanport-"
DEFAULT_BUDGET = "main"


class Call:
    """One request of a caller, authenticated and parsed.

    :ivar organisation: the OrganisationRecord
    :ivar request: request id, the same for all attempts with the same key
    :ivar key: idempotency key, from the caller or generated
    :ivar key_generated: whether this router generated the key, so that this is
        the first attempt
    :ivar budget: budget id
    :ivar deadline: wall time
    :ivar repeatable: whether it may run more than once
    :ivar kind: kind of request that the caller states, for the policy
    :ivar retrying: whether the caller states that this is a retry
    :ivar fingerprint: hash of path and body
    """

    __slots__ = (
        "organisation",
        "request",
        "key",
        "key_generated",
        "budget",
        "deadline",
        "repeatable",
        "kind",
        "retrying",
        "fingerprint",
    )

    @property
    def reuses_generated_key(self):
        """Return whether a router generated its key at an earlier attempt."""
        return (
            self.key.startswith(GENERATED_KEY_PREFIX)
            and not self.key_generated
        )


def read_call(request, snapshot, settings, now):
    """Return the Call of an HttpRequest.

    :param snapshot: the active configuration
    :param settings: CallerSettings
    :param now: wall time
    :raises RequestError: the request is not authenticated or malformed, or its
        deadline has passed
    """
    call = Call()
    call.organisation = authenticate(request, snapshot)
    call.key = request.header("idempotency-key")
    if len(call.key) > MAX_KEY_LENGTH:
        raise RequestError(ErrorKind.MALFORMED, "Idempotency-Key is too long")
    call.key_generated = not call.key
    if call.key_generated:
        call.key = GENERATED_KEY_PREFIX + new_id() + new_id()
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
    """Return the OrganisationRecord whose API key a request carries.

    :raises RequestError: no organisation has this key
    """
    header = request.header("authorization")
    key = header[len(BEARER) :].strip()
    record = snapshot.organisations.get(keys.organisation_of(key))
    has_scheme = header.lower().startswith(BEARER)
    if not has_scheme or record is None or not keys.matches(record, key):
        raise RequestError(
            ErrorKind.UNAUTHENTICATED, "missing or unknown API key"
        )
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
        raise RequestError(
            ErrorKind.DEADLINE_PASSED, "the deadline has passed"
        )
    return min(deadline, now + settings.longest_deadline)


def _read_repeatable(request):
    text = request.header("rowanport-repeatable", "yes").lower()
    if text not in ("yes", "no"):
        raise RequestError(
            ErrorKind.MALFORMED, "Rowanport-Repeatable must be yes or no"
        )
    return text == "yes"
