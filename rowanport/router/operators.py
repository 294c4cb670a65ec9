"""The HTTP server for operators: health, metrics and status."""

from ..web import HttpServer

# Maximum number of unsettled reservations in the status, the oldest first.
MAX_SHOWN_UNSETTLED = 20


class OperatorServer:
    """Serves ``/healthz``, ``/readyz``, ``/metrics`` and ``/status``.

    :param router: the Router
    :param settings: Settings
    """

    def __init__(self, router, settings):
        self._router = router
        self._server = HttpServer(self._handle)

    async def start(self, address, port):
        """Listen on an address."""
        await self._server.start(address, port)

    async def close(self):
        """Stop listening and close all connections."""
        await self._server.close()

    async def _handle(self, request, responder):
        if request.path == "/healthz":
            return await responder.reply(200, b"ok\n")
        if request.path == "/readyz":
            status = 200 if self._router.ready else 503
            return await responder.reply(status, b"")
        if request.path == "/metrics":
            self._update_gauges()
            text, kind = self._router.metrics.render()
            return await responder.reply(200, text, kind=kind)
        if request.path == "/status":
            return await responder.reply_json(200, self.status())
        return await responder.reply(404, b"")

    @property
    def _unsettled(self):
        """Return the number of open reservations that this router knows.

        These are its own and those that its shards hold for others.
        """
        router = self._router
        return router.ledger.unbilled + router.keeper.unsettled

    def _oldest_unsettled(self):
        """Return the oldest unsettled reservations as JSON values."""
        router = self._router
        items = router.ledger.unsettled_items()
        items += router.keeper.unsettled_items()
        items.sort(key=lambda item: item.since)
        now = router.clock.wall()
        return [item.as_dict(now) for item in items[:MAX_SHOWN_UNSETTLED]]

    def _update_gauges(self):
        router = self._router
        metrics = router.metrics
        metrics.config_version.set({}, router.config.snapshot.version)
        metrics.unsettled.set({}, self._unsettled)
        metrics.store_calls.set({"kind": "read"}, router.store.reads)
        metrics.store_calls.set({"kind": "write"}, router.store.writes)
        metrics.peer_bytes.set({}, router.traffic.sent)
        granted = sum(
            account.granted
            for holder in router.keeper.places().values()
            for account in holder.accounts()
        )
        metrics.granted.set({}, granted)
        for name, group in router.groups().items():
            metrics.waiting.set({"group": name}, group.lane.size)

    def status(self):
        """Return the state of this router as JSON values."""
        router = self._router
        return {
            "name": router.settings.router.name,
            "incarnation": router.incarnation,
            "state": router.members.own_entry.state,
            "config_version": router.config.snapshot.version,
            "requests": router.callers.busy,
            "unsettled": self._unsettled,
            "untold": router.ledger.untold,
            "oldest_unsettled": self._oldest_unsettled(),
            "store": {
                "reads": router.store.reads,
                "writes": router.store.writes,
            },
            "peer_bytes": router.traffic.sent,
            "members": [
                {
                    "incarnation": entry.incarnation,
                    "data_centre": entry.data_centre,
                    "state": entry.state,
                    "config_version": entry.config,
                }
                for entry in router.members.live()
            ],
            "shards": [
                _shard_status(shard, holder)
                for shard, holder in sorted(router.keeper.places().items())
            ],
            "groups": {
                name: _group_status(group)
                for name, group in router.groups().items()
            },
        }


def _shard_status(shard, holder):
    accounts = [a for a in holder.accounts() if a.granted or a.reserved]
    return {
        "shard": shard,
        "holder": holder.holder,
        "budgets": len(accounts),
        "granted": sum(account.granted for account in accounts),
        "reserved": sum(
            reservation.tokens for reservation in holder.reservations()
        ),
    }


def _group_status(group):
    return {
        "waiting": group.lane.size,
        "slots": group.pool.slots(),
        "upstreams": [
            {
                "address": upstream.address,
                "outstanding": upstream.outstanding,
                "limit": group.pool.limit(upstream),
                "open": group.pool.is_open(upstream),
            }
            for upstream in group.pool.upstreams()
        ],
    }
