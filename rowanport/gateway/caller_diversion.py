"""Leaves callers to other routers while the own link is too full."""

import asyncio
import random

import structlog

from ..errors import CallerDiverted
from .answer_sizes import AnswerSizes

LOG = structlog.get_logger(__name__)

# Seconds between two checks while the link is used.
CHECK_INTERVAL = 0.025
# Use of the link, as a part of its rate, below which it is not checked.  It is
# a quarter of the least target, and below it most routers would only spend
# processor time on checks.
IDLE_SHARE = 0.1
# Seconds after the last pause or refusal in which callers still count as
# diverted, so that the log tells of one crowd once.
EPISODE = 2.0


class Passage:
    """A request and its answer on the link.

    :ivar organisation: name of its organisation, "" if it has none
    :ivar size: bytes of its head and body
    :ivar job: its Job once it is admitted, or None
    """

    __slots__ = (
        "organisation",
        "size",
        "responder",
        "job",
        "sends",
        "answered",
        "pending_in",
        "pending_out",
    )

    def __init__(self, organisation, size, responder):
        self.organisation = organisation
        self.size = size
        self.responder = responder
        self.job = None
        self.sends = 0
        self.answered = 0
        self.pending_in = 0.0
        self.pending_out = 0.0


class CallerDiversion:
    """Counts what passes the own link, and acts on the Diversion.

    Nothing is counted while the rate of the link is not known.

    :param gateway: the Gateway, whose components it uses
    :param tasks: a TaskSet
    """

    def __init__(self, gateway, tasks):
        self._gateway = gateway
        self._clock = gateway.clock
        self._metrics = gateway.metrics
        self._tasks = tasks
        self._sizes = AnswerSizes()
        self._passages = set()
        self._checking = False
        self._episode_end = None
        self.server = None

    @property
    def _diversion(self):
        return self._gateway.diversion

    @property
    def _enabled(self):
        return self._diversion.use.link_rate > 0.0

    @property
    def link_share(self):
        """Return the used part of the own link."""
        return self._diversion.use.share(self._clock.steady())

    @property
    def diverting(self):
        """Return whether callers were left to others in the last seconds."""
        return self._episode_end is not None

    @property
    def _active(self):
        """Return whether new connections should go to other routers."""
        # Known peers count, alive or not: on a full link none seems alive.
        return self._gateway.members.knows_peers and self._diversion.is_active(
            self._clock.steady(), self._gateway.congestion.congested
        )

    def _draw(self, passage):
        """Draw whether a request is one of those beyond a share."""
        if not self._gateway.members.knows_peers:
            return False
        excess = self._diversion.excess(
            passage.organisation,
            self._clock.steady(),
            self._gateway.congestion.congested,
        )
        return random.random() < excess

    # Connections

    def admit_connection(self):
        """Return whether a new connection is served, and count it if so."""
        if not self._enabled:
            return True
        self._start_checks()
        if self._active:
            self._pause()
            return False
        self._diversion.record_connection(self._clock.steady())
        if self._active:
            self._pause()
        return True

    def _pause(self):
        if not self.server.paused:
            self.server.pause()
            self._metrics.accept_pauses.inc({})
        self._note_diverted()

    # Requests

    def begin(self, request, responder):
        """Count a request that has come; return its Passage, or None."""
        if not self._enabled:
            return None
        size = len(request.body) + sum(
            len(name) + len(value) + 4 for name, value in request.fields
        )
        passage = Passage(self._organisation(request), size, responder)
        now = self._clock.steady()
        self._diversion.record_request(
            passage.organisation, size, responder.first, now
        )
        self._passages.add(passage)
        self._start_checks()
        return passage

    def check(self, passage):
        """Refuse a request, or let its connection close, if it is too much.

        :param passage: its Passage, or None
        :raises CallerDiverted: it is left to another router
        """
        if passage is None or not self._draw(passage):
            return
        # The caller's next connection goes elsewhere during a pause.
        passage.responder.closing = True
        self._metrics.diverted.inc({"organisation": passage.organisation})
        self._note_diverted()
        raise CallerDiverted()

    def protects(self, job):
        """Return whether a job is served though the link is congested.

        Its organisation has no more than its share of the link.
        """
        if not self._enabled:
            return False
        name = job.organisation.name if job.organisation else ""
        now = self._clock.steady()
        return not self._diversion.excess(name, now, congested=True)

    def accept(self, passage, job):
        """Count what is still to pass for a request that is served."""
        if passage is None:
            return
        passage.job = job
        answer = self._sizes.expected(job.route.name)
        passage.pending_in = answer
        passage.pending_out = passage.size + answer
        self._diversion.use.add_pending(
            passage.pending_in, passage.pending_out
        )

    def end(self, passage):
        """Count what is left of a request that is answered or given up."""
        if passage is None:
            return
        self._count(passage)
        self._passages.discard(passage)
        self._diversion.use.add_pending(
            -passage.pending_in, -passage.pending_out
        )
        job = passage.job
        if job is not None and job.complete:
            seconds = self._clock.steady() - job.arrived
            self._sizes.record(job.route.name, passage.answered, seconds)

    def _organisation(self, request):
        table = self._gateway.table
        if table is None or not table.requires_keys:
            return ""
        key = request.header(self._gateway.dialect.key)
        organisation = table.find_organisation(key)
        return organisation.name if organisation else ""

    def _count(self, passage):
        """Count what has passed since the last look."""
        now = self._clock.steady()
        job = passage.job
        sends = job.sends if job is not None else 0
        if sends > passage.sends:
            for _send in range(sends - passage.sends):
                self._diversion.record_sent(passage.size, now)
            if not passage.sends:
                self._settle(passage, 0.0, passage.size)
            passage.sends = sends
        answered = passage.responder.sent
        if answered > passage.answered:
            size = answered - passage.answered
            passage.answered = answered
            self._diversion.record_answer(
                passage.organisation, size, now, relayed=sends > 0
            )
            self._settle(passage, size, size)

    def _settle(self, passage, size_in, size_out):
        """Count bytes that were pending as passed."""
        size_in = min(size_in, passage.pending_in)
        size_out = min(size_out, passage.pending_out)
        passage.pending_in -= size_in
        passage.pending_out -= size_out
        self._diversion.use.add_pending(-size_in, -size_out)

    # Checks

    def _start_checks(self):
        if self._checking:
            return
        if self.server.paused or self.link_share > IDLE_SHARE:
            self._checking = True
            self._tasks.spawn(self._run_checks())

    async def _run_checks(self):
        """Check until the link is idle."""
        goes_on = True
        try:
            while goes_on:
                try:
                    goes_on = await self._check()
                except Exception:
                    # Without checks, a pause would never end.
                    LOG.exception("link_check_failed")
                await asyncio.sleep(CHECK_INTERVAL)
        finally:
            self._checking = False

    async def _check(self):
        """Count, and pause or resume; return whether to go on."""
        for passage in self._passages:
            self._count(passage)
        if self._active:
            self._pause()
        elif self.server.paused:
            await self._resume()
        self._note_end()
        return (
            self.server.paused
            or self.diverting
            or self.link_share > IDLE_SHARE
        )

    async def _resume(self):
        try:
            await self.server.resume()
        except OSError as error:
            # The next check tries again.
            LOG.error("resume_failed", error=str(error))

    def _note_diverted(self):
        if self._episode_end is None:
            LOG.info("callers_diverted", link_share=round(self.link_share, 2))
        self._episode_end = self._clock.steady() + EPISODE

    def _note_end(self):
        if self.diverting and self._clock.steady() >= self._episode_end:
            self._episode_end = None
            LOG.info("callers_welcome", link_share=round(self.link_share, 2))
