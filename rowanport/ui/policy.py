"""Commands for policies."""

import json
import pathlib
import tomllib

import typer

from . import common
from ..config.editor import put_policy
from ..errors import UserError
from ..policy import Policy
from ..policy import run_cases
from ..schema.messages import PolicyCase
from ..schema.messages import PolicyRecord

app = typer.Typer(no_args_is_help=True, help="Policies.")
FileArgument = typer.Argument(help="TOML file with source and cases.")


def read_policy(path):
    """Return the PolicyRecord in a TOML file; raise UserError if unfit."""
    try:
        with open(path, "rb") as source:
            values = tomllib.load(source)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise UserError(f"{path}: {error}") from None
    if not isinstance(values.get("source"), str):
        raise UserError(f"{path}: source is missing")
    cases = [
        PolicyCase(
            str(case.get("name", f"case {number}")),
            json.dumps(case.get("request", {})),
            json.dumps(case.get("expected", {})),
        )
        for number, case in enumerate(values.get("case", []), 1)
    ]
    return PolicyRecord(values["source"], cases)


def check_policy(path):
    """Return the PolicyRecord in a file whose cases all pass."""
    record = read_policy(path)
    failures = run_cases(Policy(record.source), record.cases)
    if failures:
        lines = [
            f"case {failure.name!r}: expected {json.dumps(failure.expected)},"
            f" got {json.dumps(failure.got)}"
            for failure in failures
        ]
        raise UserError("\n".join(lines))
    return record


@app.command("test")
def test(
    path: pathlib.Path = FileArgument,
    as_json: bool = common.JsonOption,
):
    """Run a policy's cases; nothing is published."""
    record = check_policy(path)
    count = len(record.cases)
    common.show({"cases": count}, as_json, f"{count} cases pass")


@app.command("publish")
def publish(
    path: pathlib.Path = FileArgument,
    expected: int = typer.Option(
        -1, help="Version to build on; another one is a conflict."
    ),
    change: str = common.ChangeOption,
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Publish a policy whose cases pass."""
    record = check_policy(path)
    operator = common.Operator(settings)
    version = common.run(
        operator.config.apply(
            common.change_id(change),
            put_policy(record),
            None if expected < 0 else expected,
        )
    )
    common.show({"version": version}, as_json, f"published, version {version}")


@app.command("show")
def show(
    settings: pathlib.Path = common.SettingsOption,
    as_json: bool = common.JsonOption,
):
    """Show the policy in the store."""
    operator = common.Operator(settings)
    snapshot, _version = common.run(operator.config.read())
    source = snapshot.policy.source
    value = {"version": snapshot.version, "source": source}
    common.show(value, as_json, source)
