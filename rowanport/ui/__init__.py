"""The command line: small commands over the library, which never prints."""

import sys

import typer

from . import blocked
from . import budget
from . import common
from . import daemons
from . import explain
from . import fleet
from . import organisation
from . import placement
from . import policy
from . import settings
from . import upstream
from ..errors import UserError

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A router fleet for prepaid token budgets.",
)
app.add_typer(organisation.app, name="organisation")
app.add_typer(budget.app, name="budget")
app.add_typer(blocked.app, name="blocked")
app.add_typer(policy.app, name="policy")
app.add_typer(upstream.app, name="upstream")
app.add_typer(settings.app, name="settings")
app.add_typer(daemons.standin_app, name="standin")
app.command("router")(daemons.run_router)
app.command("status")(fleet.show_status)
app.command("audit")(fleet.show_audit)
app.command("placement")(placement.show_placement)
app.command("explain")(explain.run_explain)


def main():
    """Run the command line; exit 1 on a refused change, 2 on bad input."""
    try:
        app()
    except UserError as error:
        print(error, file=sys.stderr)
        sys.exit(common.exit_code(error))
