"""The HTTP server for callers."""

import structlog

from . import answers
from ..errors import ErrorKind
from ..errors import Outcome
from ..errors import RequestError
from ..web import HttpServer
from ..web.server import HttpLimits
from .call import read_call
from .service import PREFIX as SERVICES

LOG = structlog.get_logger(__name__)
CHAT = "/v1/chat/completions"
MODELS = "/v1/models"


class CallerServer:
    """Reads requests, passes them to their runners and answers errors.

    :param router: the Router
    :param settings: Settings
    """

    def __init__(self, router, settings):
        self._router = router
        self._settings = settings.callers
        self._retry_after = settings.scheduling.retry_after
        callers = settings.callers
        limits = HttpLimits(
            callers.header_limit,
            callers.body_limit,
            callers.header_timeout,
            callers.body_timeout,
            callers.connections,
        )
        self._server = HttpServer(self._handle, self._refuse, limits)

    @property
    def busy(self):
        """Return the number of requests in progress."""
        return self._server.busy

    async def start(self, address, port):
        """Listen on an address."""
        await self._server.start(address, port)

    def drain(self):
        """Close each connection after its next answer."""
        self._server.drain()

    async def finish(self, seconds):
        """Stop listening, close idle connections, wait for the others.

        :param seconds: maximum time to wait
        """
        await self._server.finish(seconds)

    async def close(self):
        """Stop listening and drop all connections."""
        await self._server.close()

    async def _refuse(self, responder, error):
        await self._send_error(responder, None, error)

    async def _handle(self, request, responder):
        call = None
        try:
            self._check_ready()
            if request.path == MODELS:
                return await self._list_models(request, responder)
            runner = self._find_runner(request)
            call = read_call(
                request,
                self._router.config.snapshot,
                self._settings,
                self._router.clock.wall(),
            )
            arrived = self._router.clock.steady()
            job = runner.make_job(call, request, arrived)
            await runner.run(job, responder)
            self._count("ok", Outcome.DONE)
        except RequestError as error:
            await self._send_error(responder, call, error)
        except OSError:
            raise
        except Exception:
            LOG.exception("request_failed")
            error = RequestError(ErrorKind.INTERNAL, "internal error")
            await self._send_error(responder, call, error)

    def _check_ready(self):
        if self._router.stopping:
            raise RequestError(ErrorKind.STOPPING, "the router is stopping")
        if not self._router.ready:
            raise RequestError(
                ErrorKind.NOT_READY, "the router has no configuration yet"
            )

    def _find_runner(self, request):
        if request.path == CHAT:
            if request.method != "POST":
                raise RequestError(
                    ErrorKind.MALFORMED, "the method must be POST"
                )
            return self._router.chat
        if request.path.startswith(SERVICES):
            return self._router.service
        raise RequestError(ErrorKind.UNKNOWN_PATH, "no such path")

    async def _list_models(self, request, responder):
        snapshot = self._router.config.snapshot
        read_call(request, snapshot, self._settings, self._router.clock.wall())
        rows = [
            {"id": group.name, "object": "model", "owned_by": "rowanport"}
            for group in snapshot.groups.values()
            if group.kind == "engine"
        ]
        await responder.reply_json(200, {"object": "list", "data": rows})

    async def _send_error(self, responder, call, error):
        self._count(error.kind.value, error.outcome)
        if responder.started:
            # Part of the answer was sent.  It is left unterminated, so that
            # the caller does not take it for complete.
            return
        wait = 0.0
        if error.come_back_at is not None:
            wait = error.come_back_at - self._router.clock.steady()
        await answers.send_error(
            responder, call, error, self._retry_after, wait
        )

    def _count(self, kind, outcome):
        labels = {"kind": kind, "outcome": outcome.value}
        self._router.metrics.answers.inc(labels)
