"""Decides which requests are admitted while capacity is short.

It acts in large fleets only.  See docs/design/admission.md.
"""

import random

from ..admission import begin_by
from ..admission import FairShares
from ..admission import LateAnswers
from ..admission import refused_part
from ..admission import Shortage
from ..errors import ErrorKind
from ..errors import RequestError
from ..rates import DecayingMean
from ..rates import DecayingPeak
from .demand_sync import DemandSync
from .demand_sync import id_of

# Part of the objective that the shortest wait may take before capacity is
# short.
SHORT_SHARE = 0.5
# Half-life in seconds of the most work that engines began, which bounds their
# capacity: it outlasts a pause in which they begin nothing.
BEGUN_HALF_LIFE = 5.0
# What may be admitted, relative to the capacity, when the shortest wait just
# counts as short, and when it is as long as the objective.  Below 1 the queues
# shrink; above 1 an estimate that is too low recovers.
MOST_HEADROOM = 1.05
LEAST_HEADROOM = 0.5
# Part of the capacity of a plain service that is admitted while it turns
# requests away, so that its queues shrink.
PLAIN_HEADROOM = 0.85
# Half-life in seconds of the mean time of a plain service's answers.
ANSWER_HALF_LIFE = 10.0
# Weight in that mean of an answer that is slower than the mean.
SLOW_WEIGHT = 0.1


class _Service:
    """What this router knows of the load of one service."""

    __slots__ = (
        "id",
        "shortage",
        "late_answers",
        "answer_seconds",
        "begun",
    )

    def __init__(self, name):
        self.id = id_of(name)
        self.shortage = Shortage()
        self.late_answers = LateAnswers()
        self.answer_seconds = DecayingMean(ANSWER_HALF_LIFE)
        self.begun = DecayingPeak(BEGUN_HALF_LIFE)


class AdmissionControl:
    """Refuses what is beyond fair shares, and admits late answers.

    :param gateway: the Gateway, whose components it uses
    :ivar sync: the DemandSync
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self.sync = DemandSync(gateway)
        self._book = self.sync.book
        self._services = {}

    def _service(self, name):
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(name)
        return service

    # Fair shares

    def check(self, job):
        """Count a job's demand; refuse the job if that is beyond its share.

        A stream that is taken up is not refused, as a part of it was served.

        :raises RequestError: overloaded; it names the time for a retry
        """
        if not self._gateway.large_fleet:
            return
        now = self._clock.steady()
        candidates = self._gateway.pool.candidates(
            job.service, (), now, job.version
        )
        if not candidates:
            return
        service = self._service(job.service)
        job.work = self._work(job, candidates, now)
        owner = id_of(job.organisation.name) if job.organisation else None
        # Requests without an organisation are demand of the others.
        self._book.record(service.id, owner or 0, job.priority, job.work, now)
        demand = self._book.demand(service.id, now)
        capacity = self._short_capacity(job, service, demand, candidates, now)
        if capacity is None:
            return
        ends_at = service.shortage.record(now)
        if owner is None or job.takes_up:
            return
        shares = FairShares(capacity, demand.organisations, demand.others)
        excess = shares.excess(owner)
        parts = self._book.rank_parts(service.id, owner, job.priority, now)
        if random.random() < refused_part(excess, *parts):
            self._refuse(job, excess, now, ends_at)

    def _refuse(self, job, excess, now, ends_at):
        self._gateway.metrics.share_refusals.inc({"service": job.service})
        raise RequestError(
            ErrorKind.OVERLOADED,
            f"{excess:.0%} of the organisation's demand is beyond its share",
            come_back_at=random.uniform(now, ends_at),
        )

    def _work(self, job, candidates, now):
        """Return the units of work that a job asks for.

        They are prompt tokens that have to be read, for a plain service
        requests.
        """
        if job.tokens is None:
            return 1
        unread = self._gateway.unread
        return max(1, min(unread(state, job, now) for state in candidates))

    def _short_capacity(self, job, service, demand, candidates, now):
        """Return the units a second that can be done, None unless short."""
        if job.tokens is None:
            if not demand.turned_away:
                return None
            # Upstreams can do at least what they do.
            capacity = self._plain_capacity(service, candidates)
            return PLAIN_HEADROOM * max(demand.begun, capacity)
        wait = min(state.start_delay(now) for state in candidates)
        wait /= job.route.objective
        if wait <= SHORT_SHARE:
            return None
        capacity = sum(state.backlog.rate for state in candidates)
        # What one router alone saw begin is too little to go by.
        if demand.begun and self._book.knows_fleet(now):
            capacity = min(capacity, service.begun.update(demand.begun, now))
        if demand.total <= MOST_HEADROOM * capacity:
            # The queue is not due to demand, as after a pause of engines.
            return None
        return _headroom(wait) * capacity

    @staticmethod
    def _plain_capacity(service, candidates):
        seconds = service.answer_seconds.mean
        if not seconds:
            return float("inf")
        return sum(state.record.slots for state in candidates) / seconds

    # Late answers

    def begin_by(self, job):
        """Return the time by which a job has to begin, None for any time."""
        if not self._gateway.large_fleet:
            return None
        route = job.route
        return begin_by(
            job.arrived, job.deadline, route.objective, route.gap_objective
        )

    def accept_late(self, job, late, candidates):
        """Return whether a late job runs with the lowest urgency.

        :param late: its LateStart
        :param candidates: UpstreamStates to which it may be sent
        """
        latest = self.begin_by(job)
        if latest is None:
            return False
        now = self._clock.steady()
        service = self._service(job.service)
        answers = service.late_answers
        busy = self._busy(service, candidates, now)
        if not answers.accepts(late.wait, busy, latest, now):
            return False
        answers.record_send(job, now)
        job.background = True
        self._gateway.metrics.late_sends.inc({"service": job.service})
        return True

    def _busy(self, service, candidates, now):
        """Return the part of the engines' capacity that is in use.

        All of it counts as in use while the state of the fleet is not known:
        late requests that do not begin cost more than refusals.
        """
        alone = not self._gateway.members.live_peers()
        if not alone and not self._book.knows_fleet(now):
            return 1.0
        begun = self._book.demand(service.id, now).begun
        return begun / sum(state.backlog.rate for state in candidates)

    def release(self, job):
        """Note that a job ended; may be called more than once."""
        if job.background:
            now = self._clock.steady()
            self._service(job.service).late_answers.record_end(job, now)

    # What upstreams did

    def record_answer(self, job, seconds):
        """Record that an upstream began to answer a job.

        :param seconds: time since the send
        """
        if not self._gateway.large_fleet:
            return
        now = self._clock.steady()
        service = self._service(job.service)
        self.release(job)
        if not job.events:
            self._book.record_begun(service.id, job.work, now)
        if job.tokens is None:
            self._record_seconds(service, seconds, now)

    def _record_seconds(self, service, seconds, now):
        """Record the time of a plain answer.

        Queues make answers later, in an overload by several times.  So what
        is slower than the mean counts less than what is faster.
        """
        known = service.answer_seconds.mean
        slow = known is not None and seconds > known
        weight = SLOW_WEIGHT if slow else 1.0
        service.answer_seconds.add(seconds, now, weight)

    def record_turned_away(self, job):
        """Record that an upstream turned a job away."""
        if job.tokens is None and self._gateway.large_fleet:
            now = self._clock.steady()
            self._book.record_turned_away(self._service(job.service).id, now)


def _headroom(wait):
    """Return the headroom at a wait, relative to the objective."""
    part = min(1.0, (wait - SHORT_SHARE) / (1 - SHORT_SHARE))
    return MOST_HEADROOM + part * (LEAST_HEADROOM - MOST_HEADROOM)
