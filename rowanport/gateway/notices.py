"""What upstreams say of themselves in the heads of their answers."""

import structlog

LOG = structlog.get_logger(__name__)

# Longest part of a header's value that is logged.
LOGGED_LENGTH = 40


class UpstreamNotices:
    """Reads what an upstream says of itself in its answers.

    :param dialect: a Dialect
    """

    def __init__(self, dialect):
        self._dialect = dialect
        # What each upstream said last, by name of its run.
        self._said = {}

    def record_answer(self, record, answer, request):
        """Record an answer of an upstream.

        :param record: the Upstream that answered
        :param answer: the HttpAnswer
        :param request: id of the request, for the log
        """
        names = self._dialect
        leaving = answer.headers.get(names.leaving)
        rest = answer.headers.get(names.retry_after)
        said = (leaving, rest)
        if said != self._said.get(record.run.name, (None, None)):
            self._said[record.run.name] = said
            LOG.info(
                "upstream_notice",
                upstream=record.run.name,
                request=request,
                status=answer.status,
                leaving=leaving and leaving[:LOGGED_LENGTH],
                retry_after=rest and rest[:LOGGED_LENGTH],
            )

    def retain(self, names):
        """Drop the state of all upstreams that are no longer listed.

        :param names: names of the runs of the listed upstreams
        """
        self._said = {k: v for k, v in self._said.items() if k in names}
