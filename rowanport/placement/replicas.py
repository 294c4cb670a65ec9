"""The load of each replica, from this router's requests and the fleet's."""

import math

# Seconds after which what a router told of its load no longer counts.
ENTRY_SECONDS = 3.0
# Seconds after which it counts half: requests take a tenth of this.
ENTRY_HALF_LIFE = 0.5
# Half-life in seconds of this router's own times to answer.
ANSWER_HALF_LIFE = 1.0
# Answers that are remembered as such, not as a rounding error.
LEAST_ANSWERS = 0.01


class ReplicaRow:
    """What one router, or all others, told of a replica.

    :ivar outstanding: mean number of outstanding requests
    :ivar answers: number of answers
    :ivar seconds: mean time to answer
    :ivar rejections: number of requests turned away
    :ivar rejected_at: monotonic time of the last one, -inf for none
    """

    __slots__ = (
        "outstanding",
        "answers",
        "seconds",
        "rejections",
        "rejected_at",
    )

    def __init__(
        self,
        outstanding=0.0,
        answers=0.0,
        seconds=0.0,
        rejections=0.0,
        rejected_at=-math.inf,
    ):
        self.outstanding = outstanding
        self.answers = answers
        self.seconds = seconds
        self.rejections = rejections
        self.rejected_at = rejected_at

    def add(self, other, weight):
        """Add another row, at a weight."""
        answers = self.answers + weight * other.answers
        if answers:
            total = self.answers * self.seconds
            total += weight * other.answers * other.seconds
            self.seconds = total / answers
        self.answers = answers
        self.outstanding += weight * other.outstanding
        self.rejections += weight * other.rejections
        self.rejected_at = max(self.rejected_at, other.rejected_at)


class ReplicaLoad:
    """The load of a replica by what is known now.

    :ivar outstanding: outstanding requests of all routers
    :ivar own: those of this router
    :ivar seconds: recent mean time to answer, 0.0 if unknown
    :ivar rejected_at: monotonic time at which it last turned one away
    """

    __slots__ = ("outstanding", "own", "seconds", "rejected_at")

    def __init__(self, outstanding, own, seconds, rejected_at):
        self.outstanding = outstanding
        self.own = own
        self.seconds = seconds
        self.rejected_at = rejected_at


class _OwnLoad:
    """This router's requests at a replica.

    :ivar outstanding: those that are outstanding now
    :ivar row: ReplicaRow since the last report; ``outstanding`` in it is the
        sum of the requests' seconds
    :ivar recent: ReplicaRow of answers that count less with age
    """

    __slots__ = ("outstanding", "row", "recent", "_counted_at", "_faded_at")

    def __init__(self, now):
        self.outstanding = 0
        self.row = ReplicaRow()
        self.recent = ReplicaRow()
        self._counted_at = self._faded_at = now

    def count(self, now):
        """Add the outstanding requests' seconds up to now."""
        self.row.outstanding += self.outstanding * (now - self._counted_at)
        self._counted_at = now

    def record_answer(self, seconds, now):
        """Record the time that an answer took."""
        answer = ReplicaRow(answers=1.0, seconds=seconds)
        self.row.add(answer, 1.0)
        self.fade(now)
        self.recent.add(answer, 1.0)

    def fade(self, now):
        """Let recent answers count less by their age."""
        age = now - self._faded_at
        self._faded_at = now
        self.recent.answers *= 0.5 ** (age / ANSWER_HALF_LIFE)

    @property
    def idle(self):
        """Return whether nothing is known that would not be known anyway."""
        row = self.row
        used = self.outstanding or row.answers or row.rejections
        return not used and self.recent.answers < LEAST_ANSWERS


class _Report:
    """What a router reported.

    :ivar rows: ReplicaRows by replica
    :ivar at: monotonic time at which it arrived
    """

    __slots__ = ("rows", "at")

    def __init__(self, rows, at):
        self.rows = rows
        self.at = at


class Replicas:
    """The load of each replica, by this router's key of it.

    :param now: monotonic time in seconds
    """

    def __init__(self, now):
        self._own = {}
        self._reported_at = now
        self._reports = {}
        self._fleet = _Report({}, -math.inf)

    # This router's requests

    def _own_load(self, key, now):
        own = self._own.get(key)
        if own is None:
            own = self._own[key] = _OwnLoad(now)
        return own

    def record_send(self, key, now):
        """Record that a request is sent to a replica."""
        own = self._own_load(key, now)
        own.count(now)
        own.outstanding += 1

    def record_end(self, key, now):
        """Record that a request is no longer outstanding."""
        own = self._own_load(key, now)
        own.count(now)
        own.outstanding = max(0, own.outstanding - 1)

    def record_answer(self, key, seconds, now):
        """Record the time that a replica took to answer."""
        self._own_load(key, now).record_answer(seconds, now)

    def record_rejection(self, key, now):
        """Record that a replica turned a request away."""
        own = self._own_load(key, now)
        own.row.rejections += 1
        own.row.rejected_at = now
        own.recent.rejected_at = now

    def retain(self, keys):
        """Drop this router's state of all other replicas."""
        self._own = {key: own for key, own in self._own.items() if key in keys}

    # The fleet

    def report(self, now):
        """Return the ReplicaRows since the last report, by replica."""
        span = max(1e-3, now - self._reported_at)
        self._reported_at = now
        rows = {}
        for key, own in list(self._own.items()):
            own.count(now)
            own.fade(now)
            row, own.row = own.row, ReplicaRow()
            if row.outstanding or row.answers or row.rejections:
                row.outstanding /= span
                rows[key] = row
            elif own.idle:
                del self._own[key]
        return rows

    def collect(self, sender, rows, now):
        """Store the report of another router."""
        self._reports[sender] = _Report(rows, now)

    def summary(self, receiver, routers, now):
        """Return the ReplicaRows of all routers but one, by replica.

        Reports are a sample: each router tells one collector at a time.  So
        the mean of those that told stands for the others.

        :param receiver: the router that is left out
        :param routers: number of routers known
        :returns: None if no other router reported
        """
        self._reports = {
            sender: report
            for sender, report in self._reports.items()
            if report.at + ENTRY_SECONDS > now
        }
        others = [
            (report.rows, 0.5 ** ((now - report.at) / ENTRY_HALF_LIFE))
            for sender, report in self._reports.items()
            if sender != receiver
        ]
        if not others:
            return None
        total, sums = 0.0, {}
        for rows, weight in others:
            total += weight
            for key, row in rows.items():
                sums.setdefault(key, ReplicaRow()).add(row, weight)
        factor = max(1, routers - 1) / total
        for row in sums.values():
            row.outstanding *= factor
            row.rejections *= factor
        return sums

    def apply(self, rows, now):
        """Store the ReplicaRows of all other routers."""
        self._fleet = _Report(rows, now)

    def is_informed(self, now):
        """Return whether the state of the other routers is known."""
        return now < self._fleet.at + ENTRY_SECONDS

    def load(self, key, now):
        """Return the ReplicaLoad of a replica.

        Without the fleet's state it is that of this router's own requests.
        """
        row, outstanding = ReplicaRow(), 0
        own = self._own.get(key)
        if own is not None:
            own.fade(now)
            row.add(own.recent, 1.0)
            outstanding = own.outstanding
        if self.is_informed(now):
            told = self._fleet.rows.get(key)
            if told is not None:
                row.add(told, 1.0)
        if row.answers < LEAST_ANSWERS:
            row.seconds = 0.0
        return ReplicaLoad(
            row.outstanding + outstanding,
            outstanding,
            row.seconds,
            row.rejected_at,
        )
