"""The decisions of one claim shard at one home.

A claim is granted only once it is known to stand in the store.  Each
operation is idempotent by request and run, so a write whose answer was lost
is simply made again on what the store holds then.
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
    """Claim in the record; return the Claimed answer."""
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
    """Take in how a claimed run ended; only its own run may say so."""
    known = record.claims.get(message.request)
    if known is None or known.run != message.run:
        return
    if message.state == RELEASED:
        del record.claims[message.request]
    else:
        known.state = message.state


def prune(record, now):
    """Forget claims whose time is over."""
    for request, claim in list(record.claims.items()):
        if claim.expiry < now:
            del record.claims[request]


class ClaimShard:
    """Collects claims until they are written together."""

    def __init__(self):
        self._waiting = {}
        self._ends = {}
        self._writing = ()
        self._ending = {}

    @property
    def waiting(self):
        """Return whether a caller waits."""
        return bool(self._waiting)

    @property
    def dirty(self):
        """Return whether there is anything to write."""
        return bool(self._waiting or self._ends)

    def claim(self, message):
        """Queue a Claim."""
        self._waiting[message.run] = message

    def end(self, message):
        """Queue a ClaimEnd; a claim not yet written is dropped."""
        self._waiting.pop(message.run, None)
        self._ends[message.run] = message

    def apply(self, record, now):
        """Apply all that is queued to a record about to be written.

        :returns: (Claim, Claimed) pairs, valid once the write is known
        """
        prune(record, now)
        self._writing = list(self._waiting.values())
        self._ending = dict(self._ends)
        answers = [
            (message, apply_claim(record, message))
            for message in self._writing
        ]
        for message in self._ending.values():
            apply_end(record, message)
        return answers

    def written(self):
        """Forget what the last :meth:`apply` queued into the store."""
        for message in self._writing:
            self._waiting.pop(message.run, None)
        for run, message in self._ending.items():
            if self._ends.get(run) is message:
                del self._ends[run]

    def expire(self, now):
        """Return (Claim, Refused) pairs of claims that waited too long.

        Such a claim may have been written all the same, so it is released.
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
