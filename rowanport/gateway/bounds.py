"""Counts and logs what was cut off as it was no answer within its bounds."""

import structlog

LOG = structlog.get_logger(__name__)

# Bytes of what an upstream sent that a log line shows.
SHOWN_BYTES = 64


class BoundLog:
    """Records the connections that were closed for a bound.

    :param metrics: the GatewayMetrics
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def record(self, address, error, request_id=None):
        """Record a BoundExceeded, unless it has been recorded before.

        :param address: IP and port of the upstream or the store
        :param request_id: id of the request, None if it is not known
        """
        if error.recorded:
            return
        error.recorded = True
        self._count(error.bound)
        LOG.warning(
            "bound_exceeded",
            bound=error.bound,
            address=address,
            request_id=request_id,
            why=str(error),
        )

    def record_foreign(self, upstream, error, job):
        """Record bytes of a stream that its run did not make.

        :param upstream: the Upstream that sent them
        :param error: the ForeignBytes
        :param job: the Job
        """
        self._metrics.foreign_bytes.inc({"kind": error.kind})
        LOG.warning(
            "foreign_bytes",
            kind=error.kind,
            request=job.id,
            upstream=upstream.id,
            offset=error.offset,
            size=len(error.data),
            bytes=ascii(error.data[:SHOWN_BYTES]),
            events=job.events,
            last_event=job.last_event,
            spoils_last=error.spoils_last,
        )

    def record_peer(self, bound, address, why):
        """Record that the connection of a peer was closed for a bound."""
        self._count(bound)
        LOG.warning("bound_exceeded", bound=bound, address=address, why=why)

    def record_stalled(self):
        """Count a caller that took nothing; the server logs it."""
        self._count("slow caller")

    def record_truncated(self):
        """Count a stream that ended within an event; its send is logged."""
        self._count("truncated stream")

    def _count(self, bound):
        self._metrics.exceeded_bounds.inc({"bound": bound})
