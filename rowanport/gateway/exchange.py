"""Sends requests to upstreams and validates their answers' heads."""

from ..errors import UpstreamError
from ..routing import RouteKind
from .headers import HeaderFilter
from .relay import is_stream

# Statuses by which callers conclude that a request was not executed.  An
# answer of an upstream says so only if it has the not-executed header, too.
NOT_EXECUTED_STATUSES = (408, 429, 503)
# The status that says so without that header.
MISDIRECTED = 421
# Priorities of an engine range from 0 to 9.
LOWEST_PRIORITY = 9


class NotExecuted(UpstreamError):
    """An upstream answered that it did not execute the request.

    :ivar misdirected: whether another upstream uses its address now
    """

    def __init__(self, detail, misdirected=False):
        super().__init__(detail, started=False)
        self.misdirected = misdirected


class Exchange:
    """Sends jobs to upstreams and validates the heads of their answers.

    :param client: an HttpClient
    :param dialect: a Dialect
    :param clock: a Clock
    :param notices: the UpstreamNotices, updated from the answers
    """

    def __init__(self, client, dialect, clock, notices):
        self._notices = notices
        self._client = client
        self._dialect = dialect
        self._clock = clock
        self._filter = HeaderFilter(dialect)

    async def send(self, job, upstream, check):
        """Send a job; return its HttpAnswer once the head has arrived.

        There is no time-out here; the caller limits the job's time.

        :param check: function that is called before the first byte is sent; it
            may raise UpstreamLeft
        :raises NotExecuted: the upstream did not execute the request
        :raises UpstreamError: ``started`` tells whether it may have run
        """
        owner = (self._dialect.request_id.encode(), job.id)
        sent_at = self._clock.steady()
        answer = await self._client.request(
            upstream.address,
            job.request.method,
            job.request.path,
            job.request.body,
            self._headers(job, upstream),
            None,
            owner if job.id else None,
            check=check,
        )
        self._notices.record_answer(upstream, answer, job.id, sent_at)
        try:
            self._check(job, answer)
        except UpstreamError as error:
            error.path = answer.path
            answer.close()
            raise
        return answer

    def _headers(self, job, upstream):
        names = self._dialect
        headers = self._filter.request_fields(job.request.fields)
        headers.append((names.expected_instance, upstream.id))
        left = job.deadline - self._clock.steady()
        headers.append((names.timeout_ms, str(max(1, int(left * 1000)))))
        if job.organisation is not None:
            headers.append((names.organisation, job.organisation.name))
        if job.tokens is not None:
            rank = min(LOWEST_PRIORITY, job.priority)
            if job.background:
                rank = LOWEST_PRIORITY
            headers.append((names.priority, str(rank)))
        last = job.last_event
        if last is None:
            last = job.request.header(names.last_event)
        if last == "" and job.resuming:
            last = 0
        if last != "":
            headers.append((names.last_event, str(last)))
        return headers + self._copy_headers(job.migration)

    def _copy_headers(self, migration):
        """Return the headers on the copy of a run, which may have none."""
        names = self._dialect
        if migration is None:
            return []
        if migration.place is None:
            if not migration.is_backup:
                return []
            return [(names.backup_to, migration.target.address)]
        copy = f"{migration.copy_address}/{migration.handle}"
        return [(names.resume_from, copy)]

    def _check(self, job, answer):
        """Raise UpstreamError unless the answer may be forwarded."""
        names = self._dialect
        if names.not_executed in answer.headers:
            raise NotExecuted(f"status {answer.status}")
        if answer.status == MISDIRECTED:
            raise NotExecuted(
                "another upstream at the address", misdirected=True
            )
        # If forwarded, a caller might repeat a request that may have run.
        if answer.status in NOT_EXECUTED_STATUSES:
            raise UpstreamError(
                f"status {answer.status} without a not-executed header"
            )
        if names.request_id not in answer.headers:
            raise UpstreamError("answer without a request id")
        if answer.headers.get("content-encoding", "identity") != "identity":
            raise UpstreamError("answer with a content encoding")
        if answer.status < 300 and names.signature not in answer.headers:
            raise UpstreamError("answer without a signature")
        streams = job.route.kind is RouteKind.STREAM
        if streams and answer.status == 200 and not is_stream(answer):
            kind = answer.headers.get("content-type", "")
            raise UpstreamError(f"{kind!r:.80} in place of a stream")

    def answer_fields(self, answer):
        """Return the headers of an answer that are forwarded."""
        return self._filter.answer_fields(answer.fields)
