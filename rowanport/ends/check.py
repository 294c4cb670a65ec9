"""Gathers what is known of an upstream at the end of one of its answers."""

import abc
import asyncio

from ..clock import loop_time
from ..errors import ConnectionRefused
from ..errors import EndUnconfirmed
from ..errors import UpstreamError
from .verdict import Evidence
from .verdict import Instance
from .verdict import judge
from .verdict import Opened
from .verdict import Step

# Seconds within which a kernel closes all connections of a killed process:
# 360 of them took 23 ms beside 16 busy processes.
SPREAD_SECONDS = 0.05
# Seconds after the end until which a new connection cannot have reached a
# process that was started since.
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

    @property
    @abc.abstractmethod
    def leaving(self):
        """Return whether the upstream is to end its process soon."""

    @property
    @abc.abstractmethod
    def may_run_again(self):
        """Return whether the request can be sent to another upstream now."""

    @abc.abstractmethod
    def cut_together(self, since):
        """Return whether other answers of the upstream ended early.

        :param since: event loop's time from which on their ends count
        """

    @abc.abstractmethod
    async def ask_instance(self):
        """Return the Instance that answers a health check at its address.

        It may take any time: it is given up as SILENT after ASK_SECONDS.
        """


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
        ended_at = loop_time()
        address = answer.path.address
        earlier = self._client.open_paths(address)
        earlier.discard(answer.path)
        opening = asyncio.ensure_future(self._open(address, ended_at))
        try:
            if earlier:
                await asyncio.sleep(SPREAD_SECONDS)
            opened = await asyncio.shield(opening)
        finally:
            if not opening.done():
                opening.cancel()
        evidence = Evidence(_any_open(earlier), opened)
        evidence.leaving = source.leaving
        evidence.cut_together = source.cut_together(ended_at - SPREAD_SECONDS)
        evidence.may_run_again = source.may_run_again
        step, reason = judge(evidence)
        while step not in (Step.WHOLE, Step.BROKEN):
            if step is Step.WAIT:
                await asyncio.sleep(ended_at + RESEND_SECONDS - loop_time())
                evidence.waited = True
                evidence.earlier_open = _any_open(earlier)
            else:
                evidence.instance = await _ask(source)
            step, reason = judge(evidence)
        if step is Step.BROKEN:
            raise EndUnconfirmed(
                "the answer has no length, and nothing shows that it is whole:"
                f" {reason.value}, new connection {opened.value}"
            )
        return reason

    async def _open(self, address, ended_at):
        """Open a connection, and return what became of it, an Opened.

        It is kept for the next request: the answer has used one up.
        """
        if not self._client.may_open(address):
            return Opened.NOT_ALLOWED
        try:
            async with asyncio.timeout(OPEN_SECONDS):
                path = await self._client.open_path(address)
        except ConnectionRefused:
            return Opened.REFUSED
        except (UpstreamError, asyncio.TimeoutError):
            return Opened.UNREACHABLE
        self._client.keep(path)
        prompt = loop_time() <= ended_at + RESTART_SECONDS
        return Opened.PROMPT if prompt else Opened.LATE


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


def _any_open(paths):
    return any(path.open for path in paths)


async def _ask(source):
    try:
        async with asyncio.timeout(ASK_SECONDS):
            return await source.ask_instance()
    except asyncio.TimeoutError:
        return Instance.SILENT
