"""Detects requests that crash upstreams, together with the peers.

A request that was running on an upstream when it crashed is a suspect until
it gets a complete answer, and so are the parts of its prompt on which no
answer is known.  Suspects are isolated from each other, and a request or part
under which three upstreams crashed is blocked by all routers.
"""

import asyncio

import structlog

from ..errors import ConnectionEnded
from ..errors import ErrorKind
from ..errors import RequestError
from ..schema.messages import SuspectNews
from ..supervision import beat
from ..suspects import BLOCK_THRESHOLD
from ..suspects import InFlightSends
from ..suspects import is_part
from ..suspects import LIKELY_CRASHES
from ..suspects import select_isolated
from ..suspects import SuspectRuns
from ..suspects import SuspectTable
from ..tasks import TaskSet
from .crash_probe import CrashProbe
from .fingerprint import format_fingerprint
from .fingerprint import format_fingerprints
from .fingerprint import LOG_LIMIT
from .suspect_sync import SuspectSync

LOG = structlog.get_logger(__name__)

# Seconds for which a suspect waits for other runs of the same request to end:
# a harmless request is usually answered by then.
ADMIT_TIMEOUT = 0.3
# Interval in seconds of the periodic expiry and clearing of suspects.
SETTLE_INTERVAL = 0.5
# Seconds of events after which the parts of a prompt are sound.  Upstreams
# that a part crashes end within some tenths of a second after they began.
PROVEN_SECONDS = 1.0
# Most crashed upstream runs that are remembered.
MAX_CRASHED = 256


class CrashGuard:
    """Decides which requests may run, and where, by the crashes seen so far.

    :param pool: the UpstreamPool
    :param client: the HttpClient of the upstreams
    :param peers: a PeerClient
    :param recipients: function that returns the addresses of the peers to
        which changes are sent at once
    :param address: this router's peer address
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    :param trials: the PartTrials
    :param confirm: coroutine function of an address that returns whether peers
        confirm that nobody listens there
    :ivar table: the SuspectTable
    :ivar sync: the SuspectSync, which exchanges suspects with peers
    :ivar on_blocked: callback with each Job in progress whose request was
        blocked
    :ivar on_blocklist_change: callback when requests were blocked or unblocked
    :ivar on_blocked_answered: callback when this router got a complete answer
        to a request that the store holds as blocked
    """

    def __init__(
        self,
        pool,
        client,
        peers,
        recipients,
        address,
        clock,
        metrics,
        trials,
        confirm,
    ):
        self._confirm = confirm
        self._trials = trials
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._sends = InFlightSends()
        self._probe = CrashProbe(pool, client, self._sends)
        self._runs = SuspectRuns()
        self._probes = {}
        self._crashed = {}
        self._blocked = set()
        self._change_event = asyncio.Event()
        self._tasks = TaskSet()
        self.table = SuspectTable(address)
        self.sync = SuspectSync(
            self.table, self._runs, peers, recipients, address, clock
        )
        self.sync.on_changes = self._on_peer_changes
        self.sync.on_runs = self._notify_waiters
        self.on_blocked = None
        self.on_blocklist_change = None
        self.on_blocked_answered = None

    # Requests

    def check(self, job):
        """Raise RequestError if a request is blocked.

        One that may try its part again passes until it is admitted.
        """
        suspect = self._blocking(job)
        if suspect is None or self._may_try(job, suspect):
            return
        self._refuse(job, suspect)

    def _blocking(self, job):
        """Return the Suspect for which a job is blocked, or None."""
        return self.table.blocking(
            [one for one in job.suspect_ids if one != job.trial]
        )

    def _may_try(self, job, suspect):
        """Return whether a blocked job may be a trial of its only bad part."""
        part = suspect.fingerprint
        if job.runs or not is_part(part):
            return False
        rest = [one for one in job.suspect_ids if one != part]
        if self.table.blocking(rest) is not None:
            return False
        return self._trials.may_be_due(suspect)

    @staticmethod
    def _refuse(job, suspect):
        """Raise the RequestError of a blocked job."""
        runs = ", ".join(suspect.uncleared_crashes)
        name = job.blocked_by = format_fingerprint(suspect.fingerprint)
        what = "this request"
        if is_part(suspect.fingerprint):
            what = f"requests with {name}"
        why = f"upstreams crashed while running {what}: {runs}"
        if job.runs:
            raise RequestError(ErrorKind.UPSTREAM_FAILED, why)
        raise RequestError(ErrorKind.CRASHES_UPSTREAMS, why)

    async def admit(self, job):
        """Wait until a request may be sent.

        :raises RequestError: it is blocked, or it is a suspect that still has
            too many concurrent runs after ADMIT_TIMEOUT
        """
        await self._check_or_try(job)
        if not self.is_suspect(job):
            return
        deadline = self._clock.steady() + ADMIT_TIMEOUT
        while not all(map(self._may_run, self._suspected(job))):
            left = deadline - self._clock.steady()
            if left <= 0:
                raise _too_many_runs(job)
            await self._wait_for_change(left)
            await self._check_or_try(job)

    async def _check_or_try(self, job):
        """Raise RequestError if a job is blocked, and is not to be a trial."""
        suspect = self._blocking(job)
        if suspect is None:
            return
        if self._may_try(job, suspect) and await self._trials.claim(suspect):
            job.trial = suspect.fingerprint
            return
        self._refuse(job, suspect)

    def is_suspect(self, job):
        """Return whether an upstream crashed while running a request.

        The same holds for other requests that have one of its parts, unless
        the part is known to be sound.
        """
        return bool(self._suspected(job))

    def may_repeat(self, job):
        """Return whether a request may be sent again after a failed send.

        One with a part that is likely to crash upstreams is sent only once.
        """
        return all(
            self._crash_count(part) < LIKELY_CRASHES for part in job.parts
        )

    def isolate(self, job, candidates, now):
        """Return the candidates on which a job is isolated from suspects.

        :param job: the Job
        :param candidates: UpstreamStates, at least one
        :param now: monotonic time in seconds
        :returns: at least one
        """
        if not self._runs and not self.is_suspect(job):
            return candidates
        return select_isolated(
            candidates, job.suspect_ids, self._crash_count, self._runs, now
        )

    def start_run(self, job, state):
        """Record that a job is sent to an UpstreamState.

        :returns: its InFlightSend
        """
        now = self._clock.steady()
        send = self._sends.add(job, state.record.run, now)
        for fingerprint in self._suspected(job):
            self.sync.announce_run(send, fingerprint)
        return send

    def finish_run(self, send, error=None):
        """Record that a run has ended; repeated calls have no effect.

        If the upstream closed the connection, it is probed for a crash.

        :param send: the InFlightSend
        :param error: the UpstreamError that ended it, or None
        """
        run = send.run
        if not isinstance(error, ConnectionEnded) or not self._is_serving(run):
            self._sends.remove(send)
            self.sync.announce_ends([send])
            return
        self._sends.mark_ended(send, self._clock.steady())
        if run.name in self._crashed:
            self._record_crash(run.name)
        elif run.name not in self._probes:
            address = self._pool.get(run.id).record.address
            probe = self._tasks.spawn(self._check_crashed(run, address))
            self._probes[run.name] = probe

    def record_events(self, send):
        """Record that events of an InFlightSend were forwarded just now.

        Once it has brought events for a while, its parts are sound: a part
        that crashes upstreams does so as they begin to write.  The request
        itself may crash its upstream late.
        """
        if send.proven:
            return
        now = self._clock.steady()
        if send.first_event_at is None:
            send.first_event_at = now
        if now < send.first_event_at + PROVEN_SECONDS:
            return
        send.proven = True
        changed = self.table.record_sound(send.job.parts, now)
        self._on_cleared(changed, "events", send.job.id)
        self.sync.announce(changed)

    def record_success(self, job, run, status):
        """Record a complete answer, which clears a request and its parts.

        :param job: the Job
        :param run: UpstreamRun that answered, and so has not crashed
        :param status: HTTP status of the answer; only a success shows that
            the upstream wrote on the prompt
        """
        self._crashed.pop(run.name, None)
        parts = job.parts if status < 300 else ()
        changed = self.table.record_answer(
            job.fingerprint, parts, self._clock.steady()
        )
        self._on_cleared(changed, "answer", job.id)
        self.sync.announce(changed)

    def _on_cleared(self, suspects, by, request=None):
        """Act on Suspects that were cleared.

        :param by: what cleared them, for the log
        :param request: id of the request that was answered, or None
        """
        if not suspects:
            return
        for suspect in suspects:
            LOG.info(
                "request_cleared",
                fingerprint=format_fingerprint(suspect.fingerprint),
                by=by,
                request=request,
                crashes=list(suspect.crashes),
            )
        self._apply_changes(suspects)
        if any(suspect.stored for suspect in suspects):
            self.on_blocked_answered()

    def answer_operator(self, message):
        """Free what an operator names; return SuspectNews on what is blocked.

        :param message: a BlockedAsk
        """
        now = self._clock.steady()
        if message.free:
            LOG.warning(
                "freed_by_operator",
                fingerprints=format_fingerprints(message.free),
            )
            changed = self.table.clear(message.free, now)
            self._on_cleared(changed, "operator")
            self.sync.announce(changed)
        blocked = self.table.blocked_suspects
        rows = [self.table.row(suspect, now) for suspect in blocked]
        return SuspectNews(self.table.digest, rows)

    def close(self):
        """Cancel the probes in progress."""
        self._tasks.cancel()
        self.sync.close()

    # Crashes

    def _suspected(self, job):
        """Return the fingerprints of a job under which upstreams crashed."""
        if not len(self.table) and not self._sends.has_ended:
            return []
        return [one for one in job.suspect_ids if self._crash_count(one)]

    def _crash_count(self, fingerprint):
        """Return the number of crashes that a suspect may have caused.

        Upstream runs that closed the connection, and so may have crashed, are
        included.
        """
        if self.table.is_sound(fingerprint, self._clock.steady()):
            return 0
        known = self.table.crash_count(fingerprint)
        return known + len(self._sends.runs_that_ended(fingerprint))

    def _may_run(self, fingerprint):
        """Return whether a suspect may have one more concurrent run.

        Its concurrent runs must not crash more upstreams than are needed to
        block it.
        """
        running = self._runs.count(fingerprint, self._clock.steady())
        missing = BLOCK_THRESHOLD - self._crash_count(fingerprint)
        return running < max(1, missing)

    def _is_serving(self, run):
        """Return whether an UpstreamRun is still listed and not leaving."""
        state = self._pool.get(run.id)
        if state is None or state.record.run != run:
            return False
        return not state.leaving

    async def _check_crashed(self, run, address):
        """Check whether an upstream that closed connections has crashed.

        :param run: the UpstreamRun
        :param address: its IP and port
        """
        try:
            gone = await self._probe.is_gone(run.name, address)
            # The own link may be lost instead.
            if gone and await self._confirm(address):
                together = await self._find_together(run)
                now = self._clock.steady()
                crashed_at = self._sends.first_ended_at(run.name) or now
                self._metrics.crashes.inc({})
                self._mark_crashed(run.name, crashed_at)
                self._record_crash(run.name, together)
            else:
                self.sync.announce_ends(self._sends.pop_ended(run.name))
        finally:
            self._probes.pop(run.name, None)
            self._notify_waiters()

    async def _find_together(self, run):
        """Return the names of upstream runs that crashed together with one.

        They are looked for only if a part may be blamed: one that is suspected
        runs one at a time, so that a fault of many upstreams would look like a
        crash of the only one that runs it.
        """
        now = self._clock.steady()
        sends = self._sends.all_at(run.name)
        parts = {part for send in sends for part in send.job.parts}
        parts = [p for p in parts if not self.table.is_sound(p, now)]
        if not parts:
            return []
        known = {run.name, *self._crashed}
        together = await self._probe.find_gone(sends[0].job.service, known)
        if together:
            LOG.info(
                "upstreams_crashed_together",
                upstream=run.name,
                others=together,
                fingerprints=format_fingerprints(parts),
            )
        return together

    def _count_running(self, name):
        """Return on how many upstreams suspects run, by fingerprint.

        :param name: name of the upstream run that is not counted
        """
        names = self._sends.upstreams_by_suspect()
        for fingerprint, upstream in self._runs.rows(self._clock.steady()):
            names[fingerprint].add(upstream)
        return {
            fingerprint: len(upstreams - {name})
            for fingerprint, upstreams in names.items()
        }

    def _record_crash(self, name, together=()):
        """Record the crash of an upstream run for the requests on it.

        :param together: names of other upstream runs that crashed with it
        """
        at = self._crashed[name]
        sends = self._sends.collect_all(name)
        now = self._clock.steady()
        running = self._count_running(name)
        changed = []
        for send in sends:
            # Requests sent after the crash never ran.
            if send.sent_at <= at:
                changed += self.table.record_crash_of(
                    send.job.fingerprint,
                    send.job.parts,
                    name,
                    now,
                    at,
                    together,
                    running,
                )
        if changed:
            LOG.info(
                "upstream_crashed",
                upstream=name,
                requests=[f.job.id for f in sends][:LOG_LIMIT],
                fingerprints=format_fingerprints(
                    suspect.fingerprint for suspect in changed
                ),
                parts=format_fingerprints(
                    {part for send in sends for part in send.job.parts}
                ),
                uncounted=format_fingerprints(
                    suspect.fingerprint
                    for suspect in changed
                    if name in suspect.cleared
                ),
            )
        self._apply_changes(changed)
        self.sync.announce(changed)
        # After the crash is announced: peers count the requests as running
        # until then.
        self.sync.announce_ends(sends)

    def _mark_crashed(self, name, at):
        """Record that an upstream run crashed, as seen here or by a peer.

        It gets no requests for a while.  Requests sent to it after the crash,
        while it is still listed, are not suspects.

        :param name: name of the UpstreamRun
        :param at: monotonic time of the crash
        """
        if name in self._crashed:
            return
        self._crashed[name] = at
        if len(self._crashed) > MAX_CRASHED:
            del self._crashed[next(iter(self._crashed))]
        state = self._pool.get(name.partition("@")[0])
        if state is not None and state.record.run.name == name:
            state.record_crash(at)

    def _apply_changes(self, suspects):
        """Act on changed Suspects."""
        for suspect in suspects:
            if not suspect.uncleared_crashes:
                continue
            for send in self._sends.sends_of(suspect.fingerprint):
                self.sync.announce_run(send, suspect.fingerprint)
        blocked = self.table.blocked
        if blocked != self._blocked:
            self._update_blocked(blocked)
        self._notify_waiters()

    def _update_blocked(self, blocked):
        """Act on requests that were blocked or unblocked.

        :param blocked: fingerprints of all blocked requests
        """
        for fingerprint in self._blocked - blocked:
            text = format_fingerprint(fingerprint)
            LOG.warning("request_unblocked", fingerprint=text)
        new = blocked - self._blocked
        self._blocked = blocked
        self._metrics.blocked_requests.set({}, len(blocked))
        for fingerprint in new:
            self._log_blocked(self.table.get(fingerprint))
        # A request may become blocked as a part is cleared that explained the
        # crashes under another one.
        for fingerprint in blocked:
            self._abort_blocked(fingerprint)
        self.on_blocklist_change()

    def _log_blocked(self, suspect):
        LOG.warning(
            "request_blocked",
            fingerprint=format_fingerprint(suspect.fingerprint),
            upstreams=suspect.uncleared_crashes,
            heard_from=suspect.source,
        )

    def _abort_blocked(self, fingerprint):
        """End the blocked requests in progress of one suspect.

        Those that bring events go on: an answer that becomes whole disproves
        the verdict.
        """
        for send in self._sends.sends_of(fingerprint):
            if send.first_event_at is not None:
                continue
            if self._blocking(send.job) is not None:
                self.on_blocked(send.job)

    def _on_peer_changes(self, suspects):
        """Act on Suspects that changed by a message of a peer."""
        for suspect in suspects:
            for name, at in suspect.crashes.items():
                self._mark_crashed(name, at)
        sound = self.table.clear_sound(suspects, self._clock.steady())
        self._on_cleared(sound, "earlier answer")
        self.sync.announce_clearances(sound)
        self._apply_changes(suspects)

    async def run(self):
        """Expire and clear suspects periodically, until cancelled."""
        while True:
            beat()
            self._expire_and_clear()
            await asyncio.sleep(SETTLE_INTERVAL)

    def _expire_and_clear(self):
        """Expire old suspects, and clear those a blocked request explains."""
        now = self._clock.steady()
        self.table.expire(now)
        self._runs.expire(now)
        self._apply_changes(self.table.clear_bystanders(now))

    # Waiting

    def _notify_waiters(self):
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def _wait_for_change(self, seconds):
        try:
            async with asyncio.timeout(seconds):
                await self._change_event.wait()
        except asyncio.TimeoutError:
            pass


def _too_many_runs(job):
    """Return the RequestError of a suspect with too many concurrent runs."""
    why = "an upstream crashed while running it, and another run is active"
    if job.runs:
        return RequestError(ErrorKind.UPSTREAM_FAILED, why)
    return RequestError(ErrorKind.CRASH_SUSPECTED, why)
