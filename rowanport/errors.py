"""The closed list of error kinds, their answers, and the exceptions."""

import enum

# Outcomes and kinds


class Outcome(enum.Enum):
    """What a caller may conclude about the run of its request."""

    DONE = "done"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class ErrorKind(enum.Enum):
    """Every way in which a request can fail."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_BUDGET = "unknown_budget"
    UNKNOWN_GROUP = "unknown_group"
    KEY_REUSED = "key_reused"
    POLICY_REFUSED = "policy_refused"
    POLICY_FAILED = "policy_failed"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_SPENT = "budget_spent"
    BUDGET_UNAVAILABLE = "budget_unavailable"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    ALREADY_CLAIMED = "already_claimed"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    CRASH_SUSPECTED = "crash_suspected"
    DEADLINE_PASSED = "deadline_passed"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_FAILED = "upstream_failed"
    STOPPING = "stopping"
    CUT_BY_STOP = "cut_by_stop"
    NOT_READY = "not_ready"
    INTERNAL = "internal"


class Answer:
    """How one error kind is answered."""

    __slots__ = ("status", "outcome", "retry", "type")

    def __init__(self, status, outcome, retry, type_):
        self.status = status
        self.outcome = outcome
        self.retry = retry
        self.type = type_


_NOT_RUN = Outcome.NOT_RUN
_MAYBE = Outcome.MAY_HAVE_RUN
_BAD = "invalid_request_error"
_BUSY = "server_error"
_LIMIT = "rate_limit_error"
_QUOTA = "insufficient_quota"

# The one table from kind to answer.  ``retry`` says whether coming back
# later makes sense; the time itself is spread by the caller side.
ANSWERS = {
    ErrorKind.MALFORMED: Answer(400, _NOT_RUN, False, _BAD),
    ErrorKind.TOO_LARGE: Answer(413, _NOT_RUN, False, _BAD),
    ErrorKind.TOO_SLOW: Answer(408, _NOT_RUN, True, _BAD),
    ErrorKind.UNAUTHENTICATED: Answer(
        401, _NOT_RUN, False, "authentication_error"
    ),
    ErrorKind.UNKNOWN_PATH: Answer(404, _NOT_RUN, False, _BAD),
    ErrorKind.UNKNOWN_BUDGET: Answer(404, _NOT_RUN, False, _BAD),
    ErrorKind.UNKNOWN_GROUP: Answer(404, _NOT_RUN, False, _BAD),
    ErrorKind.KEY_REUSED: Answer(422, _NOT_RUN, False, _BAD),
    ErrorKind.POLICY_REFUSED: Answer(403, _NOT_RUN, False, "policy_error"),
    ErrorKind.POLICY_FAILED: Answer(500, _NOT_RUN, True, "policy_error"),
    ErrorKind.BUDGET_EXHAUSTED: Answer(429, _NOT_RUN, True, _QUOTA),
    ErrorKind.BUDGET_SPENT: Answer(402, _NOT_RUN, False, _QUOTA),
    ErrorKind.BUDGET_UNAVAILABLE: Answer(503, _NOT_RUN, True, _BUSY),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, _NOT_RUN, True, _BUSY),
    ErrorKind.ALREADY_CLAIMED: Answer(409, _MAYBE, False, _BAD),
    ErrorKind.RATE_LIMITED: Answer(429, _NOT_RUN, True, _LIMIT),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, True, _BUSY),
    ErrorKind.CRASHES_UPSTREAMS: Answer(400, _NOT_RUN, False, _BAD),
    ErrorKind.CRASH_SUSPECTED: Answer(503, _NOT_RUN, True, _BUSY),
    ErrorKind.DEADLINE_PASSED: Answer(504, _NOT_RUN, False, _BUSY),
    ErrorKind.NO_UPSTREAM: Answer(503, _NOT_RUN, True, _BUSY),
    ErrorKind.UPSTREAM_REFUSED: Answer(503, _NOT_RUN, True, _BUSY),
    ErrorKind.UPSTREAM_FAILED: Answer(502, _MAYBE, True, _BUSY),
    ErrorKind.STOPPING: Answer(503, _NOT_RUN, True, _BUSY),
    ErrorKind.CUT_BY_STOP: Answer(502, _MAYBE, True, _BUSY),
    ErrorKind.NOT_READY: Answer(503, _NOT_RUN, True, _BUSY),
    ErrorKind.INTERNAL: Answer(500, _MAYBE, False, _BUSY),
}


# Exceptions


class RowanportError(Exception):
    """Base of all errors of this package."""


class RequestError(RowanportError):
    """A caller's request cannot be served.

    :param kind: the error kind, which decides the answer
    :param detail: what was wrong, for the caller
    :param outcome: overrides the outcome of the table, for a fault whose
        effect is known better than its kind says
    :param come_back_at: steady time from which on it may be served, if that
        is known
    """

    def __init__(self, kind, detail="", outcome=None, come_back_at=None):
        super().__init__(detail or kind.value)
        self.kind = kind
        self.come_back_at = come_back_at
        self.detail = detail or kind.value.replace("_", " ")
        self.outcome = outcome or ANSWERS[kind].outcome


class CallerDiverted(RequestError):
    """A request is left to another router, which serves it at once."""

    def __init__(self):
        super().__init__(
            ErrorKind.OVERLOADED,
            "network link of the router is full, others have room",
        )


def error_body(error):
    """Return a RequestError in the shape that the API's clients know."""
    return {
        "error": {
            "message": error.detail,
            "type": ANSWERS[error.kind].type,
            "param": None,
            "code": error.kind.value,
        }
    }


class UserError(RowanportError):
    """An operator's command cannot be carried out; printed once."""


class SettingsError(UserError):
    """A settings file has mistakes."""


class ConflictError(UserError):
    """Another operator's change came first."""


class MessageError(RowanportError):
    """Bytes from a peer or the store are not what they should be."""


class StoreError(RowanportError):
    """A store call did not succeed."""


class StoreUnavailable(StoreError):
    """The store did not answer: a write may have taken effect."""


class StoreSilent(StoreUnavailable):
    """The connection to the store went silent; a new one may work."""


class StoreConflict(StoreError):
    """A value has another version: the write took no effect.

    :param values: Value by key as the store has them now, if it told
    """

    def __init__(self, detail="", values=None):
        super().__init__(detail)
        self.values = values or {}


class StoreBusy(StoreError):
    """The store refused the call for its rate: it took no effect."""


class LeaseOver(StoreError):
    """A lease has ended or never was: the call took no effect."""


class FrameTooLong(MessageError):
    """A peer announces a frame that is longer than any may be."""


class PeerError(RowanportError):
    """A peer did not answer: it may have acted on the message."""


class PeerGone(PeerError):
    """A peer's port refused the connection: its process has ended."""


class UpstreamError(RowanportError):
    """A call of an upstream failed.

    :param started: whether the upstream may have started the work
    :ivar path: the Path on which it failed, None if there was none
    """

    def __init__(self, detail, started=True):
        super().__init__(detail)
        self.started = started
        self.path = None


class BoundExceeded(UpstreamError):
    """Bytes that are no answer within its bounds; the connection is closed.

    :ivar bound: name of the bound, for logs and metrics
    :ivar recorded: whether it was counted and logged
    """

    def __init__(self, bound, limit):
        super().__init__(f"{bound} exceeds its bound of {limit}")
        self.bound = bound
        self.recorded = False


class UpstreamRefused(UpstreamError):
    """An upstream turned a request away, and started nothing.

    :param detail: who refused it
    :param leaving: whether the upstream said that it leaves
    :param seconds: for how long it wants no requests of this router, 0 if it
        did not say
    """

    def __init__(self, detail, leaving, seconds):
        super().__init__(detail, started=False)
        self.leaving = leaving
        self.seconds = seconds


class ForeignBytes(UpstreamError):
    """A stream holds bytes that its run did not make.

    :param kind: what they are, for logs and metrics
    :param offset: bytes of the stream before them
    :param data: the bytes, up to the end of their block
    :ivar spoils_last: whether the last event before them, which was passed on,
        may be foreign as well
    """

    def __init__(self, kind, offset, data):
        super().__init__(f"{kind} at byte {offset} of the stream")
        self.kind = kind
        self.offset = offset
        self.data = data
        self.spoils_last = False


class StreamTruncated(UpstreamError):
    """A stream without a length ended within an event."""

    def __init__(self):
        super().__init__("the stream ended within an event")


class ConnectionEnded(UpstreamError):
    """The upstream closed or reset a connection with an answer due on it."""


class EndUnconfirmed(ConnectionEnded):
    """An answer without a length ended, and nothing shows that it is whole."""


class ConnectionRefused(UpstreamError):
    """Nobody listens at the upstream's address."""

    def __init__(self, detail):
        super().__init__(detail, started=False)


class NoConnectionFree(UpstreamError):
    """This router's share of the upstream's connections is in use."""

    def __init__(self, detail):
        super().__init__(detail, started=False)


class UpstreamLeft(UpstreamError):
    """The upstream takes no new work: nothing was sent to it."""

    def __init__(self, detail):
        super().__init__(detail, started=False)


class ConnectionSilent(UpstreamError):
    """The kernel found that nobody is at the other end of a connection."""
