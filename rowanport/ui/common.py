"""What the commands share: options, store access, printing."""

import asyncio
import getpass
import json
import sys

import typer

from ..clock import SystemClock
from ..config import ConfigEditor
from ..errors import ConflictError
from ..errors import PeerError
from ..errors import SettingsError
from ..errors import StoreError
from ..errors import UserError
from ..hashing import new_id
from ..ledger.editor import BudgetEditor
from ..peers import PeerClient
from ..settings import read_settings
from ..store import InstanceDirectory
from ..store import KeyValueStore
from ..web import HttpClient

REFUSED = 1
BAD_INPUT = 2
CONFLICT = 3
# Seconds for which a router's answer is waited for.
ANSWER_TIMEOUT = 2.0

SettingsOption = typer.Option(
    ...,
    "--settings",
    envvar="ROWANPORT_SETTINGS",
    help="Settings file of any router of the fleet.",
)
RouterArgument = typer.Argument(
    ..., help="IP and port for peers, of any router of the fleet."
)
SecretOption = typer.Option(
    ...,
    "--secret",
    envvar="ROWANPORT_PEER_SECRET",
    help="Secret that the routers share.",
)
JsonOption = typer.Option(False, "--json", help="Print JSON.")
ChangeOption = typer.Option(
    "", "--change", help="Change id; the same id again does nothing."
)


def exit_code(error):
    """Return the exit code of a UserError."""
    if isinstance(error, SettingsError):
        return BAD_INPUT
    if isinstance(error, ConflictError):
        return CONFLICT
    return REFUSED


class Operator:
    """An operator's access to the platform.

    :param path: settings file
    """

    def __init__(self, path):
        self.settings = read_settings(path)
        self.clock = SystemClock()
        self.http = HttpClient()
        platform = self.settings.platform
        name = self.settings.router.name + "-operator"
        self.store = KeyValueStore(
            self.http, platform.store, name, platform.call_timeout
        )
        self.directory = InstanceDirectory(
            self.http, platform.store, name, platform.call_timeout
        )
        who = getpass.getuser()
        self.config = ConfigEditor(self.store, who, self.clock)
        self.budgets = BudgetEditor(
            self.store, self.settings.ledger.shards, who, self.clock
        )


def run(coroutine):
    """Run a command's coroutine to its end and return its result."""
    try:
        return asyncio.run(coroutine)
    except StoreError as error:
        raise UserError(f"the store does not answer: {error}") from None


async def ask_router(router, secret, message):
    """Return a router's answer to an operator's message.

    :param router: its peer address
    :raises UserError: it does not answer
    """
    peers = PeerClient("operator", secret)
    try:
        return await peers.call(router, message, ANSWER_TIMEOUT)
    except PeerError as error:
        raise UserError(f"the router does not answer: {error}") from None
    finally:
        peers.close()


def change_id(given):
    """Return the change id that was given, or a fresh one."""
    return given or new_id()


def show(value, as_json, text):
    """Print a result as JSON or as text."""
    print(json.dumps(value, indent=1) if as_json else text)


def show_table(rows, as_json):
    """Print rows, each a map with the same keys."""
    if as_json:
        print(json.dumps(rows, indent=1))
        return
    if not rows:
        print("none", file=sys.stderr)
        return
    names = list(rows[0])
    table = [names] + [[str(row[name]) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*table)]
    for line in table:
        cells = (cell.ljust(width) for cell, width in zip(line, widths))
        print("  ".join(cells).rstrip())
