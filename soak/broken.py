"""Deliberately broken routers, one a promise, which the soak must find."""

import abc
import asyncio
import time
import weakref


class Variant(abc.ABC):
    """A way to break the router.

    :cvar promise: name of the promise that it breaks
    :cvar theme: the plan's theme in which that shows
    """

    promise = ""
    theme = "stops"

    @abc.abstractmethod
    def apply(self):
        """Change the imported program before it runs."""


class Overspend(Variant):
    """Admits requests whatever is left of their budgets."""

    promise = "budget"

    def apply(self):
        from rowanport.prepaid import BudgetKeeper

        async def reserve(self, budget, tokens):
            return None

        BudgetKeeper.reserve = reserve
        BudgetKeeper.settle = lambda self, *_arguments: None


class LooksWhole(Variant):
    """Ends a broken answer as if it were whole."""

    promise = "whole_answer"
    theme = "breaks"

    def apply(self):
        from rowanport.gateway.forwarder import Forwarder

        send_error = Forwarder._send_error

        async def end(self, job, request, responder, error, arrived):
            if responder.started and not responder.finished:
                return await responder.finish()
            await send_error(self, job, request, responder, error, arrived)

        Forwarder._send_error = end


class TrustsEnds(Variant):
    """Trusts each orderly end of an answer without a length."""

    promise = "whole_answer"
    theme = "crashes"

    def apply(self):
        from rowanport.ends import EndCheck
        from rowanport.ends import Reason

        async def confirm(self, answer, source):
            return Reason.NEW_CONNECTION

        EndCheck.confirm = confirm


class DoubtsEnds(Variant):
    """Calls each answer without a length broken."""

    promise = "broken_end"
    theme = "changes"

    def apply(self):
        from rowanport.ends import EndCheck
        from rowanport.errors import EndUnconfirmed

        async def confirm(self, answer, source):
            raise EndUnconfirmed("no end is trusted")

        EndCheck.confirm = confirm


class PassesForeignBytes(Variant):
    """Passes on whatever ends with an empty line as an event."""

    promise = "whole_answer"
    theme = "breaks"

    def apply(self):
        from rowanport.event_streams import Block
        from rowanport.event_streams import Event
        from rowanport.event_streams import EventReader

        def feed(self, chunk):
            blocks = self._splitter.feed(chunk)
            return [Event(data, Block.parse(data).id) for data in blocks]

        EventReader.feed = feed


class BreaksOddStreams(Variant):
    """Breaks off sound streams that are not written as usual."""

    promise = "lost"
    theme = "changes"

    def apply(self):
        from rowanport.event_streams import Block
        from rowanport.event_streams import BlockKind

        parse = Block.parse

        def refuse(lines):
            block = parse(lines)
            if lines.startswith(b"id: ") and b"\r" not in lines:
                return block
            return Block(BlockKind.NO_FIELD)

        Block.parse = refuse


class SaysNotRun(Variant):
    """Says 503 of requests that may have run."""

    promise = "not_run"

    def apply(self):
        from rowanport.errors import ErrorKind
        from rowanport.errors import RequestError
        from rowanport.gateway import retry_policy
        from rowanport.gateway import sender

        def final_error(job, error):
            return RequestError(ErrorKind.UPSTREAM_REFUSED, str(error))

        retry_policy.final_error = sender.final_error = final_error


class RunsAgain(Variant):
    """Sends again what may run only once."""

    promise = "at_most_once"

    def apply(self):
        from rowanport.gateway.retry_policy import RetryPolicy

        async def check_retry(self, *_arguments):
            """Allow each retry."""

        RetryPolicy.check_retry = check_retry


class ForgetsKey(Variant):
    """Names another organisation to the upstream."""

    promise = "asked"

    def apply(self):
        from rowanport.gateway.exchange import Exchange

        headers = Exchange._headers

        def swap(self, job, upstream):
            name = self._dialect.organisation
            return [
                (key, "ample" if key == name else value)
                for key, value in headers(self, job, upstream)
            ]

        Exchange._headers = swap


class IgnoresLeaving(Variant):
    """Goes on sending to upstreams that leave."""

    promise = "leaving"
    theme = "changes"

    def apply(self):
        from rowanport.gateway import Gateway

        apply = Gateway._apply_upstreams

        def apply_first(self, upstreams):
            if not self.pool.candidates("feed", set(), 0.0):
                apply(self, upstreams)

        Gateway._apply_upstreams = apply_first


class TrustsOldViews(Variant):
    """Sends requests by what is known of the fleet, however old it is."""

    promise = "leaving"
    theme = "links"

    def apply(self):
        from rowanport.gateway.freshness_tracker import FreshnessTracker

        FreshnessTracker.stale = False


class StopsAtOnce(Variant):
    """Drops what it has in hand when it is told to stop."""

    promise = "planned_stop"

    def apply(self):
        from rowanport.gateway import Gateway

        async def stop(self):
            await self.close()

        Gateway.stop = stop


class GivesUpOnSilence(Variant):
    """Drops a stream that falls silent, whatever could follow."""

    promise = "lost"
    theme = "pauses"

    def apply(self):
        from rowanport.web.server import Responder

        send = Responder._send

        async def send_and_watch(self, event):
            if hasattr(self, "limit"):
                self.limit.cancel()
            await send(self, event)
            if not self.finished:
                drop = self._writer.transport.abort
                self.limit = asyncio.get_running_loop().call_later(1.0, drop)

        Responder._send = send_and_watch


class CutsAtChange(Variant):
    """Drops what it answers when a configuration comes."""

    promise = "planned_change"
    theme = "breaks"

    def apply(self):
        from rowanport.gateway import Gateway
        from rowanport.web.server import Responder

        start = Responder.start
        answering = weakref.WeakSet()
        seen = set()

        async def note(self, status, headers):
            answering.add(self)
            await start(self, status, headers)

        def drop(self):
            table = self._views.table
            if table is not None and table.version not in seen:
                seen.add(table.version)
                for responder in list(answering):
                    if not responder.finished:
                        responder._writer.transport.abort()
            return table

        Responder.start = note
        Gateway.table = property(drop)


class LateConfiguration(Variant):
    """Takes a configuration over seconds after it is known."""

    promise = "configuration"
    theme = "changes"

    def apply(self):
        from rowanport.gateway import Gateway

        kept = []

        def late(self):
            now = asyncio.get_running_loop().time()
            current = self._views.table
            if not kept or kept[-1][1] is not current:
                kept.append((now, current))
            old = [table for at, table in kept if at < now - 5.0]
            return old[-1] if old else kept[0][1]

        Gateway.table = property(late)


class OlderConfiguration(Variant):
    """Goes by the first configuration now and then."""

    promise = "never_older"
    theme = "changes"

    def apply(self):
        from rowanport.gateway import Gateway

        kept = []

        def older(self):
            current = self._views.table
            if current is not None and not kept:
                kept.append(current)
            now = asyncio.get_running_loop().time()
            return kept[0] if kept and int(now) % 4 == 0 else current

        Gateway.table = property(older)


class StaysReady(Variant):
    """Says that it is ready while it stops."""

    promise = "readiness"

    def apply(self):
        from rowanport.gateway import Gateway

        Gateway.ready = property(lambda self: self._has_initial_views)


class Drops(Variant):
    """Closes connections in the middle of streams."""

    promise = "lost"
    theme = "changes"

    def apply(self):
        from rowanport.web.server import Responder

        write = Responder.write
        count = [0]

        async def drop(self, data):
            count[0] += 1
            if count[0] % 40 == 0:
                self._writer.transport.abort()
            await write(self, data)

        Responder.write = drop


class StopsServing(Variant):
    """Refuses everything some seconds after its start."""

    promise = "recovery"
    theme = "changes"

    def apply(self):
        from rowanport.gateway.job import Admission

        admit = Admission.admit
        begun = time.monotonic()

        def refuse(self, request, table, now):
            if time.monotonic() > begun + 6.0:
                table = None
            return admit(self, request, table, now)

        Admission.admit = refuse


class ForgetsCrashes(Variant):
    """Sends a request on whatever crashed under it."""

    promise = "lethal"
    theme = "lethal"

    def apply(self):
        from rowanport.suspects import SuspectTable

        SuspectTable.record_crash = lambda *_arguments: None


class ForgetsParts(Variant):
    """Blames requests, never what they have in common."""

    promise = "part_sharers"
    theme = "parts"

    def apply(self):
        from rowanport.suspects import SuspectTable

        record = SuspectTable.record_crash_of

        def record_request(self, fingerprint, parts, *crash):
            return record(self, fingerprint, (), *crash)

        SuspectTable.record_crash_of = record_request


class NeverBlocks(Variant):
    """Sends whatever crashes upstreams, as often as it comes."""

    promise = "bad_part"
    theme = "parts"

    def apply(self):
        from rowanport.gateway.crash_guard import CrashGuard
        from rowanport.suspects import SuspectTable

        SuspectTable.blocking = lambda *_arguments: None
        CrashGuard._may_run = lambda *_arguments: True
        CrashGuard.may_repeat = lambda *_arguments: True


class BlamesAll(Variant):
    """Takes a broken answer for a crash, and refuses the request at once."""

    promise = "blamed"
    theme = "lethal"

    def apply(self):
        from rowanport.gateway.crash_probe import CrashProbe
        from rowanport.gateway.path_connector import PathConnector
        from rowanport.suspects import blame
        from rowanport.suspects import table

        async def is_gone(self, name, address):
            return True

        async def confirm(self, address):
            return True

        CrashProbe.is_gone = is_gone
        PathConnector.confirms_crash = confirm
        table.BLOCK_THRESHOLD = blame.BLOCK_THRESHOLD = 1
        blame.ISOLATED_THRESHOLD = 1
        table.LIKELY_CRASHES = 1
        blame.STORM_SUSPECTS = 1000


class IgnoresLimits(Variant):
    """Sends what it likes to an upstream that names a rate limit."""

    promise = "limit"
    theme = "limits"

    def apply(self):
        from rowanport.gateway.rate_limits import RateLimits

        RateLimits.record_answer = lambda *_arguments: None


class IgnoresNotices(Variant):
    """Knows only from the store that an upstream leaves."""

    promise = "said_leaving"
    theme = "answers"

    def apply(self):
        from rowanport.gateway import notices

        notices.parse_leaving = lambda _text: False


class SendsToResting(Variant):
    """Ignores the time to back off that refusals name."""

    promise = "rest"
    theme = "rests"

    def apply(self):
        from rowanport.gateway import notices

        notices.parse_backoff = lambda _text: 0.0


class ForgetsRetries(Variant):
    """Has the whole slack for retries to itself, and again at each start."""

    promise = "repeats"
    theme = "refusing"

    def apply(self):
        from rowanport.retries import ShareClaim

        ShareClaim.permits = lambda self, now: self._slack


class JoinsVersions(Variant):
    """Lets a stream go on at any version."""

    promise = "versions"
    theme = "versions"

    def apply(self):
        from rowanport.gateway.stream_sync import StreamSync

        async def bind(self, job):
            """Bind a job to no version."""

        StreamSync.bind = bind
        StreamSync.begin = lambda *_arguments: None


class ForgetsStreams(Variant):
    """Knows the version of no stream that a caller takes up."""

    promise = "taken_up"
    theme = "versions"

    def apply(self):
        from rowanport.versions import StreamVersions

        StreamVersions.find = lambda *_arguments: None


class OwnLinkOnly(Variant):
    """Reaches upstreams over its own link and no other way."""

    promise = "severed"
    theme = "severed"

    def apply(self):
        from rowanport.gateway.path_connector import PathConnector

        async def relayed(self, address, wait):
            return None, ()

        PathConnector._relayed = relayed


class IgnoresEvacuations(Variant):
    """Sends to upstreams of evacuated data centres."""

    promise = "evacuated"
    theme = "evacuations"

    def apply(self):
        from rowanport.evacuations import Evacuations

        Evacuations.covers = lambda self, data_centre: False


class RushesCold(Variant):
    """Takes no upstream for cold."""

    promise = "cold"
    theme = "evacuations"

    def apply(self):
        from rowanport.gateway.cold_starts import ColdStarts

        ColdStarts._is_limited = lambda self, record, now: False


class Ends(Variant):
    """Ends by itself after some seconds."""

    promise = "own_end"

    def apply(self):
        import os
        import threading

        timer = threading.Timer(6.0, os._exit, (3,))
        timer.daemon = True
        timer.start()


VARIANTS = {
    kind.__name__: kind()
    for kind in (
        Overspend,
        LooksWhole,
        TrustsEnds,
        DoubtsEnds,
        PassesForeignBytes,
        BreaksOddStreams,
        SaysNotRun,
        RunsAgain,
        ForgetsKey,
        IgnoresLeaving,
        TrustsOldViews,
        StopsAtOnce,
        GivesUpOnSilence,
        CutsAtChange,
        LateConfiguration,
        OlderConfiguration,
        StaysReady,
        Drops,
        StopsServing,
        ForgetsCrashes,
        ForgetsParts,
        NeverBlocks,
        BlamesAll,
        IgnoresLimits,
        OwnLinkOnly,
        IgnoresEvacuations,
        RushesCold,
        IgnoresNotices,
        SendsToResting,
        ForgetsRetries,
        JoinsVersions,
        ForgetsStreams,
        Ends,
    )
}
