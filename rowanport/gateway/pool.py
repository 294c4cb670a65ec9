"""This router's state of each upstream, and which upstreams take requests."""

from ..evacuations import Evacuations
from .backlog import Backlog
from .stream_pauses import StreamPauses

# Consecutive failures after which an upstream is ejected, and for how many
# seconds.  A failed connection counts as two failures.
EJECT_AFTER = 2
EJECT_SECONDS = 2.0
# Seconds for which a crashed upstream is ejected; by then its entry is gone.
CRASH_EJECT_SECONDS = 5.0
# Most ids by reason in a list of upstreams that are left out: it stands in the
# log line of a request.
MAX_LEFT_OUT = 8
# Seconds that each running request adds to the expected wait, as much as 500
# prompt tokens.
RUNNING_SECONDS = 0.01
# The same in prompt tokens, where the rate of each engine is learned.
RUNNING_TOKENS = 500


class UpstreamState:
    """What this router knows of an upstream.

    :ivar record: the Upstream as listed
    :ivar outstanding: requests of this router that run there
    :ivar backlog: the Backlog of prompt tokens that it has not processed
    :ivar stream_pauses: the StreamPauses of its recent streams
    :ivar failures: consecutive failures
    :ivar ejected_until: monotonic time until which it gets no requests
    :ivar crashed_until: the same after a crash
    :ivar says_leaving: whether its answers say that it leaves
    :ivar backoff: the Backoff that it asked this router for, or None
    """

    __slots__ = (
        "record",
        "outstanding",
        "backlog",
        "stream_pauses",
        "failures",
        "ejected_until",
        "crashed_until",
        "says_leaving",
        "backoff",
    )

    def __init__(self, record):
        self.record = record
        self.outstanding = 0
        self.backlog = Backlog()
        self.stream_pauses = StreamPauses()
        self.failures = 0
        self.ejected_until = 0.0
        self.crashed_until = 0.0
        self.says_leaving = False
        self.backoff = None

    @property
    def leaving(self):
        """Return whether it gets no new requests, by its entry or answers."""
        return self.record.leaving or self.says_leaving

    @property
    def withdrawn(self):
        """Return whether its answers keep requests away from it."""
        return self.says_leaving or self.backoff is not None

    def available_at(self, now):
        """Return the monotonic time from which it may get a request."""
        return now if self.backoff is None else self.backoff.available_at(now)

    def is_backed_off(self, now):
        """Return whether it refused requests and may get none yet."""
        return (
            self.backoff is not None and self.backoff.available_at(now) > now
        )

    def expected_wait(self, uncached, now):
        """Return the expected seconds to the first event of one more request.

        :param uncached: prompt tokens of the request that are not cached there
        """
        tokens = self.backlog.tokens(now) + uncached
        if self.backlog.speed is None:
            running = RUNNING_SECONDS * self.outstanding
            return tokens / self.backlog.rate + running
        tokens += RUNNING_TOKENS * self.outstanding
        return self.backlog.fixed + tokens / self.backlog.rate

    def start_delay(self, now):
        """Return the expected seconds until it starts one more request.

        The request's own prompt does not count: a large prompt takes long on
        an idle engine too, and a request refused for it would be served
        nowhere.  The same holds for the fixed time to a first event.
        """
        delay = self.expected_wait(0, now) - self.backlog.fixed
        return delay + self.backlog.lag(now)

    def record_success(self):
        """Record that the upstream answered a request."""
        self.failures = 0

    def record_failure(self, now, weight=1):
        """Record a failure; eject the upstream after EJECT_AFTER of them.

        :param weight: number of failures that it counts as
        """
        self.failures += weight
        if self.failures >= EJECT_AFTER:
            self.failures = EJECT_AFTER - 1
            self.ejected_until = now + EJECT_SECONDS

    def record_crash(self, at):
        """Record a crash: for a while nothing listens at its address."""
        self.crashed_until = max(self.crashed_until, at + CRASH_EJECT_SECONDS)


class UpstreamPool:
    """The states of all upstreams, by service.

    :param evacuations: the Evacuations, None for none
    """

    def __init__(self, evacuations=None):
        self._states = {}
        # Those whose answers keep requests away, hardly ever any.
        self._withdrawn = set()
        self._evacuations = evacuations or Evacuations()

    @property
    def any_withdrawn(self):
        """Return whether answers keep requests away from any upstream."""
        return bool(self._withdrawn)

    def update(self, upstreams, notices=None):
        """Apply a list of upstreams.

        The state of an upstream that restarted under the same id is dropped.

        :param upstreams: Upstream by id
        :param notices: the UpstreamNotices, None for none
        :returns: the ids of the upstreams that restarted
        """
        states, restarted, added = {}, [], []
        for name, record in upstreams.items():
            state = self._states.get(name)
            if state is not None and state.record.run != record.run:
                restarted.append(name)
                state = None
            if state is None:
                state = UpstreamState(record)
                added.append(state)
                if notices is not None:
                    notices.mark(state)
            state.record = record
            states[name] = state
        self._states = states
        self._withdrawn = {
            state
            for state in (*self._withdrawn, *added)
            if state.withdrawn and states.get(state.record.id) is state
        }
        return restarted

    def records(self):
        """Return the Upstreams as listed."""
        return [state.record for state in self._states.values()]

    def find_run(self, name):
        """Return the UpstreamState of a run, or None.

        :param name: name of the run
        """
        for state in self._states.values():
            if state.record.run.name == name:
                return state
        return None

    def set_backoff(self, name, backoff):
        """Set the Backoff of a run, None for none."""
        state = self.find_run(name)
        if state is not None:
            state.backoff = backoff
            self._record_withdrawn(state)

    def set_leaving(self, name, leaving):
        """Set whether the answers of a run say that it leaves."""
        state = self.find_run(name)
        if state is not None:
            state.says_leaving = leaving
            self._record_withdrawn(state)

    def _record_withdrawn(self, state):
        if state.withdrawn:
            self._withdrawn.add(state)
        else:
            self._withdrawn.discard(state)

    def by_address(self):
        """Return the Upstreams that are not leaving, by address."""
        records = {
            state.record.address: state.record
            for state in self._states.values()
            if not state.record.leaving
        }
        for state in self._withdrawn:
            if state.says_leaving:
                records.pop(state.record.address, None)
        return records

    def use_speeds(self, speeds):
        """Let backlogs use the speeds that the fleet learns.

        :param speeds: the EngineSpeeds, None for this router's own estimates
        """
        for state in self._states.values():
            state.backlog.speeds = speeds
            state.backlog.speed = speeds and speeds.of(state.record.run)

    def get(self, name):
        """Return the UpstreamState of an upstream's id, or None."""
        return self._states.get(name)

    def of_service(self, service):
        """Return the UpstreamStates of a service that are not leaving."""
        listed = [
            state
            for state in self._states.values()
            if state.record.service == service and not state.record.leaving
        ]
        if not self._withdrawn:
            return listed
        return [state for state in listed if not state.says_leaving]

    def all_leave(self, service):
        """Return whether a service has upstreams, and all are leaving."""
        states = self._all(service)
        return bool(states) and all(state.leaving for state in states)

    def available_at(self, service, now):
        """Return when the first upstream of a service takes requests again.

        :returns: monotonic time, None unless this router backs off
            from all that do not leave
        """
        times = [state.available_at(now) for state in self.of_service(service)]
        first = min(times, default=now)
        return first if first > now else None

    def left_out(self, service, now):
        """Return the ids of upstreams whose answers keep requests away.

        :returns: some of the ids by reason, "leaving" or "backed_off"; without
            reasons that concern none
        """
        states = self._all(service)
        leaving = [s.record.id for s in states if s.says_leaving]
        backed_off = [s.record.id for s in states if s.is_backed_off(now)]
        rows = {"leaving": leaving, "backed_off": backed_off}
        return {why: ids[:MAX_LEFT_OUT] for why, ids in rows.items() if ids}

    def _all(self, service):
        return [
            state
            for state in self._states.values()
            if state.record.service == service
        ]

    def candidates(self, service, avoid, now, version=None):
        """Return the UpstreamStates to which a request may be sent.

        Those of evacuated data centres, and those from which this router backs
        off, never are, also if there are no others.  Ejected upstreams are
        included only if more than half of those of the service are ejected:
        the cause is then hardly the upstreams themselves.

        :param avoid: UpstreamRuns to which it must not be sent again, usually
            none
        :param version: version that they must have, None for any; none have
            "", which stands for unknown versions
        """
        accepting = [
            state
            for state in self.of_service(service)
            if not self._evacuations.covers(state.record.data_centre)
            and (version is None or version == state.record.version != "")
        ]
        if self._withdrawn:
            accepting = [s for s in accepting if not s.is_backed_off(now)]
        accepting = [
            s for s in accepting if s.crashed_until <= now
        ] or accepting
        healthy = [s for s in accepting if s.ejected_until <= now]
        if 2 * len(healthy) < len(accepting):
            healthy = accepting
        if not avoid:
            return healthy
        fresh = [s for s in healthy if s.record.run not in avoid]
        return fresh or [s for s in accepting if s.record.run not in avoid]
