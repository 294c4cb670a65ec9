"""Which upstreams a router reaches over its own link."""

from .outage import LossHistory
from .outage import PROBE_INTERVAL

# Reasons of a loss.
REFUSED = "refused"
NO_CONNECTION = "no connection"
# The connection ended before anything was answered.
CLOSED = "closed at once"
# The upstream's kernel does not acknowledge what is sent.
UNACKNOWLEDGED = "unacknowledged"
# All is acknowledged and nothing answers.
SILENT = "silent"
# Reasons in which connections open though nothing gets through, so that only
# an answer shows that the link is back.
ANSWER_REASONS = (CLOSED, SILENT)
# Upstreams that peers reach and this router does not, after which it takes
# itself for cut off from all of them.
CUT_OFF_EVIDENCE = 2


class UpstreamLinks:
    """This router's links to upstreams, by address.

    A link is lost once a connection over it fails, and back once probes
    succeed.  That alone says nothing of where the fault is.  If peers reach
    several upstreams whose links are lost here, and none was reached since,
    this router is cut off: no link is used until a probe succeeds.
    """

    def __init__(self):
        self._outages = {}
        self._losses = {}
        self._cut = None
        self._cut_losses = LossHistory()
        # Monotonic times since which peers reach upstreams that this router
        # does not, by address.
        self._evidence = {}
        # Monotonic times at which connections were opened that were answered,
        # and at which probes began, by address.
        self._reached_at = {}
        self._probed_at = {}

    @property
    def cut_off(self):
        """Return whether this router reaches no upstream."""
        return self._cut is not None

    @property
    def cut(self):
        """Return the Outage of all links, or None."""
        return self._cut

    @property
    def lost(self):
        """Return the addresses whose links are lost."""
        return list(self._outages)

    @property
    def evidence(self):
        """Return the addresses that peers reach and this router does not."""
        return list(self._evidence)

    def usable(self, address):
        """Return whether new connections go over the own link."""
        return not self.cut_off and address not in self._outages

    def outage(self, address):
        """Return the Outage of the link to an address, or None."""
        return self._outages.get(address)

    def may_work(self, address):
        """Return whether a lost link is used if there is no other way.

        That is so if its last probe succeeded, or if only silence spoke for
        the loss: overloaded upstreams are silent, too.
        """
        outage = self._outages.get(address) or self._cut
        if outage is None:
            return True
        return outage.answering or outage.reason == SILENT

    def others_reached(self, begin, excluded):
        """Return whether a new connection to another upstream was answered.

        :param begin: monotonic time after which it was opened
        :param excluded: addresses of the upstreams that do not count
        """
        return any(
            at >= begin
            for address, at in self._reached_at.items()
            if address not in excluded
        )

    # What connections show

    def record_lost(self, address, reason, now):
        """Record that a connection over the own link failed.

        :param reason: how it failed
        :param now: monotonic time in seconds
        :returns: whether the link was in use until now
        """
        if address in self._outages:
            return False
        losses = self._losses.setdefault(address, LossHistory())
        self._outages[address] = losses.begin(reason, now)
        return True

    def record_reached(self, address, opened_at):
        """Record an answer on a connection over the own link.

        It says nothing of connections that are opened later: a link may refuse
        new ones while open ones live.

        :param opened_at: monotonic time at which the connection was opened
        """
        begin = min(self._evidence.values(), default=None)
        if begin is None or opened_at > begin:
            self._evidence.clear()
        known = self._reached_at.get(address, opened_at)
        self._reached_at[address] = max(known, opened_at)

    def record_relayed(self, address, now):
        """Record that a peer reaches an upstream.

        :returns: whether this shows that this router is cut off
        """
        if self.cut_off or address not in self._outages:
            return False
        self._evidence.setdefault(address, now)
        if len(self._evidence) < CUT_OFF_EVIDENCE:
            return False
        reasons = sorted(self._outages[a].reason for a in self._evidence)
        strict = [reason for reason in reasons if reason in ANSWER_REASONS]
        self.begin_cut((strict or reasons)[0], now)
        return True

    def begin_cut(self, reason, now):
        """Record that no upstream is reached; return whether that is new."""
        if self.cut_off:
            return False
        self._cut = self._cut_losses.begin(reason, now)
        return True

    # Probes

    def probes_due(self, listed, now):
        """Return the addresses to probe now.

        While cut off that is one of all listed ones at a time, as a link that
        was not used may be the first to work.

        :param listed: addresses of all listed upstreams
        """
        if self._cut is None:
            return [
                address
                for address, outage in self._outages.items()
                if outage.probe_at <= now
            ]
        if self._cut.probe_at > now or not listed:
            return []
        return [min(listed, key=lambda a: self._probed_at.get(a, 0.0))]

    def begin_probe(self, address, now):
        """Record that a probe of an address begins."""
        self._probed_at[address] = now
        for outage in (self._cut, self._outages.get(address)):
            if outage is not None:
                outage.probe_at = now + PROBE_INTERVAL

    def record_probe(self, address, reached, now):
        """Record the result of a probe.

        :returns: whether the link may be used again
        """
        if reached:
            self._reached_at[address] = now
        if self._cut is not None:
            if not self._cut.record_probe(reached, now):
                return False
            self._end_cut(now)
        outage = self._outages.get(address)
        if outage is None or not outage.record_probe(reached, now):
            return False
        del self._outages[address]
        self._evidence.pop(address, None)
        return True

    def _end_cut(self, now):
        """End the cut; each lost link is probed at once for itself."""
        self._cut = None
        self._evidence.clear()
        for outage in self._outages.values():
            outage.probe_at = now

    def retain(self, addresses):
        """Drop what is known of addresses that are no longer listed."""
        for known in (
            self._outages,
            self._losses,
            self._evidence,
            self._reached_at,
            self._probed_at,
        ):
            for address in [a for a in known if a not in addresses]:
                del known[address]

    def forget(self, address):
        """Drop what is known of an address that another upstream uses."""
        for known in (self._outages, self._losses, self._evidence):
            known.pop(address, None)
