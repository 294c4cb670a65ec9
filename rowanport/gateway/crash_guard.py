"""Recognises requests that crash upstreams, together with the peers.

What ends together with its upstream is a suspect until it is answered whole.
A suspect runs apart from others, and one under which three upstreams crashed
is refused by all routers.
"""

import asyncio

import structlog

from ..errors import ConnectionEnded
from ..errors import ErrorKind
from ..errors import RequestError
from ..supervision import beat
from ..suspects import BLOCK_THRESHOLD
from ..suspects import InFlightSends
from ..suspects import select_isolated
from ..suspects import SuspectRuns
from ..suspects import SuspectTable
from ..tasks import TaskSet
from ..web.client import Listening
from .fingerprint import format_fingerprint
from .suspect_sync import format_fingerprints
from .suspect_sync import LOG_LIMIT
from .suspect_sync import SuspectSync

LOG = structlog.get_logger(__name__)

# Seconds for which a suspect waits until the runs of the same request have
# ended: one that is sound is mostly answered by then.
ADMIT_SECONDS = 0.3
# Seconds between two looks at what is due as time passes.
SETTLE_PAUSE = 0.5
# Crashed runs that are remembered.
CRASHED_LIMIT = 256


class CrashGuard:
    """Decides which requests run, and where, by the crashes seen so far.

    :param pool: the UpstreamPool
    :param client: the HttpClient of the upstreams
    :param peers: a PeerClient
    :param listeners: function that returns the addresses of the peers that
        are told news at once
    :param address: this router's peer address
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    :ivar table: the SuspectTable
    :ivar sync: the SuspectSync, which tells peers
    :ivar on_blocked: function of a Job under way whose request was blocked
    :ivar on_verdict: function that is called when requests were blocked, or
        are no more
    :ivar on_answered: function that is called when a request was answered
        whole here that the store holds as blocked
    """

    def __init__(
        self, pool, client, peers, listeners, address, clock, metrics
    ):
        self._pool = pool
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._sends = InFlightSends()
        self._runs = SuspectRuns()
        self._probes = {}
        self._crashed = {}
        self._blocked = set()
        self._changed = asyncio.Event()
        self._tasks = TaskSet()
        self.table = SuspectTable(address)
        self.sync = SuspectSync(
            self.table, self._runs, peers, listeners, address, clock
        )
        self.sync.on_changes = self._hear_changes
        self.sync.on_runs = self._wake
        self.on_blocked = None
        self.on_blocklist_change = None
        self.on_blocked_answered = None

    # Requests

    def check(self, job):
        """Raise RequestError if a request is not to run any more."""
        suspect = self.table.get(job.fingerprint)
        if suspect is None or not suspect.blocked:
            return
        runs = ", ".join(suspect.uncleared_crashes)
        why = f"upstreams crashed under it: {runs}"
        if job.runs:
            raise RequestError(ErrorKind.UPSTREAM_FAILED, why)
        raise RequestError(ErrorKind.CRASHES_UPSTREAMS, why)

    async def admit(self, job):
        """Wait until a request may be sent.

        :raises RequestError: it may not
        """
        self.check(job)
        if not self._against(job.fingerprint):
            return
        give_up_at = self._clock.steady() + ADMIT_SECONDS
        while not self._may_run(job.fingerprint):
            left = give_up_at - self._clock.steady()
            if left <= 0:
                raise _too_many_runs(job)
            await self._wait_for_change(left)
            self.check(job)

    def is_suspect(self, job):
        """Return whether an upstream crashed under a request."""
        return self._against(job.fingerprint) > 0

    def isolate(self, job, candidates, now):
        """Return the UpstreamStates among some to which a job may go."""
        if not self._runs and not self.is_suspect(job):
            return candidates
        return select_isolated(
            candidates, job.fingerprint, self._against, self._runs, now
        )

    def start_run(self, job, state):
        """Note that a job is sent; return its InFlightSend."""
        now = self._clock.steady()
        send = self._sends.add(job, state.record.run, now)
        if self.is_suspect(job):
            self.sync.announce_run(send)
        return send

    def finish_run(self, send, error=None):
        """Note that a run is over; it may be told again.

        :param error: the UpstreamError that ended it, or None
        """
        run = send.run
        if not isinstance(error, ConnectionEnded) or not self._lives(run):
            self._sends.remove(send)
            self.sync.announce_ends([send])
            return
        self._sends.mark_ended(send, self._clock.steady())
        if run.name in self._crashed:
            self._take_crash(run.name)
        elif run.name not in self._probes:
            address = self._pool.get(run.id).record.address
            probe = self._tasks.spawn(self._probe(run, address))
            self._probes[run.name] = probe

    def record_success(self, job, run):
        """Note that an upstream answered a job whole.

        :param run: the UpstreamRun
        """
        self._crashed.pop(run.name, None)
        suspect = self.table.record_success(
            job.fingerprint, self._clock.steady()
        )
        if suspect is None:
            return
        LOG.info(
            "request_cleared",
            fingerprint=format_fingerprint(suspect.fingerprint),
            request=job.id,
            crashes=list(suspect.crashes),
        )
        self._take_changes([suspect])
        self.sync.announce([suspect])
        if suspect.stored:
            self.on_blocked_answered()

    def close(self):
        """End what is under way."""
        self._tasks.cancel()

    # Crashes

    def _against(self, fingerprint):
        """Return the crashes against a request, likely ones included."""
        known = self.table.crash_count(fingerprint)
        return known + len(self._sends.runs_that_ended(fingerprint))

    def _may_run(self, fingerprint):
        """Return whether a request may have one more run at this time.

        All its runs together cannot crash more upstreams than it takes to
        recognise it.
        """
        running = self._runs.count(fingerprint, self._clock.steady())
        missing = BLOCK_THRESHOLD - self._against(fingerprint)
        return running < max(1, missing)

    def _lives(self, run):
        """Return whether an upstream's run is to take requests."""
        state = self._pool.get(run.id)
        if state is None or state.record.run != run:
            return False
        return not state.record.leaving

    async def _probe(self, run, address):
        """Find out whether an upstream that ended connections crashed."""
        try:
            if await self._is_gone(run.name, address):
                now = self._clock.steady()
                crashed_at = self._sends.first_ended_at(run.name) or now
                self._metrics.crashes.inc({})
                self._note_crashed(run.name, crashed_at)
                self._take_crash(run.name)
            else:
                self.sync.announce_ends(self._sends.pop_ended(run.name))
        finally:
            self._probes.pop(run.name, None)
            self._wake()

    async def _is_gone(self, name, address):
        """Return whether an upstream that ended a connection has crashed.

        Behind a proxy it still has a listener, which hangs up.  So does one
        that takes no more connections, but that keeps those it has.
        """
        listening = await self._client.probe(address)
        if listening is not Listening.HANGS_UP:
            return listening is Listening.REFUSES
        return not self._sends.sends_at(name) and (
            not self._client.has_idle(address)
        )

    def _take_crash(self, name):
        """Take in that an upstream's run crashed under own requests."""
        at = self._crashed[name]
        sends = self._sends.pop_all(name)
        now = self._clock.steady()
        changed = []
        for send in sends:
            # What was sent later never ran.
            if send.sent_at <= at:
                fingerprint = send.job.fingerprint
                changed.append(self.table.record_crash(fingerprint, name, now))
        changed = [suspect for suspect in changed if suspect is not None]
        if changed:
            LOG.info(
                "upstream_crashed",
                upstream=name,
                requests=[f.job.id for f in sends][:LOG_LIMIT],
                fingerprints=format_fingerprints(changed),
            )
        self._take_changes(changed)
        self.sync.announce(changed)
        # Not before the crash is told: until then they count as running.
        self.sync.announce_ends(sends)

    def _note_crashed(self, name, at):
        """Note that an upstream's run crashed, seen here or at a peer.

        It gets nothing for a while, and what it gets later, as long as it is
        listed, is not to blame.
        """
        if name in self._crashed:
            return
        self._crashed[name] = at
        if len(self._crashed) > CRASHED_LIMIT:
            del self._crashed[next(iter(self._crashed))]
        state = self._pool.get(name.partition("@")[0])
        if state is not None and state.record.run.name == name:
            state.record_crash(at)

    def _take_changes(self, suspects):
        """Act on what is new of some Suspects."""
        for suspect in suspects:
            for send in self._sends.sends_of(suspect.fingerprint):
                if suspect.uncleared_crashes:
                    self.sync.announce_run(send)
        blocked = self.table.blocked
        if blocked != self._blocked:
            self._change_verdicts(blocked)
        self._wake()

    def _change_verdicts(self, blocked):
        """Act on what is refused from now on, or no more.

        :param blocked: fingerprints of all that is refused
        """
        for fingerprint in self._blocked - blocked:
            text = format_fingerprint(fingerprint)
            LOG.warning("request_unblocked", fingerprint=text)
        new = blocked - self._blocked
        self._blocked = blocked
        self._metrics.blocked_requests.set({}, len(blocked))
        for fingerprint in new:
            self._block(self.table.get(fingerprint))
        self.on_blocklist_change()

    def _block(self, suspect):
        LOG.warning(
            "request_blocked",
            fingerprint=format_fingerprint(suspect.fingerprint),
            upstreams=suspect.uncleared_crashes,
            heard_from=suspect.source,
        )
        for send in self._sends.sends_of(suspect.fingerprint):
            self.on_blocked(send.job)

    def _hear_changes(self, suspects):
        """Act on what a peer told of some Suspects."""
        for suspect in suspects:
            for name, at in suspect.crashes.items():
                self._note_crashed(name, at)
        self._take_changes(suspects)

    async def run(self):
        """Do what is due as time passes, until cancelled."""
        while True:
            beat()
            self._settle()
            await asyncio.sleep(SETTLE_PAUSE)

    def _settle(self):
        """Forget what is old, and clear what ran beside a refused request."""
        now = self._clock.steady()
        self.table.expire(now)
        self._runs.expire(now)
        self._take_changes(self.table.clear_bystanders(now))

    # Waiting

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_change(self, seconds):
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except asyncio.TimeoutError:
            pass


def _too_many_runs(job):
    """Return the RequestError of a suspect whose request runs already."""
    why = "an upstream crashed under it, and it still runs elsewhere"
    if job.runs:
        return RequestError(ErrorKind.UPSTREAM_FAILED, why)
    return RequestError(ErrorKind.CRASH_SUSPECTED, why)
