"""The stored record of a claim shard, and the queue of changes to it.

A claim is granted only once it is known to be in the store.  Each operation
is idempotent by request and run, so after a lost answer the write is repeated
on the record as the store has it then.
"""

from ..errors import ErrorKind
from ..schema.messages import Claimed
from ..schema.messages import ClaimEntry
from ..schema.messages import ClaimShardRecord
from ..schema.messages import Refused

CLAIMED = "claimed"
DONE = "done"
RELEASED = "released"


def new_claim_shard():
    """Return an empty claim shard."""
    return ClaimShardRecord({})


def apply_claim(record, message):
    """Add a claim unless the request has one; return the Claimed answer.

    The answer names the run that holds the claim.
    """
    known = record.claims.get(message.request)
    if known is None:
        known = ClaimEntry(
            message.run,
            message.upstream,
            CLAIMED,
            message.fingerprint,
            message.expiry,
        )
        record.claims[message.request] = known
    return Claimed(known.run, known.upstream, known.state, known.fingerprint)


def apply_end(record, message):
    """Record how a claimed run ended; ends of other runs are ignored."""
    known = record.claims.get(message.request)
    if known is None or known.run != message.run:
        return
    if message.state == RELEASED:
        del record.claims[message.request]
    else:
        known.state = message.state


def prune(record, now):
    """Remove claims that have expired."""
    for request, claim in list(record.claims.items()):
        if claim.expiry < now:
            del record.claims[request]


class ClaimQueue:
    """Queues claims and their ends, to be written together."""

    def __init__(self):
        self._waiting = {}
        self._ends = {}
        self._claims_in_flight = ()
        self._ends_in_flight = {}

    @property
    def waiting(self):
        """Return whether a claim waits to be written."""
        return bool(self._waiting)

    @property
    def dirty(self):
        """Return whether anything is queued."""
        return bool(self._waiting or self._ends)

    def claim(self, message):
        """Queue a Claim."""
        self._waiting[message.run] = message

    def end(self, message):
        """Queue a ClaimEnd; drop the run's claim if it is still queued."""
        self._waiting.pop(message.run, None)
        self._ends[message.run] = message

    def apply(self, record, now):
        """Apply the queue to a record that is about to be written.

        :returns: (Claim, Claimed) pairs; they must not be sent before the
            write is confirmed
        """
        prune(record, now)
        self._claims_in_flight = list(self._waiting.values())
        self._ends_in_flight = dict(self._ends)
        answers = [
            (message, apply_claim(record, message))
            for message in self._claims_in_flight
        ]
        for message in self._ends_in_flight.values():
            apply_end(record, message)
        return answers

    def written(self):
        """Remove what the last :meth:`apply` applied; it is now written."""
        for message in self._claims_in_flight:
            self._waiting.pop(message.run, None)
        for run, message in self._ends_in_flight.items():
            if self._ends.get(run) is message:
                del self._ends[run]

    def expire(self, now):
        """Remove claims that waited too long.

        Such a claim may have been written nevertheless, so the caller has to
        release it.

        :returns: (Claim, Refused) pairs
        """
        refused = []
        for message in list(self._waiting.values()):
            if message.waits_until > now:
                continue
            del self._waiting[message.run]
            answer = Refused(
                ErrorKind.CLAIM_UNAVAILABLE.value, "no claim could be written"
            )
            refused.append((message, answer))
        return refused
