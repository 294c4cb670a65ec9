"""Gathers what is known of an upstream at the end of one of its answers."""

import abc
import asyncio
import math

from ..clock import loop_time
from ..errors import ConnectionRefused
from ..errors import EndUnconfirmed
from ..errors import NoConnectionFree
from ..errors import UpstreamError
from ..tunnels import SETTLE_SECONDS
from .verdict import Evidence
from .verdict import Instance
from .verdict import judge
from .verdict import Opened
from .verdict import Peers
from .verdict import Step

# Seconds within which a kernel closes all connections of a killed process:
# 360 of them took 23 ms beside 16 busy processes.
SPREAD_SECONDS = 0.05
# Seconds after the end until which a new connection cannot have reached a
# process that was started since.  A kernel asks once within OPEN_SECONDS, so
# the time at which it is told to counts, not that of the answer.
RESTART_SECONDS = 0.03
# Longest wait in seconds for a new connection, peers that relay included.
OPEN_SECONDS = 0.5
# Seconds after which a lost end of another connection has come again: the
# kernel sends it anew after 0.2 s.
RESEND_SECONDS = 0.3
# Longest wait in seconds for the answer to a health check.  A proxy that finds
# nobody behind it has closed the connection by then.
ASK_SECONDS = 0.5
# Statuses by which a proxy says that it reaches nobody.
PROXY_FAILURES = (502, 504)
# Seconds between two looks at connections that are watched.
WATCH_PAUSE = 0.02


class AnswerSource(abc.ABC):
    """What the receiver of an answer knows of the upstream that sent it."""

    @abc.abstractmethod
    def leaves_at(self, ended_at):
        """Return whether the upstream was to end its process soon.

        :param ended_at: event loop's time at which the answer ended
        """

    @property
    def deadline(self):
        """Return the event loop's time until which the caller waits."""
        return math.inf

    @property
    @abc.abstractmethod
    def may_run_again(self):
        """Return whether the request can be sent to another upstream now."""

    @property
    @abc.abstractmethod
    def may_be_asked(self):
        """Return whether the upstream takes a health check now."""

    @abc.abstractmethod
    def cut_together(self, ended_at):
        """Return whether other answers of the upstream ended early, too.

        :param ended_at: event loop's time at about which their ends count
        """

    @abc.abstractmethod
    async def ask_instance(self, path):
        """Return the Instance that answers a health check.

        It may take any time: it is given up as SILENT after ASK_SECONDS.

        :param path: an open Path that was opened for it, and is the source's
            to use and to close from now on
        """

    async def ask_peers(self, ended_at):
        """Return what peers saw of the upstream, a Peers.

        :param ended_at: event loop's time at which the answer ended
        """
        return Peers.NOTHING


class EndCheck:
    """Checks that an answer without a length ended as its upstream meant.

    :param client: the HttpClient on which the answers arrive
    """

    def __init__(self, client):
        self._client = client

    async def confirm(self, answer, source):
        """Return the Reason for which an answer that has ended is whole.

        :param answer: the HttpAnswer, whose connection ended in order just now
        :param source: the AnswerSource
        :raises EndUnconfirmed: nothing shows that it is whole
        """
        # A caller that reads slowly lets the end be noticed late.
        ended_at = answer.path.reader.ended_at or loop_time()
        leaving = source.leaves_at(ended_at)
        address = answer.path.address
        # Until it is closed, it counts against this router's share, and the
        # new connection may be one too many.
        answer.path.writer.close()
        # The ends of others would have come the way that this one came; those
        # over a link that went silent, or through another relay, may not.
        earlier = {
            path
            for path in self._client.open_paths(address)
            if path.relay == answer.path.relay
            and path is not answer.path
            and is_earlier(path, ended_at)
        }
        new = _NewConnection(self._client, address, source, ended_at)
        try:
            opened = await new.opened()
            if earlier:
                known_at = ended_at + SPREAD_SECONDS
                await asyncio.sleep(known_at - loop_time())
            evidence = Evidence(_any_open(earlier), opened)
            evidence.leaving = leaving
            evidence.cut_together = source.cut_together(ended_at)
            evidence.may_run_again = source.may_run_again
            step, reason = judge(evidence)
            while step not in (Step.WHOLE, Step.BROKEN):
                if step is Step.WAIT:
                    again_at = ended_at + RESEND_SECONDS
                    await asyncio.sleep(again_at - loop_time())
                    evidence.waited = True
                    evidence.earlier_open = _any_open(earlier)
                elif step is Step.ASK:
                    evidence.instance = await new.ask(source)
                else:
                    # By then they have seen all that ended together.
                    known_at = ended_at + SPREAD_SECONDS
                    await asyncio.sleep(known_at - loop_time())
                    evidence.peers = await source.ask_peers(ended_at)
                step, reason = judge(evidence)
        finally:
            new.release()
        if step is Step.BROKEN:
            raise EndUnconfirmed(
                "the answer has no length, and nothing shows that it is whole:"
                f" {reason.value}, new connection {opened.value}"
            )
        return reason


class _NewConnection:
    """A connection that is opened to find out who accepts it.

    It is kept for the next request, as the answer has used one up.

    :param client: the HttpClient
    :param address: address of the upstream
    :param source: the AnswerSource
    :param ended_at: event loop's time at which the answer ended
    """

    def __init__(self, client, address, source, ended_at):
        self._client = client
        self._address = address
        self._may_be_asked = source.may_be_asked
        self._ended_at = ended_at
        # The open Path that no request may use yet.
        self._held = None
        self._opening = asyncio.ensure_future(self._open())

    async def opened(self):
        """Return what became of it, an Opened."""
        return await asyncio.shield(self._opening)

    async def ask(self, source):
        """Return the Instance that answers on it.

        Without a health check it is watched for as long, as a proxy that finds
        nobody behind it closes it.
        """
        if self._may_be_asked:
            path, self._held = self._held, None
            return await _ask(source, path)
        await self._wait_for_end(_ask_seconds(source))
        return Instance.SILENT if self._held.open else Instance.GONE

    def release(self):
        """Give it up while it is being opened, otherwise keep it."""
        if not self._opening.done():
            self._opening.cancel()
        path, self._held = self._held, None
        if path is not None and path.open:
            self._client.keep(path)
        elif path is not None:
            path.writer.close()

    async def _open(self):
        if not self._client.may_open(self._address):
            return Opened.NOT_ALLOWED
        try:
            async with asyncio.timeout(OPEN_SECONDS):
                path = await self._client.open_path(self._address)
        except ConnectionRefused:
            return Opened.REFUSED
        except NoConnectionFree:
            return Opened.NOT_ALLOWED
        except (UpstreamError, asyncio.TimeoutError):
            return Opened.UNREACHABLE
        self._held = path
        asked_at = path.asked_at
        if path.relay is not None:
            # A relay tells of a connection only once it stayed open.
            asked_at -= SETTLE_SECONDS
        prompt = asked_at <= self._ended_at + RESTART_SECONDS
        return Opened.PROMPT if prompt else Opened.LATE

    async def _wait_for_end(self, seconds):
        """Wait until it ends, at most for some seconds."""
        ended = asyncio.Event()
        reader = self._held.reader
        reader.on_end = ended.set
        try:
            async with asyncio.timeout(seconds):
                if not reader.ended:
                    await ended.wait()
        except asyncio.TimeoutError:
            pass
        finally:
            reader.on_end = None


async def watch(paths):
    """Return the Instance that new connections show without a question.

    For upstreams that cannot be asked: it waits until an answer arrives on one
    of the connections, whoever sent the request, or none is open.

    :param paths: Paths opened after the end
    """
    while not any(path.answered for path in paths):
        if not _any_open(paths):
            return Instance.GONE
        await asyncio.sleep(WATCH_PAUSE)
    return Instance.UNNAMED


def is_earlier(path, ended_at):
    """Return whether a connection leads to the process of before an end.

    One that was opened just now and brought nothing, such as that of another
    check, may end at a proxy that has not found out yet that nobody listens.

    :param path: an open Path
    :param ended_at: event loop's time
    """
    if path.answered:
        return path.opened_at <= ended_at + RESTART_SECONDS
    return path.opened_at <= ended_at - ASK_SECONDS


def _any_open(paths):
    return any(path.open for path in paths)


def _ask_seconds(source):
    """Return for how long a health check may take.

    A caller that soon gives up has nothing of proof that comes later.
    """
    left = (source.deadline - loop_time()) / 2
    return min(ASK_SECONDS, max(SPREAD_SECONDS, left))


async def _ask(source, path):
    try:
        async with asyncio.timeout(_ask_seconds(source)):
            return await source.ask_instance(path)
    except asyncio.TimeoutError:
        return Instance.SILENT
