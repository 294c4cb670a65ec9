"""Commands for prepaid budgets."""

import pathlib

import typer

from . import common
from ..errors import UserError
from ..ledger.record import free_tokens
from ..ledger.record import live_holders

app = typer.Typer(no_args_is_help=True, help="Prepaid budgets.")
NameArgument = typer.Argument(help="ORGANISATION/BUDGET")


@app.command("create")
def create(
    name: str = NameArgument,
    tokens: int = typer.Argument(min=0, help="Prepaid tokens."),
    change: str = common.ChangeOption,
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Create a budget."""
    operator = common.Operator(settings)

    async def make():
        snapshot, _version = await operator.config.read()
        organisation, slash, rest = name.partition("/")
        if not slash or not rest:
            raise UserError("name a budget as ORGANISATION/BUDGET")
        if organisation not in snapshot.organisations:
            raise UserError(f"no organisation {organisation!r}")
        await operator.budgets.create(common.change_id(change), name, tokens)

    common.run(make())
    common.show({"budget": name, "total": tokens}, as_json, f"created {name}")


@app.command("top-up")
def top_up(
    name: str = NameArgument,
    tokens: int = typer.Argument(help="Tokens to add; negative to take away."),
    change: str = common.ChangeOption,
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Add tokens to a budget, or lower it by what is free."""
    operator = common.Operator(settings)

    async def make():
        await operator.budgets.top_up(common.change_id(change), name, tokens)
        return await operator.budgets.read(name)

    _record, budget = common.run(make())
    value = {"budget": name, "total": budget.total}
    common.show(value, as_json, f"{name} has {budget.total} tokens in all")


@app.command("show")
def show(
    name: str = NameArgument,
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Show where a budget's tokens are."""
    operator = common.Operator(settings)
    record, budget = common.run(operator.budgets.read(name))
    grants = dict(sorted(budget.grants.items()))
    stranded = sum(
        tokens
        for holder, tokens in grants.items()
        if holder not in live_holders(record) and tokens > 0
    )
    value = {
        "budget": name,
        "total": budget.total,
        "settled": budget.settled,
        "absorbed": budget.absorbed,
        "free": free_tokens(budget),
        "granted": sum(grants.values()),
        "stranded": stranded,
        "grants": grants,
        "bills": sum(
            bill.budget == name and "/" not in request
            for request, bill in record.bills.items()
        ),
    }
    lines = [f"{key:9} {value[key]}" for key in value if key != "grants"]
    lines += [
        f"  {tokens:>12} at {holder}" for holder, tokens in grants.items()
    ]
    common.show(value, as_json, "\n".join(lines))
