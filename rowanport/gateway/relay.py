"""Passes an upstream's answer on to the caller."""

import abc

from ..errors import UpstreamError
from .events import EventSplitter

# Larger answers are passed on as they come, not held until they are whole.
BUFFER_LIMIT = 1024 * 1024


class Relay(abc.ABC):
    """Passes one answer on, and notes in its Job how far it came.

    :param job: the Job
    :param fields: headers of the answer that are passed on
    :param answer: the HttpAnswer
    :param responder: the Responder
    :param clock: a Clock
    """

    def __init__(self, job, fields, answer, responder, clock):
        self._job = job
        self._fields = fields
        self._answer = answer
        self._responder = responder
        self._clock = clock

    @abc.abstractmethod
    async def pass_on(self, piece):
        """Take in a piece of the answer, and pass on what can be."""

    @abc.abstractmethod
    async def finish(self):
        """Take in the end of the answer.

        :raises UpstreamError: it is not whole
        """

    async def _start(self):
        """Send the head unless an earlier answer's went out."""
        if not self._responder.started:
            await self._responder.start(self._answer.status, self._fields)


class WholeRelay(Relay):
    """Passes an answer on once it is whole, or too large to hold."""

    def __init__(self, *args):
        super().__init__(*args)
        self._held = []
        self._size = 0

    async def pass_on(self, piece):
        """Hold a piece, or pass on what is too large to hold."""
        self._held.append(piece)
        self._size += len(piece)
        if self._size > BUFFER_LIMIT:
            await self._pass_held()

    async def finish(self):
        """Pass on what is held."""
        if not self._responder.started:
            self._fields.append(("content-length", str(self._size)))
        self._job.complete = True
        await self._pass_held()
        await self._responder.finish()

    async def _pass_held(self):
        await self._start()
        if self._held:
            await self._responder.write(b"".join(self._held))
            self._held.clear()


class EventRelay(Relay):
    """Passes events on as they come, each whole and each once."""

    def __init__(self, *args):
        super().__init__(*args)
        self._splitter = EventSplitter()

    async def pass_on(self, piece):
        """Pass on the events that a piece completes."""
        await self._start()
        job = self._job
        events = [
            event
            for event in self._splitter.feed(piece)
            if _is_next(job, event)
        ]
        if events:
            job.record_events(events, self._clock.steady())
            await self._responder.write(b"".join(e.data for e in events))

    async def finish(self):
        """End the stream."""
        if self._splitter.torn:
            raise UpstreamError("the stream ended within an event")
        await self._start()
        self._job.complete = True
        await self._responder.finish()


def is_stream(answer):
    """Return whether an HttpAnswer is a series of events."""
    kind = answer.headers.get("content-type", "")
    return answer.status == 200 and kind.startswith("text/event-stream")


def _is_next(job, event):
    """Return whether an event has not been passed on yet."""
    if event.id is None or job.last_event is None:
        return True
    return event.id > job.last_event
