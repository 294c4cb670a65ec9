"""Passes an upstream's answer on to the caller."""

from ..errors import UpstreamError
from .events import EventSplitter

# Larger answers are passed on as they come, not held until they are whole.
BUFFER_LIMIT = 1024 * 1024
SERVER_ERROR = 500
# Longest silence in seconds within a stream that may be resumed, before it
# goes on elsewhere: callers give a stream up after 2 s or more.
EVENT_SILENCE = 1.5


class Relay:
    """Passes answers on, whole or event by event.

    :param exchange: the Exchange, for the headers that are passed on
    :param clock: a Clock
    """

    def __init__(self, exchange, clock):
        self._exchange = exchange
        self._clock = clock

    async def pass_on(self, job, answer, responder):
        """Pass an HttpAnswer on and note in the job how far it came.

        :raises UpstreamError: it broke off, or the job may go elsewhere
        """
        if is_stream(answer):
            await self._pass_on_events(job, answer, responder)
        else:
            await self._pass_on_whole(job, answer, responder)

    async def _pass_on_whole(self, job, answer, responder):
        """Pass an answer on once it is whole, or too large to hold."""
        if answer.status >= SERVER_ERROR and self._may_repeat(job, responder):
            answer.close()
            raise UpstreamError(f"status {answer.status}")
        if responder.started:
            raise UpstreamError(f"status {answer.status} instead of events")
        fields = self._exchange.answer_fields(answer)
        held = []
        size = 0
        async for piece in answer.pieces():
            held.append(piece)
            size += len(piece)
            if size > BUFFER_LIMIT:
                await self._pass_piece(answer, fields, held, responder)
        if not responder.started:
            fields.append(("content-length", str(size)))
        job.whole = True
        await self._pass_piece(answer, fields, held, responder)
        await responder.finish()

    async def _pass_piece(self, answer, fields, held, responder):
        """Send what is held of an answer, its head first."""
        if not responder.started:
            await responder.start(answer.status, fields)
        if held:
            await responder.write(b"".join(held))
            held.clear()

    def _may_repeat(self, job, responder):
        route = job.route
        return (
            not responder.started
            and route.repeatable
            and job.runs < route.max_sends
        )

    async def _pass_on_events(self, job, answer, responder):
        """Pass events on as they come, each whole and each once."""
        splitter = EventSplitter()
        if not responder.started:
            fields = self._exchange.answer_fields(answer)
            await responder.start(answer.status, fields)
        answer.set_timeout(self._event_silence(job))
        async for piece in answer.pieces():
            events = [
                event for event in splitter.feed(piece) if _is_next(job, event)
            ]
            if events:
                job.note_events(events, self._clock.steady())
                await responder.write(b"".join(e.data for e in events))
        if splitter.torn:
            raise UpstreamError("the stream ended within an event")
        job.whole = True
        await responder.finish()

    def _event_silence(self, job):
        left = job.deadline - self._clock.steady()
        if job.route.resumable and job.runs < job.route.max_sends:
            return min(left, EVENT_SILENCE)
        return left


def is_stream(answer):
    """Return whether an HttpAnswer is a series of events."""
    kind = answer.headers.get("content-type", "")
    return answer.status == 200 and kind.startswith("text/event-stream")


def _is_next(job, event):
    """Return whether an event has not been passed on yet."""
    if event.id is None or job.last_event is None:
        return True
    return event.id > job.last_event
