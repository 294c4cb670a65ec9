"""One send of a request to one upstream."""

from ..errors import UpstreamError
from .headers import HeaderFilter

# Statuses that tell a caller that nothing ran; an upstream means them so only
# if it marks them.
PROMISES = (408, 429, 503)
# The status that means it without a mark.
MISDIRECTED = 421
# An engine's priorities reach from 0 to 9.
LOWEST_PRIORITY = 9


class NotExecuted(UpstreamError):
    """An upstream says that it did not run the request.

    :ivar misdirected: whether another upstream has its address by now
    """

    def __init__(self, detail, misdirected=False):
        super().__init__(detail, started=False)
        self.misdirected = misdirected


class Exchange:
    """Sends jobs to upstreams and checks the heads of their answers.

    :param client: an HttpClient
    :param dialect: a Dialect
    :param clock: a Clock
    :param limits: the RateLimits, which hear what answers say
    """

    def __init__(self, client, dialect, clock, limits):
        self._limits = limits
        self._client = client
        self._dialect = dialect
        self._clock = clock
        self._filter = HeaderFilter(dialect)

    async def send(self, job, upstream, check):
        """Send a job and return the HttpAnswer that belongs to it.

        It waits as long as the job may.

        :param check: function that is called before the first byte goes out;
            it may raise UpstreamLeft

        :raises NotExecuted: the upstream surely did not run it
        :raises UpstreamError: ``started`` says whether it may have run
        """
        owner = (self._dialect.request_id.encode(), job.id)
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
        self._note_limit(upstream, answer)
        try:
            self._check(job, answer)
        except UpstreamError:
            answer.close()
            raise
        return answer

    def _note_limit(self, upstream, answer):
        """Take in the rate limit that an upstream's own answer names."""
        names = self._dialect
        if answer.status == MISDIRECTED:
            return
        own = names.signature in answer.headers
        if own or names.not_executed in answer.headers:
            text = answer.headers.get(names.rate_limit)
            self._limits.record_answer(upstream.run, text)

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
            headers.append((names.priority, str(rank)))
        last = job.last_event
        if last is None:
            last = job.request.header(names.last_event)
        if last != "":
            headers.append((names.last_event, str(last)))
        return headers

    def _check(self, job, answer):
        """Raise unless the answer is the job's own and may be passed on."""
        names = self._dialect
        if names.not_executed in answer.headers:
            raise NotExecuted(f"status {answer.status}")
        if answer.status == MISDIRECTED:
            raise NotExecuted("another upstream is there", misdirected=True)
        # Passed on, it would let a caller repeat what may have run.
        if answer.status in PROMISES:
            raise UpstreamError(f"status {answer.status} without its mark")
        if names.request_id not in answer.headers:
            raise UpstreamError("an answer without an id")
        if answer.headers.get("content-encoding", "identity") != "identity":
            raise UpstreamError("an encoded answer")
        if answer.status < 300 and names.signature not in answer.headers:
            raise UpstreamError("an answer without a signature")

    def answer_fields(self, answer):
        """Return the headers of an answer that are passed on."""
        return self._filter.answer_fields(answer.fields)
