"""Which runs of upstreams have said in an answer that they leave."""

from ..cycle import Cycle
from ..schema.messages import LeaveRow

# Seconds between a notice and a peer's news of the opposite above which the
# latter is accepted, as news may arrive out of order.
REVERSAL_DELAY = 1.0
# Seconds for which a change is announced to peers.
ANNOUNCE_SECONDS = 30.0
# Seconds after which an upstream that is still listed as ready is asked
# whether it still leaves: it may have taken that back.
CHECK_SECONDS = 30.0
# Maximum rows in one message; if there are more, they are sent in turn.
MAX_ROWS = 16


class _Notice:
    """What a run last said.

    :ivar leaving: whether it said that it leaves
    :ivar said_at: monotonic time of the answer that said so first
    :ivar check_at: monotonic time from which it may be asked again
    :ivar pending: whether the run is listed as one that does not leave
    """

    __slots__ = ("leaving", "said_at", "check_at", "pending")

    def __init__(self, leaving, said_at):
        self.pending = True
        self.replace(leaving, said_at)

    def replace(self, leaving, said_at):
        """Record that the run said the opposite."""
        self.leaving = leaving
        self.said_at = said_at
        self.check_at = said_at + CHECK_SECONDS


class LeaveBook:
    """The notices of leaving by name of the upstream's run.

    A notice holds until the run ends, whatever its entry says: the store may
    not know it yet.  Only the run itself takes it back, by an answer without
    it to a request that was sent after the notice had arrived.  Answers to
    earlier ones may have been overtaken.
    """

    def __init__(self):
        self._notices = {}
        self._cycle = Cycle(MAX_ROWS)

    @property
    def names(self):
        """Return the names of the runs of which a notice is kept."""
        return self._notices.keys()

    @property
    def count(self):
        """Return the number of runs that said that they leave."""
        return sum(notice.leaving for notice in self._notices.values())

    def is_leaving(self, name):
        """Return whether a run said that it leaves."""
        notice = self._notices.get(name)
        return notice is not None and notice.leaving

    def record(self, name, leaving, sent_at, now):
        """Record an answer of a run.

        :param leaving: whether the answer says that the run leaves
        :param sent_at: monotonic time at which the request was sent
        :param now: monotonic time of the answer
        :returns: whether that changed anything
        """
        notice = self._notices.get(name)
        if notice is None:
            if leaving:
                self._notices[name] = _Notice(True, now)
            return leaving
        if leaving:
            notice.check_at = now + CHECK_SECONDS
        if leaving == notice.leaving:
            return False
        if not leaving and sent_at <= notice.said_at:
            return False
        notice.replace(leaving, now)
        return True

    def update_listed(self, leaving):
        """Apply a list of upstreams.

        :param leaving: whether a run leaves by its entry, by name of the run
        """
        for name, notice in self._notices.items():
            notice.pending = leaving.get(name) is False

    def drop(self, names):
        """Drop the notices of runs that have ended."""
        for name in names:
            self._notices.pop(name, None)

    def due_checks(self, now):
        """Return the names of the runs to ask whether they still leave."""
        return [
            name
            for name, notice in self._notices.items()
            if notice.leaving and notice.pending and notice.check_at <= now
        ]

    def begin_check(self, name, now):
        """Record that a run is asked."""
        self._notices[name].check_at = now + CHECK_SECONDS

    # Exchange with peers

    def row(self, name, now):
        """Return the LeaveRow of a run."""
        notice = self._notices[name]
        return LeaveRow(name, notice.leaving, max(0.0, now - notice.said_at))

    def next_rows(self, now):
        """Return the next LeaveRows; repeated calls cycle through all."""
        names = [
            name
            for name, notice in self._notices.items()
            if notice.pending and notice.said_at > now - ANNOUNCE_SECONDS
        ]
        return [self.row(name, now) for name in self._cycle.next(names)]

    def merge(self, row, now):
        """Merge a peer's LeaveRow; return whether that changed anything."""
        said_at = now - max(0.0, row.age)
        notice = self._notices.get(row.upstream)
        if notice is None:
            if row.leaving:
                self._notices[row.upstream] = _Notice(True, said_at)
            return row.leaving
        if row.leaving == notice.leaving:
            return False
        if said_at < notice.said_at + REVERSAL_DELAY:
            return False
        notice.replace(row.leaving, said_at)
        return True
