"""Commands for organisations."""

import pathlib
import re

import typer

from . import common
from .. import keys
from ..config.editor import put_organisation
from ..errors import UserError
from ..schema.messages import OrganisationRecord

app = typer.Typer(no_args_is_help=True, help="Organisations.")
NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")


@app.command("create")
def create(
    name: str,
    weight: int = typer.Option(1, min=1, max=1000, help="Fair share."),
    concurrency: int = typer.Option(0, min=0, help="Limit; 0 is none."),
    rate: float = typer.Option(0.0, min=0, help="Requests/s; 0 is any."),
    change: str = common.ChangeOption,
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Create an organisation and print its key, once."""
    if not NAME.fullmatch(name):
        raise UserError("a name is of a-z, 0-9, _ and -, 63 at most")
    operator = common.Operator(settings)
    key = keys.new_key(name)
    salt = keys.new_salt()
    record = OrganisationRecord(
        name, salt, keys.hash_key(salt, key), weight, concurrency, rate
    )
    version = common.run(
        operator.config.apply(
            common.change_id(change), put_organisation(record)
        )
    )
    value = {"organisation": name, "key": key, "version": version}
    common.show(value, as_json, f"created {name}; its key, shown once:\n{key}")


@app.command("list")
def list_all(
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """List the organisations."""
    operator = common.Operator(settings)
    snapshot, _version = common.run(operator.config.read())
    rows = [
        {
            "organisation": record.name,
            "weight": record.weight,
            "concurrency": record.concurrency,
            "rate": record.rate,
        }
        for record in sorted(
            snapshot.organisations.values(), key=lambda record: record.name
        )
    ]
    common.show_table(rows, as_json)
