"""A fleet's allowances for retries, on given time, and an oracle.

The oracle counts as the platform's rule does: the retries of all routers in a
window against the requests of the window that has most of three, and the
slack.
"""

import bisect

from rowanport.retries import LOAN_SECONDS
from rowanport.retries import RetryAllowance
from rowanport.retries import ShareClaim
from rowanport.retries import ShareRecord

RATIO = 0.2
SLACK = 54
WINDOW = 10.0
# Permits that a router asks a peer for at once.
WANTED = 4


class RetryOracle:
    """Counts the requests and retries of a whole fleet.

    :ivar slack: retries that the fleet may make whatever it is asked
    """

    def __init__(self):
        self.slack = SLACK
        self._requests = []
        self._retries = []

    def record_request(self, now):
        """Record a request of a caller, at any router."""
        self._requests.append(now)

    def record_retry(self, now):
        """Record a retry by any router."""
        self._retries.append(now)

    def excess(self, now):
        """Return the retries in the window up to a time beyond the limit."""
        retries = _count(self._retries, now - WINDOW, now)
        starts = (now - WINDOW, now - 1.5 * WINDOW, now - 2 * WINDOW)
        requests = max(
            _count(self._requests, start, start + WINDOW) for start in starts
        )
        return retries - (RATIO * requests + self.slack)


def _count(times, start, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


class ShareStore:
    """The store's record of shares, written by compare-and-swap."""

    def __init__(self):
        self.version = 0
        self.data = b""
        # A write that was not answered and may still take effect.
        self.late = None

    def read(self):
        """Return the ShareRecord and its version."""
        return ShareRecord.unpack(self.data), self.version

    def write(self, record, version):
        """Write the record if it has a version; return whether it had."""
        if version != self.version:
            return False
        self.data = record.pack()
        self.version += 1
        return True

    def write_late(self):
        """Carry out the unanswered write, if it still can be."""
        if self.late is not None:
            self.write(*self.late)
            self.late = None


class Router:
    """One run of a router.

    :ivar claim: its ShareClaim
    :ivar allowance: its RetryAllowance
    :ivar holders: the number of routers that it takes to have shares
    :ivar asked: (lender's grant, time of the request) of a loan that has not
        arrived, or None
    """

    def __init__(self, name, run, now, holders):
        self.claim = ShareClaim(name, f"{name}#{run}", SLACK, WINDOW, now)
        self.allowance = RetryAllowance(RATIO, WINDOW)
        self.holders = holders
        self.asked = None


class RetryFleet:
    """Routers that retry as often as they are allowed to.

    :param names: names of the routers
    """

    def __init__(self, names):
        self.now = 1000.0
        self.oracle = RetryOracle()
        self.store = ShareStore()
        self.reaches_store = set(names)
        self.routers = {}
        # The routers that each one reaches, itself among them.
        self._reached = {name: set(names) for name in names}
        self._runs = 0
        for name in names:
            self.start(name)

    @property
    def names(self):
        """Return the names of the routers that run."""
        return list(self.routers)

    def start(self, name):
        """Start a router, or start it again after a kill."""
        self._runs += 1
        if name not in self._reached:
            self.reaches_store.add(name)
        self._reached.setdefault(name, {*self._reached, name})
        for others in self._reached.values():
            others.add(name)
        self.routers[name] = Router(
            name, self._runs, self.now, len(self._reached)
        )
        self.update(name)

    def cut(self, groups):
        """Let routers reach only those of their own group."""
        for group in groups:
            for name in group:
                self._reached[name] = set(group)

    def advance(self, seconds):
        """Move the clock forward; let routers renew their shares."""
        self.now += seconds
        for name in self.names:
            self.update(name)

    def update(self, name, answered=True):
        """Let a router claim or renew its share if that is due.

        :param answered: whether it hears what became of its write
        """
        router = self.routers[name]
        if name not in self.reaches_store or not router.claim.is_due(self.now):
            return
        record, version = self.store.read()
        planned = router.claim.plan(record, router.holders, self.now)
        if planned is None:
            return
        if not answered:
            self.store.late = (planned, version)
        elif self.store.write(planned, version):
            router.claim.confirm(planned, self.now)

    def request(self, name, count=1):
        """Let callers send requests to a router."""
        for _request in range(count):
            self.oracle.record_request(self.now)
            self.routers[name].allowance.record_request(self.now)

    def retry(self, name):
        """Let a router retry while it is allowed to; return how often."""
        count = self.use_all(name)
        for lender in sorted(self._reached[name] & {*self.routers}):
            if lender != name and self.borrow(name, lender):
                count += self.use_all(name)
        return count

    def use_all(self, name):
        """Let a router use its own permits; return how often it retried."""
        router = self.routers[name]
        count = 0
        while router.allowance.acquire(
            router.claim.permits(self.now), self.now
        ):
            self.oracle.record_retry(self.now)
            count += 1
        return count

    def borrow(self, name, lender):
        """Let a router borrow permits; return how many it got."""
        self.ask(name, lender)
        return self.receive(name)

    def ask(self, name, lender):
        """Let a router ask a peer for a loan, which is under way then."""
        now = self.now
        other = self.routers[lender]
        share = min(
            other.claim.permits(now), other.claim.permits(now + LOAN_SECONDS)
        )
        count = other.allowance.lend(share, WANTED, now)
        self.routers[name].asked = (count, now)

    def receive(self, name):
        """Let a loan that is under way arrive; return the permits in it."""
        router = self.routers[name]
        if router.asked is None:
            return 0
        count, asked_at = router.asked
        router.asked = None
        router.allowance.add_loan(count, asked_at)
        return count

    @property
    def excess(self):
        """Return the retries beyond the limit in the current window."""
        return self.oracle.excess(self.now)
