"""Commands for upstreams and their groups."""

import pathlib

import typer

from . import common
from ..config.editor import put_group
from ..config.editor import put_upstream
from ..errors import UserError
from ..schema.messages import GroupRecord
from ..schema.messages import UpstreamRecord

app = typer.Typer(no_args_is_help=True, help="Upstreams and their groups.")


@app.command("group")
def add_group(
    name: str,
    kind: str = typer.Option("engine", help="engine or service."),
    call_cost: int = typer.Option(0, min=0, help="Tokens a service call."),
    max_tokens: int = typer.Option(256, min=1, help="Default bound."),
    bytes_per_token: float = typer.Option(
        1.0, min=0.1, help="Fewest bytes of a prompt in one token."
    ),
    change: str = common.ChangeOption,
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Add or replace a group of upstreams."""
    if kind not in ("engine", "service"):
        raise UserError("a group is of kind engine or service")
    operator = common.Operator(settings)
    record = GroupRecord(name, kind, call_cost, max_tokens, bytes_per_token)
    version = common.run(
        operator.config.apply(common.change_id(change), put_group(record))
    )
    common.show({"version": version}, as_json, f"added group {name}")


@app.command("add")
def add(
    address: str,
    group: str,
    data_centre: str = typer.Option("", help="Data centre of the upstream."),
    capacity: int = typer.Option(16, min=1, help="Requests at once."),
    leaving: bool = typer.Option(False, help="Takes no new work."),
    change: str = common.ChangeOption,
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Add or replace an upstream."""
    operator = common.Operator(settings)
    record = UpstreamRecord(address, group, data_centre, capacity, leaving)
    version = common.run(
        operator.config.apply(common.change_id(change), put_upstream(record))
    )
    common.show({"version": version}, as_json, f"added {address}")


@app.command("list")
def list_all(
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """List the upstreams."""
    operator = common.Operator(settings)
    snapshot, _version = common.run(operator.config.read())
    rows = [
        {
            "address": record.address,
            "group": record.group,
            "data_centre": record.data_centre,
            "capacity": record.capacity,
            "leaving": record.leaving,
        }
        for _address, record in sorted(snapshot.upstreams.items())
    ]
    common.show_table(rows, as_json)
