"""Forwards an upstream's answer to the caller."""

import abc

from ..errors import BoundExceeded
from ..event_streams import EventReader
from ..routing import RouteKind

# Size in bytes up to which an answer is buffered until it is complete; a
# larger one is forwarded as it arrives, if it tells where it ends.
BUFFER_LIMIT = 1024 * 1024
# Media type of a stream of events.
STREAM_TYPE = "text/event-stream"


class Relay(abc.ABC):
    """Forwards one answer, and records the progress in its Job.

    :param job: the Job
    :param fields: headers to forward
    :param answer: the HttpAnswer
    :param responder: the Responder of the caller
    :param clock: a Clock
    """

    def __init__(self, job, fields, answer, responder, clock):
        self._job = job
        self._fields = fields
        self._answer = answer
        self._responder = responder
        self._clock = clock

    @property
    @abc.abstractmethod
    def ready(self):
        """Return whether something can be forwarded before the end."""

    @property
    def has_progress(self):
        """Return whether progress has come that was not forwarded yet."""
        return self.ready

    @property
    def fault(self):
        """Return the UpstreamError behind what can be forwarded, or None."""
        return None

    @property
    def has_events(self):
        """Return whether events of this answer have been forwarded."""
        return False

    @abc.abstractmethod
    def feed(self, chunk):
        """Add a chunk of the answer.

        :raises UpstreamError: the answer may never end
        """

    def check_end(self):
        """Check that the answer may end here.

        :raises UpstreamError: it is incomplete
        """

    @abc.abstractmethod
    async def forward(self):
        """Forward what can be; return whether that was anything."""

    @abc.abstractmethod
    async def finish(self):
        """Forward the end of the answer."""

    async def _start(self):
        """Send the head, unless that of an earlier answer was sent."""
        if not self._responder.started:
            await self._responder.start(self._answer.status, self._fields)


class BufferedRelay(Relay):
    """Buffers an answer until it is complete or too large to buffer."""

    def __init__(self, *args):
        super().__init__(*args)
        self._buffer = bytearray()
        self._size = 0
        self._has_progress = False

    @property
    def ready(self):
        return bool(self._buffer) and self._size > BUFFER_LIMIT

    @property
    def has_progress(self):
        # Any part of the answer is.
        return self._has_progress

    def feed(self, chunk):
        """Buffer a chunk.

        :raises BoundExceeded: the answer is too large to buffer, and does not
            tell where it ends: it may never end
        """
        self._buffer += chunk
        self._size += len(chunk)
        self._has_progress = True
        if self._size > BUFFER_LIMIT and not self._answer.framed:
            raise BoundExceeded("answer without a length", BUFFER_LIMIT)

    async def forward(self):
        """Forward the buffer if it is too large; a part of it is progress."""
        self._has_progress = False
        if self.ready:
            await self._flush()
        return True

    async def finish(self):
        if not self._responder.started:
            self._fields.append(("content-length", str(self._size)))
        self._job.complete = True
        await self._flush()
        await self._responder.finish()

    async def _flush(self):
        await self._start()
        if self._buffer:
            await self._responder.write(bytes(self._buffer))
            self._buffer.clear()


class EventRelay(Relay):
    """Forwards complete events of a run as they arrive, each of them once.

    :param begin: function that is called before the first event is forwarded
    """

    def __init__(self, job, fields, answer, responder, clock, begin):
        super().__init__(job, fields, answer, responder, clock)
        self._begin = begin
        # Other routes do not say what their events look like.
        numbered = job.route.kind is RouteKind.STREAM
        self._reader = EventReader(job.last_event, numbered)
        self._events = []
        self._has_events = False

    @property
    def ready(self):
        return bool(self._events)

    @property
    def fault(self):
        return self._reader.fault

    @property
    def has_events(self):
        return self._has_events

    def feed(self, chunk):
        self._events += self._reader.feed(chunk)

    def check_end(self):
        """Read what the end completes, and check that the run ends there.

        :raises ForeignBytes: the run did not make what it completes
        :raises StreamTruncated: an event is incomplete
        """
        self._events += self._reader.finish()
        self._reader.check_end(self._answer.framed)

    async def forward(self):
        """Forward the events that have arrived.

        A part of a large event is progress as well: otherwise the request
        would run at another upstream while the event is arriving.
        """
        events, self._events = self._events, []
        if not events:
            return self._reader.has_partial_fields
        # Only an event shows that there is an answer to begin.
        await self._start()
        self._has_events = True
        if self._job.first_event_at is None:
            self._begin()
        self._job.record_events(events, self._clock.steady())
        await self._responder.write(b"".join(e.data for e in events))
        return True

    async def finish(self):
        await self._start()
        if self._reader.trailing:
            await self._responder.write(self._reader.trailing)
        self._job.repeated = self._reader.repeated
        self._job.complete = True
        await self._responder.finish()


def is_stream(answer):
    """Return whether an HttpAnswer is a stream of events."""
    kind, _, _parameters = answer.headers.get("content-type", "").partition(
        ";"
    )
    # Media types have no case.
    return answer.status == 200 and kind.strip().lower() == STREAM_TYPE
