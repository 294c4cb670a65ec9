"""Limits what this router sends to cold upstreams."""

import structlog

from ..errors import ErrorKind
from ..errors import RequestError
from ..errors import UpstreamLeft
from ..routing import Service
from ..schema.messages import ColdRow
from ..warmup import cold_until
from ..warmup import ColdSends
from ..warmup import parse_cold_time
from ..warmup import SenderQuotas

# Stands for the service of an upstream that the configuration does not name.
NO_SERVICE = Service("", "", 0, 1)
LOG = structlog.get_logger(__name__)

# Seconds after which the entries of upstreams say that they are cold, which
# idled while their data centre was evacuated: a heartbeat and the way to here.
ENTRY_LAG = 1.5


class ColdStarts:
    """The cold upstreams, and this router's part of what they bear.

    :param gateway: the Gateway, for its views and members
    :param address: this router's peer address
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    """

    def __init__(self, gateway, address, clock, metrics):
        self._gateway = gateway
        self._clock = clock
        self._metrics = metrics
        self._address = address
        self._quotas = SenderQuotas(address)
        self._sends = ColdSends()
        # Monotonic time until which an upstream is cold by its own answers, by
        # name of its run.
        self._answered = {}

    # Which upstreams are cold

    def until(self, record):
        """Return the monotonic time until which an upstream is cold.

        :param record: the Upstream
        :returns: a time in the past if it is warm
        """
        until = record.cold_until
        if self._answered:
            until = max(until, self._answered.get(record.run.name, until))
        evacuations = self._gateway.views.evacuations
        returned_at = evacuations.returned_at(record.data_centre)
        if returned_at is None:
            return until
        cold_start = self._service(record).cold_start
        return max(until, returned_at + cold_start + ENTRY_LAG)

    def _service(self, record):
        table = self._gateway.table
        services = table.services if table else {}
        return services.get(record.service, NO_SERVICE)

    def record_answer(self, record, text):
        """Record the cold time that an upstream's health answer names.

        :param record: the Upstream
        :param text: value of the header, None if the answer has none
        """
        if text is None:
            return
        seconds = parse_cold_time(text)
        name = record.run.name
        if seconds is None:
            # Its entry says whether it is cold; noise must not limit it.
            LOG.info("cold_answer_unreadable", upstream=name, text=text[:40])
            return
        now = self._clock.steady()
        known = self._answered.get(name)
        until = cold_until(known, seconds, now)
        if until == known:
            return
        self._answered[name] = until
        if until > now:
            LOG.info(
                "upstream_cold",
                upstream=name,
                seconds=round(until - now, 3),
                text=text[:40],
            )

    def retain(self, names):
        """Drop the state of all upstreams that are no longer listed.

        :param names: names of the runs of the listed upstreams
        """
        self._quotas.retain(names)
        self._sends.retain(names)
        self._answered = {
            name: until
            for name, until in self._answered.items()
            if name in names
        }

    # What may be sent

    def _is_limited(self, record, now):
        return self._service(record).cold_rate > 0 and now < self.until(record)

    def _quota(self, record):
        settled = not self._gateway.views.starting_up or not self._has_others
        rate = self._service(record).cold_rate
        routers = self._gateway.members.addresses
        return self._quotas.quota(record.run.name, rate, routers, settled)

    @property
    def _has_others(self):
        members = self._gateway.members
        named = {*members.seeds, *members.listed} - {self._address}
        return members.knows_peers or bool(named)

    def warm(self, candidates):
        """Return the UpstreamStates among candidates that are not cold."""
        now = self._clock.steady()
        return [s for s in candidates if not self._is_limited(s.record, now)]

    def with_room(self, candidates):
        """Return the candidates to which this router may send now.

        :param candidates: UpstreamStates
        :raises RequestError: all are cold and take no more from this router
        """
        now = self._clock.steady()
        cold = [s for s in candidates if self._is_limited(s.record, now)]
        if not cold:
            return candidates
        times = {
            state: self._available_at(state.record, now) for state in cold
        }
        closed = {state for state, at in times.items() if at > now}
        if len(closed) == len(candidates):
            self._metrics.cold_refusals.inc({})
            raise RequestError(
                ErrorKind.OVERLOADED,
                "all upstreams are cold",
                come_back_at=min(times.values()),
            )
        return [state for state in candidates if state not in closed]

    def _available_at(self, record, now):
        """Return the monotonic time from which a send may be allowed."""
        quota = self._quota(record)
        end = self.until(record)
        if not quota:
            return end
        return min(end, self._sends.available_at(record.run.name, quota, now))

    def acquire(self, record):
        """Count a send to an upstream that is about to begin.

        :raises UpstreamLeft: it is cold and takes no more from this router
        """
        now = self._clock.steady()
        if not self._is_limited(record, now):
            return
        quota = self._quota(record)
        if self._sends.acquire(record.run.name, quota, now):
            self._metrics.cold_sends.inc({"outcome": "sent"})
            return
        self._metrics.cold_sends.inc({"outcome": "held back"})
        raise UpstreamLeft(
            f"upstream is cold, this router's part is {quota} requests a"
            " second"
        )

    # Operators

    def rows(self):
        """Return a ColdRow for each cold upstream."""
        now = self._clock.steady()
        records = self._gateway.upstreams.upstreams.values()
        return [
            ColdRow(
                record.id,
                record.service,
                record.data_centre,
                self.until(record) - now,
                self._quota(record),
            )
            for record in records
            if self._is_limited(record, now)
        ]
