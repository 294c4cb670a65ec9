"""The HTTP interface for operators: readiness and metrics."""

from .. import logs
from ..web import HttpServer
from .settings import split_address


class HealthServer:
    """Serves ``/readyz`` and ``/metrics``.

    :param gateway: the Gateway
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._server = HttpServer(self._handle)

    async def start(self, address):
        """Listen on an address.

        :param address: IP and port as text
        """
        await self._server.start(*split_address(address))

    async def close(self):
        """Close all connections at once."""
        await self._server.close()

    async def _handle(self, request, responder):
        if request.path == "/readyz":
            welcome = self._gateway.ready and not self._gateway.is_full()
            status = 200 if welcome else 503
            return await responder.reply(status)
        if request.path == "/metrics":
            text, kind = self._render()
            return await responder.reply(200, text, kind=kind)
        return await responder.reply(404)

    def _render(self):
        gateway = self._gateway
        metrics = gateway.metrics
        for name, account in gateway.budgets.accounts.items():
            metrics.tokens_held.set({"budget": name}, account.available)
        for name, seconds in gateway.loop_silences().items():
            metrics.loop_silent.set({"loop": name}, seconds)
        metrics.lost_upstream_links.set({}, len(gateway.links.lost))
        metrics.cut_off.set({}, int(gateway.links.cut_off))
        metrics.tunnels.set({}, gateway.tunnels.count)
        evacuations = gateway.views.evacuations
        metrics.evacuated.set({}, len(evacuations.data_centres))
        metrics.unreadable_evacuations.set({}, evacuations.unreadable)
        metrics.leaving_upstreams.set({}, gateway.notices.leaving_count)
        metrics.backed_off_upstreams.set({}, gateway.notices.backed_off_count)
        metrics.cold_upstreams.set({}, len(gateway.cold.rows()))
        metrics.diverts.set({}, int(gateway.is_diverting()))
        metrics.link_share.set({}, gateway.callers.link_share)
        gateway.speeds.set_gauges()
        metrics.logs_dropped.set({}, logs.dropped())
        version = gateway.table.version if gateway.table else 0
        metrics.config_version.set({}, version)
        metrics.view_age.set({}, gateway.views.freshness.age)
        metrics.live_routers.set({}, len(gateway.members.live()))
        return metrics.render()
