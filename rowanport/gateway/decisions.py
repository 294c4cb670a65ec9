"""Logs and counts the outcome of each request and send."""

import structlog

from ..errors import ConnectionEnded
from ..incarnation import address_of
from .fingerprint import format_fingerprint
from .fingerprint import format_fingerprints

LOG = structlog.get_logger(__name__)


def _relay_address(path):
    """Return the peer address of the router that relays a Path, or None."""
    if path is None or path.relay is None:
        return None
    return address_of(path.relay)


class DecisionLog:
    """Writes the log lines and counts the outcomes of requests and sends.

    :param metrics: the GatewayMetrics
    :param clock: a Clock
    """

    def __init__(self, metrics, clock):
        self._metrics = metrics
        self._clock = clock

    def log_send(self, job, state, outcome, error, path=None):
        """Log and count a send that did not end in an answer.

        :param state: the UpstreamState of its upstream
        :param outcome: label of the outcome
        :param error: what ended the send
        :param path: the Path that it took, None if it is not known
        """
        self._metrics.sends.inc({"outcome": outcome})
        LOG.info(
            "send",
            request=job.id,
            fingerprint=format_fingerprint(job.fingerprint),
            parts=format_fingerprints(job.parts),
            upstream=state.record.id,
            version=state.record.version,
            events=job.events,
            last_event=job.last_event,
            relay=_relay_address(path),
            tunnel=path and path.tunnel,
            outcome=outcome,
            why=str(error),
            ended=isinstance(error, ConnectionEnded),
            sends=job.sends,
            runs=job.runs,
            failures=state.failures,
        )

    def count_answered(self):
        """Count a send that ended in an answer; log_end() logs it."""
        self._metrics.sends.inc({"outcome": "answered"})

    def log_end(self, job, outcome, arrived, why="", used=None, revision=0):
        """Log and count the end of a request.

        :param job: its Job, or None if it was not admitted
        :param arrived: monotonic time of its arrival
        :param why: reason of an error
        :param used: tokens settled, None if it draws on no budget
        :param revision: revision of the active list of upstreams
        """
        seconds = self._clock.steady() - arrived
        self._metrics.answers.inc({"outcome": outcome})
        self._metrics.request.observe({}, seconds)
        if job is None:
            return LOG.info("request", outcome=outcome, why=why)
        LOG.info(
            "request",
            request=job.id,
            fingerprint=format_fingerprint(job.fingerprint),
            outcome=outcome,
            blocked_by=job.blocked_by,
            why=why,
            route=job.route.name,
            organisation=job.organisation and job.organisation.name,
            config=job.config,
            upstreams=revision,
            tokens=job.tokens and job.tokens.max_total,
            used=used,
            sends=job.sends,
            runs=job.runs,
            upstream=job.upstream,
            version=job.version,
            resumes=job.resumes,
            relay=_relay_address(job.path),
            tunnel=job.path and job.path.tunnel,
            framing=job.framing and job.framing.value,
            end_reason=job.end_reason and job.end_reason.value,
            left_out=job.left_out,
            backlog=job.backlog,
            events=job.events,
            first_ms=self._first_ms(job),
            pause_ms=round(job.longest_pause * 1000),
            view_ms=job.view_age and round(job.view_age * 1000),
            ms=round(seconds * 1000),
        )

    def _first_ms(self, job):
        """Return the milliseconds to the first event, None without one.

        The time is counted in the metrics, too.
        """
        if job.first_event_at is None:
            return None
        seconds = job.first_event_at - job.arrived
        self._metrics.first_event.observe({}, seconds)
        return round(seconds * 1000)
