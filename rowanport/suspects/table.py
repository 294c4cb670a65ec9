"""The replicated table of suspects: requests and parts that crash upstreams.

A router only sees crashes during its own requests, but a request that crashes
upstreams may be repeated at any router.  So the routers merge their tables.
Crashes and clearances are sets keyed by the upstream's run, so merging is
commutative and idempotent.
"""

import collections
import itertools
import math

from ..hashing import hash_of
from ..schema.messages import CrashSeen
from ..schema.messages import SuspectRow
from .blame import Blame
from .blame import BLOCK_THRESHOLD
from .blame import count_separate
from .blame import CrashTimes
from .blame import is_part
from .blame import LIKELY_CRASHES
from .blame import MOST_RUNNING
from .blame import MOST_TOGETHER
from .sound_parts import SoundParts

# Seconds after a request reaches the threshold until all requests that ran on
# the same upstreams are known.
SETTLE_SECONDS = 2.0
# Seconds after the last crash until a request expires: one that reached the
# threshold, and one that did not.
KEEP_SECONDS = 3600.0
SUSPECT_SECONDS = 600.0
# Seconds until a cleared request expires, long enough for all routers to learn
# that it was cleared.
CLEARED_SECONDS = 30.0
# Most requests in the table.
TABLE_LIMIT = 4096
# Most crashes kept per suspect.  Crashes of one part explain those of another
# only if both keep them.
CRASH_LIMIT = 32
# Most rows in one message: the last changed ones, and a batch of the others.
NEWEST_LIMIT = 16
OTHERS_LIMIT = 16


class Suspect:
    """A request, or a part of prompts, during which upstreams crashed.

    :ivar fingerprint: its fingerprint
    :ivar crashes: monotonic time of the crash, by name of the UpstreamRun
    :ivar cleared: names of the runs whose crash does not count any more, as
        the request got a complete answer later, or another one explains it
    :ivar blocked: whether it is blocked, as decided by the table
    :ivar source: peer address of the router that saw the last change
    :ivar stored: whether the record in the store contains it
    :ivar changed_at: monotonic time of the last change at this router
    :ivar expires_at: monotonic time at which it expires, unless it is a
        blocked part
    """

    __slots__ = (
        "fingerprint",
        "crashes",
        "cleared",
        "blocked",
        "source",
        "stored",
        "changed_at",
        "expires_at",
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
        self.expires_at = 0.0
        self._digest = 0

    @property
    def uncleared_crashes(self):
        """Return the names of the runs whose crash still counts."""
        return [run for run in self.crashes if run not in self.cleared]

    @property
    def at_threshold(self):
        """Return whether enough separate crashes count to block it.

        Whether it is blocked depends on other crashes, too.
        """
        times = [self.crashes[run] for run in self.uncleared_crashes]
        return count_separate(times) >= BLOCK_THRESHOLD

    @property
    def digest(self):
        """Return a hash of the replicated content, 0 if it is cleared."""
        return self._digest

    def add_crashes(self, crashes):
        """Merge crashes; return whether the set of crashes changes.

        Above CRASH_LIMIT the first ones by name are kept, so that all routers
        keep the same ones.

        :param crashes: monotonic time by name of the UpstreamRun
        """
        known = set(self.crashes)
        self.crashes = {**crashes, **self.crashes}
        for run in sorted(self.crashes)[CRASH_LIMIT:]:
            del self.crashes[run]
            self.cleared.discard(run)
        return known != set(self.crashes)

    def refresh(self, now):
        """Update the digest and the expiry after a change."""
        self.changed_at = now
        self.expires_at = self._expiry(now)
        self._digest = 0
        if self.uncleared_crashes:
            runs = " ".join(sorted(self.crashes))
            cleared = " ".join(sorted(self.cleared))
            self._digest = hash_of(
                f"{self.fingerprint}\0{runs}\0{cleared}\0{self.stored}"
            )

    def _expiry(self, now):
        if not self.uncleared_crashes:
            return now + CLEARED_SECONDS
        keep_long = self.at_threshold and not is_part(self.fingerprint)
        keep = KEEP_SECONDS if keep_long else SUSPECT_SECONDS
        return max(self.crashes.values()) + keep


def oldest_age(fingerprint):
    """Return the age in seconds at which a crash is not merged any more.

    A blocked part does not expire: as many requests with it would be sent as
    arrive until it is known again.
    """
    return math.inf if is_part(fingerprint) else KEEP_SECONDS


class SuspectTable:
    """The Suspects known to a router, ordered by their last change.

    :param address: this router's peer address
    """

    def __init__(self, address):
        self._address = address
        self._suspects = collections.OrderedDict()
        self._digest = 0
        self._batch_start = 0
        self._likely = {}
        self._times = CrashTimes()
        self._blame = Blame([], self._times)
        self._sound = SoundParts()

    def __len__(self):
        return len(self._suspects)

    @property
    def digest(self):
        """Return a hash that is equal for routers with equal tables."""
        return self._digest

    @property
    def blocked(self):
        """Return the fingerprints of the blocked requests and parts."""
        return set(self._blame.blocked)

    @property
    def blocked_suspects(self):
        """Return the blocked Suspects."""
        return list(self._blame.blocked.values())

    @property
    def suspects(self):
        """Return all Suspects, the last changed ones at the end."""
        return list(self._suspects.values())

    def get(self, fingerprint):
        """Return the Suspect of a fingerprint, or None."""
        return self._suspects.get(fingerprint)

    def crash_count(self, fingerprint):
        """Return the number of crashes that count against a request."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.uncleared_crashes) if suspect else 0

    def is_blocked(self, fingerprint):
        """Return whether a request is blocked."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.blocked

    def blocking(self, fingerprints):
        """Return the Suspect for which a request is blocked, or None.

        :param fingerprints: those of the request and of its parts
        """
        return self._blame.blocking(fingerprints)

    # Events at this router

    def record_crash_of(
        self, fingerprint, parts, run, now, at, together=(), running=()
    ):
        """Record that an upstream crashed during a request with some parts.

        Sound parts are not to blame.  Crashes that happened together are
        recorded for the parts, too: they show that it was no isolated one.
        A crash beside other runs of a suspect counts only if it is the first:
        the suspect has to run apart from others then, which tells more.

        :param fingerprint: fingerprint of the request
        :param parts: fingerprints of its parts
        :param run: name of the UpstreamRun
        :param now: monotonic time in seconds
        :param at: monotonic time of the crash
        :param together: names of other UpstreamRuns that crashed with it
        :param running: number of other upstreams that run a suspect, by
            fingerprint
        :returns: the Suspects that change
        """
        if len(together) < MOST_TOGETHER:
            together = ()
        runs = [run, *together[:MOST_TOGETHER]]
        running = collections.Counter(running)
        suspects = [p for p in parts if not self.is_sound(p, now)]
        counts = running[fingerprint] < MOST_RUNNING
        changed = [self.record_crash(fingerprint, run, now, at, counts)]
        for part in suspects:
            counts = running[part] < MOST_RUNNING
            changed.append(self._record_crashes(part, runs, now, at, counts))
        return [one for one in changed if one is not None]

    def record_crash(self, fingerprint, run, now, at=None, counts=True):
        """Record that an upstream crashed during a request.

        :param fingerprint: that of the request, or of a part of its prompt
        :param run: name of the UpstreamRun
        :param now: monotonic time in seconds
        :param at: monotonic time of the crash, by default now
        :param counts: whether it counts though others do
        :returns: the Suspect if it changes, else None
        """
        at = now if at is None else at
        return self._record_crashes(fingerprint, [run], now, at, counts)

    def _record_crashes(self, fingerprint, runs, now, at, counts=True):
        """Record crashes under one suspect; return it if it changes.

        :param counts: whether they count though others do
        """
        suspect = self._suspects.get(fingerprint) or Suspect(fingerprint)
        counts = counts or not suspect.uncleared_crashes
        known = set(suspect.crashes)
        if not suspect.add_crashes(dict.fromkeys(runs, at)):
            return None
        if not counts:
            suspect.cleared.update(set(suspect.crashes) - known)
        suspect.source = self._address
        self._update(suspect, now)
        return suspect

    def record_answer(self, fingerprint, parts, now):
        """Clear a request that got a complete answer, and its parts.

        :param parts: fingerprints of the parts that the answer shows to be
            sound
        :returns: the Suspects that change
        """
        return [
            *self.clear([fingerprint], now),
            *self.record_sound(parts, now),
        ]

    def record_sound(self, parts, now):
        """Clear parts on which an upstream has written, as they are sound.

        :returns: the Suspects that change
        """
        for part in parts:
            self._sound.add(part, now)
        return self.clear(parts, now)

    def clear_sound(self, suspects, now):
        """Clear the parts among some Suspects that are known to be sound.

        :returns: the Suspects that change
        """
        names = [suspect.fingerprint for suspect in suspects]
        return self.clear([n for n in names if self.is_sound(n, now)], now)

    def clear(self, fingerprints, now):
        """Clear suspects of all crashes so far; return those that change."""
        changed = [self.record_success(one, now) for one in fingerprints]
        return [suspect for suspect in changed if suspect is not None]

    def is_sound(self, part, now):
        """Return whether this router got an answer on a part lately."""
        return self._sound.is_sound(part, now)

    def record_success(self, fingerprint, now):
        """Clear a request, or a part, that got a complete answer.

        :returns: the Suspect if it changes, else None
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.uncleared_crashes:
            return None
        suspect.cleared.update(suspect.crashes)
        suspect.source = self._address
        self._update(suspect, now)
        return suspect

    def mark_stored(self, fingerprint, now):
        """Record that the record in the store contains a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.stored:
            suspect.stored = True
            self._update(suspect, now)

    # Replication

    def row(self, suspect, now):
        """Return the SuspectRow that describes a Suspect to peers."""
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
        """Return the SuspectRows that changed last, up to NEWEST_LIMIT.

        :param since: monotonic time; rows that did not change after it are
            left out
        :param now: monotonic time in seconds
        """
        newest = itertools.islice(
            reversed(self._suspects.values()), NEWEST_LIMIT
        )
        return [self.row(s, now) for s in newest if s.changed_at > since]

    def next_rows(self, now):
        """Return the last changed SuspectRows and the next batch of others.

        Repeated calls return all rows.
        """
        suspects = self.suspects
        others, newest = suspects[:-NEWEST_LIMIT], suspects[-NEWEST_LIMIT:]
        if self._batch_start >= len(others):
            self._batch_start = 0
        some = others[self._batch_start : self._batch_start + OTHERS_LIMIT]
        self._batch_start += OTHERS_LIMIT
        return [self.row(suspect, now) for suspect in [*newest, *some]]

    def merge(self, row, now):
        """Merge a SuspectRow of a peer or of the stored record.

        :returns: the Suspect if it changes, else None
        """
        known = self._suspects.get(row.fingerprint)
        suspect = known or Suspect(row.fingerprint)
        # Ages are relative to the crash, so that replication does not extend
        # the life of a row.
        oldest = oldest_age(row.fingerprint)
        crashes = {
            crash.upstream: now - max(0.0, crash.age)
            for crash in row.crashes
            if crash.age < oldest
        }
        changed = suspect.add_crashes(crashes)
        cleared = {run for run in row.cleared if run in suspect.crashes}
        if not cleared <= suspect.cleared:
            suspect.cleared |= cleared
            changed = True
        if row.stored and not suspect.stored and suspect.crashes:
            suspect.stored = True
            changed = True
        if not changed:
            return None
        suspect.source = row.source
        self._update(suspect, now)
        return suspect

    # Expiry and limits

    def expire(self, now):
        """Remove and return the Suspects that have expired."""
        old = [
            suspect
            for suspect in self._suspects.values()
            if suspect.expires_at <= now
            and not (suspect.blocked and is_part(suspect.fingerprint))
        ]
        for suspect in old:
            self._remove(suspect)
        return old

    def _update(self, suspect, now):
        if suspect.fingerprint in self._suspects:
            self._digest ^= suspect.digest
        suspect.refresh(now)
        self._digest ^= suspect.digest
        self._suspects[suspect.fingerprint] = suspect
        self._suspects.move_to_end(suspect.fingerprint)
        self._update_blocked(suspect)
        if len(self._suspects) > TABLE_LIMIT:
            self._remove(self._eviction_candidate())

    def _update_blocked(self, suspect):
        """Decide which suspects are blocked, after a change of one."""
        new = [self._times.add(run, at) for run, at in suspect.crashes.items()]
        known = self._likely.pop(suspect.fingerprint, None)
        if len(suspect.uncleared_crashes) >= LIKELY_CRASHES:
            self._likely[suspect.fingerprint] = suspect
        elif known is None and not any(new):
            return
        self._judge()

    def _judge(self):
        """Decide which suspects are blocked."""
        for suspect in self._blame.blocked.values():
            suspect.blocked = False
        self._blame = Blame(self._likely.values(), self._times)
        for suspect in self._blame.blocked.values():
            suspect.blocked = True

    # Requests that ran on the same upstream as a blocked one

    def clear_bystanders(self, now):
        """Clear other Suspects of crashes that a blocked one explains.

        :returns: the Suspects that change
        """
        changed = []
        settled = now - SETTLE_SECONDS
        by_parts = self._blame.explained_by_parts(settled)
        explained = by_parts | self._blame.explained_by_requests(settled)
        if not explained:
            return changed
        for suspect in self.suspects:
            runs = explained
            if suspect.at_threshold:
                # Requests are sent again and again beside a bad part; which
                # of two parts is bad is decided by later requests.
                runs = () if is_part(suspect.fingerprint) else by_parts
            newly_cleared = set(suspect.uncleared_crashes).intersection(runs)
            if newly_cleared:
                suspect.cleared |= newly_cleared
                self._update(suspect, now)
                changed.append(suspect)
        return changed

    def _eviction_candidate(self):
        """Return the Suspect to evict: the oldest one, not blocked if any."""
        for suspect in self._suspects.values():
            if not suspect.blocked:
                return suspect
        return next(iter(self._suspects.values()))

    def _remove(self, suspect):
        self._digest ^= suspect.digest
        del self._suspects[suspect.fingerprint]
        if self._likely.pop(suspect.fingerprint, None) is not None:
            self._judge()
