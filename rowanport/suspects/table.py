"""What all routers together know of requests that crash upstreams.

A router sees only the crashes under its own requests, and a request that
crashes upstreams comes again at any router.  So routers merge their tables:
each crash and each later answer is kept by the upstream's run, so that the
order in which news arrives, and how often, does not matter.
"""

import bisect
import collections
import itertools

from ..hashing import hash_of
from ..schema.messages import CrashSeen
from ..schema.messages import SuspectRow

# Upstreams that have crashed under a request when it is refused everywhere.
BLOCK_THRESHOLD = 3
# Requests that would be refused for crashes within some seconds from which on
# none of them is: then the upstreams crash by themselves, whatever they run.
STORM_REQUESTS = 10
STORM_SECONDS = 60.0
# Seconds after which all that ran beside a refused request is known.
SETTLE_SECONDS = 2.0
# Seconds after the last crash until a request is forgotten, one that is
# refused and one that is not.
KEEP_SECONDS = 3600.0
SUSPECT_SECONDS = 600.0
# The same from its last answer on, long enough for all routers to hear of it.
CLEARED_SECONDS = 30.0
# Requests that are kept.
TABLE_LIMIT = 4096
# Crashes that are kept of one request.
CRASH_LIMIT = 8
# Rows in one message: the newest ones, and some others in turn.
NEWEST_LIMIT = 16
OTHERS_LIMIT = 16


class Suspect:
    """A request under which upstreams crashed.

    :ivar crashes: steady time of the crash by name of the upstream's run
    :ivar cleared: names of runs after whose crash it was answered whole
    :ivar blocked: whether it is refused, as the table judges
    :ivar source: peer address of the router that saw the last of these
    :ivar stored: whether the store holds that it is blocked
    :ivar changed_at: steady time at which it was last changed here
    :ivar forget_at: steady time at which it is forgotten
    """

    __slots__ = (
        "fingerprint",
        "crashes",
        "cleared",
        "blocked",
        "source",
        "stored",
        "changed_at",
        "forget_at",
        "_digest",
    )

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.crashes = {}
        self.cleared = set()
        self.blocked = False
        self.source = ""
        self.stored = False
        self.changed_at = 0.0
        self.forget_at = 0.0
        self._digest = 0

    @property
    def uncleared_crashes(self):
        """Return the runs whose crash no later answer has cleared it of."""
        return [run for run in self.crashes if run not in self.cleared]

    @property
    def threshold_at(self):
        """Return the steady time of its third open crash, None before it."""
        times = sorted(self.crashes[run] for run in self.uncleared_crashes)
        if len(times) < BLOCK_THRESHOLD:
            return None
        return times[BLOCK_THRESHOLD - 1]

    @property
    def digest(self):
        """Return a number that only its content decides, 0 if cleared."""
        return self._digest

    def add_crashes(self, crashes):
        """Take in crashes; return whether this changes those that are kept.

        Where there are too many, all routers keep the same ones.

        :param crashes: steady time by name of the upstream's run
        """
        known = set(self.crashes)
        self.crashes = {**crashes, **self.crashes}
        for run in sorted(self.crashes)[CRASH_LIMIT:]:
            del self.crashes[run]
            self.cleared.discard(run)
        return known != set(self.crashes)

    def refresh(self, now):
        """Note that it was changed."""
        self.changed_at = now
        self.forget_at = self._forget_at(now)
        self._digest = 0
        if self.uncleared_crashes:
            runs = " ".join(sorted(self.crashes))
            cleared = " ".join(sorted(self.cleared))
            self._digest = hash_of(
                f"{self.fingerprint}\0{runs}\0{cleared}\0{self.stored}"
            )

    def _forget_at(self, now):
        if not self.uncleared_crashes:
            return now + CLEARED_SECONDS
        keep = SUSPECT_SECONDS if self.threshold_at is None else KEEP_SECONDS
        return max(self.crashes.values()) + keep


class SuspectTable:
    """All Suspects that a router knows of.

    :param address: this router's peer address
    """

    def __init__(self, address):
        self._address = address
        self._suspects = collections.OrderedDict()
        self._digest = 0
        self._turn = 0
        self._at_limit = {}

    def __len__(self):
        return len(self._suspects)

    @property
    def digest(self):
        """Return a number that is the same where the same is known."""
        return self._digest

    @property
    def blocked(self):
        """Return the fingerprints of the requests that are refused."""
        return {s.fingerprint for s in self._at_limit.values() if s.blocked}

    @property
    def suspects(self):
        """Return all Suspects, those changed last at the end."""
        return list(self._suspects.values())

    def get(self, fingerprint):
        """Return the Suspect of a fingerprint, or None."""
        return self._suspects.get(fingerprint)

    def crash_count(self, fingerprint):
        """Return how many crashes speak against a request."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.uncleared_crashes) if suspect else 0

    def is_blocked(self, fingerprint):
        """Return whether a request is refused."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.blocked

    # What this router saw

    def record_crash(self, fingerprint, run, now):
        """Note that an upstream's run crashed under a request.

        :returns: the Suspect if that is news, else None
        """
        suspect = self._suspects.get(fingerprint) or Suspect(fingerprint)
        if not suspect.add_crashes({run: now}):
            return None
        suspect.source = self._address
        self._put(suspect, now)
        return suspect

    def record_success(self, fingerprint, now):
        """Note that a request was answered whole.

        :returns: the Suspect that this clears, or None
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.uncleared_crashes:
            return None
        suspect.cleared.update(suspect.crashes)
        suspect.source = self._address
        self._put(suspect, now)
        return suspect

    def mark_stored(self, fingerprint, now):
        """Note that the store holds that a request is blocked."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.stored:
            suspect.stored = True
            self._put(suspect, now)

    # What peers know

    def row(self, suspect, now):
        """Return the SuspectRow of a Suspect."""
        crashes = [
            CrashSeen(run, max(0.0, now - at))
            for run, at in suspect.crashes.items()
        ]
        return SuspectRow(
            suspect.fingerprint,
            crashes,
            sorted(suspect.cleared),
            suspect.source,
            suspect.stored,
        )

    def rows_since(self, since, now):
        """Return the newest SuspectRows.

        :param since: steady time after which they changed
        """
        newest = itertools.islice(
            reversed(self._suspects.values()), NEWEST_LIMIT
        )
        return [self.row(s, now) for s in newest if s.changed_at > since]

    def next_rows(self, now):
        """Return the newest SuspectRows, and others in turn.

        Asked again and again, it returns all.
        """
        suspects = self.suspects
        others, newest = suspects[:-NEWEST_LIMIT], suspects[-NEWEST_LIMIT:]
        if self._turn >= len(others):
            self._turn = 0
        some = others[self._turn : self._turn + OTHERS_LIMIT]
        self._turn += OTHERS_LIMIT
        return [self.row(suspect, now) for suspect in [*newest, *some]]

    def merge(self, row, now):
        """Take in a SuspectRow.

        :returns: the Suspect if it is news, else None
        """
        known = self._suspects.get(row.fingerprint)
        suspect = known or Suspect(row.fingerprint)
        # Ages count from the crash on, so that nothing is kept alive by being
        # passed around.
        crashes = {
            crash.upstream: now - max(0.0, crash.age)
            for crash in row.crashes
            if crash.age < KEEP_SECONDS
        }
        news = suspect.add_crashes(crashes)
        cleared = {run for run in row.cleared if run in suspect.crashes}
        if not cleared <= suspect.cleared:
            suspect.cleared |= cleared
            news = True
        if row.stored and not suspect.stored and suspect.crashes:
            suspect.stored = True
            news = True
        if not news:
            return None
        suspect.source = row.source
        self._put(suspect, now)
        return suspect

    # Bounds

    def expire(self, now):
        """Drop what is old; return its Suspects."""
        old = [s for s in self._suspects.values() if s.forget_at <= now]
        for suspect in old:
            self._drop(suspect)
        return old

    def _put(self, suspect, now):
        if suspect.fingerprint in self._suspects:
            self._digest ^= suspect.digest
        suspect.refresh(now)
        self._digest ^= suspect.digest
        self._suspects[suspect.fingerprint] = suspect
        self._suspects.move_to_end(suspect.fingerprint)
        self._judge(suspect)
        if len(self._suspects) > TABLE_LIMIT:
            self._drop(self._least_useful())

    def _judge(self, suspect):
        """Decide what is refused, after a change of one Suspect."""
        known = suspect.fingerprint in self._at_limit
        if known == (suspect.threshold_at is not None):
            return
        if known:
            del self._at_limit[suspect.fingerprint]
            suspect.blocked = False
        else:
            self._at_limit[suspect.fingerprint] = suspect
        times = sorted(one.threshold_at for one in self._at_limit.values())
        for one in self._at_limit.values():
            at = one.threshold_at
            first = bisect.bisect_left(times, at - STORM_SECONDS)
            last = bisect.bisect_right(times, at + STORM_SECONDS)
            one.blocked = last - first < STORM_REQUESTS

    # Those that ran beside

    def clear_bystanders(self, now):
        """Clear others of the crashes that a refused request explains.

        :returns: the Suspects that this changes
        """
        explained = set()
        for suspect in self._at_limit.values():
            if suspect.blocked and suspect.threshold_at < now - SETTLE_SECONDS:
                explained.update(suspect.crashes)
        changed = []
        if not explained:
            return changed
        for suspect in self.suspects:
            if suspect.fingerprint in self._at_limit:
                continue
            beside = explained.intersection(suspect.uncleared_crashes)
            if beside:
                suspect.cleared |= beside
                self._put(suspect, now)
                changed.append(suspect)
        return changed

    def _least_useful(self):
        """Return the oldest Suspect that is not blocked, else the oldest."""
        for suspect in self._suspects.values():
            if not suspect.blocked:
                return suspect
        return next(iter(self._suspects.values()))

    def _drop(self, suspect):
        self._at_limit.pop(suspect.fingerprint, None)
        self._digest ^= suspect.digest
        del self._suspects[suspect.fingerprint]
