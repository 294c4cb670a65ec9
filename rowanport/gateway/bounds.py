"""Counts and logs what was cut off as it went beyond a bound."""

import structlog

LOG = structlog.get_logger(__name__)


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
