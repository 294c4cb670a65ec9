"""Commands for settings files."""

import pathlib

import typer

from ..settings import example_settings
from ..settings import read_settings

app = typer.Typer(no_args_is_help=True, help="Settings files.")


@app.command("check")
def check(path: pathlib.Path):
    """Check a settings file; each mistake is one line, and exit 2."""
    read_settings(path)
    print("no mistakes")


@app.command("example")
def example():
    """Print a settings file with every default."""
    print(example_settings(), end="")
