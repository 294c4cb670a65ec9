"""Commands that look at the whole fleet."""

import asyncio
import datetime
import json
import pathlib

import typer

from . import common
from ..errors import PeerError
from ..peers import PeerClient
from ..schema.messages import StatusAsk
from ..store.directory import ROUTER_ROLE

STATUS_TIMEOUT = 2.0


async def _read_status(peers, instance):
    """Return the status row of one router."""
    row = {"router": instance.name, "data_centre": instance.data_centre}
    try:
        answer = await peers.call(
            instance.address, StatusAsk(), STATUS_TIMEOUT
        )
        value = json.loads(answer.status)
    except PeerError:
        value = {}
    shards = value.get("shards", [])
    groups = value.get("groups", {})
    row["state"] = value.get("state", "no answer")
    row["version"] = value.get("config_version", "")
    row["sees"] = len(value.get("members", []))
    row["requests"] = value.get("requests", "")
    row["waiting"] = sum(group["waiting"] for group in groups.values())
    row["shards"] = len(shards)
    row["granted"] = sum(shard["granted"] for shard in shards)
    row["unsettled"] = value.get("unsettled", "")
    return row


def show_status(
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Show all routers at a glance."""
    operator = common.Operator(settings)

    async def read():
        instances = await operator.directory.instances()
        routers = [i for i in instances if i.role == ROUTER_ROLE]
        routers.sort(key=lambda instance: instance.name)
        peers = PeerClient("operator", operator.settings.router.secret)
        rows = await asyncio.gather(
            *(_read_status(peers, router) for router in routers)
        )
        peers.close()
        return rows

    common.show_table(list(common.run(read())), as_json)


def show_audit(
    limit: int = typer.Option(50, min=1, max=10000),
    what: str = typer.Option("", help="Only changes that contain this."),
    who: str = typer.Option("", help="Only changes by this operator."),
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Show who changed what, when, from what to what; newest first."""
    operator = common.Operator(settings)

    async def read():
        return await asyncio.gather(
            operator.config.trail(limit), operator.budgets.trail(limit)
        )

    config, budgets = common.run(read())
    entries = sorted([*config, *budgets], key=lambda entry: -entry.when)
    rows = [
        {
            "when": datetime.datetime.fromtimestamp(
                entry.when, datetime.timezone.utc
            ).isoformat(timespec="seconds"),
            "who": entry.who,
            "what": entry.what,
            "before": entry.before,
            "after": entry.after,
            "change": entry.change,
        }
        for entry in entries
        if what in entry.what and (not who or who == entry.who)
    ]
    common.show_table(rows[:limit], as_json)
