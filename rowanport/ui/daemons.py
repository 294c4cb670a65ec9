"""Commands that run a daemon until it is told to stop."""

import asyncio
import gc
import pathlib

import typer

from .. import logs
from ..router import Router
from ..settings import read_settings
from ..signals import PROCESS
from ..standins.engine import EngineStandin
from ..standins.platform import PlatformStandin
from ..standins.service import ServiceStandin

standin_app = typer.Typer(
    no_args_is_help=True, help="Stand-ins of outside systems, for tests."
)
AddressOption = typer.Option("127.0.0.1", help="IP number.")
PortArgument = typer.Argument(min=1, max=65535)


def _watch_signals(first, second):
    """Set one event at the first signal to stop, another at the second.

    A SIGHUP, as a closing terminal sends it, sets the first one only.
    """

    def stop():
        if first.is_set():
            second.set()
        first.set()

    PROCESS.watch()
    PROCESS.follow(asyncio.get_running_loop(), stop, first.set)


def _run(coroutine):
    """Run a daemon until it has stopped."""
    asyncio.run(coroutine)
    PROCESS.ignore()


async def _run_router(settings):
    stop = asyncio.Event()
    at_once = asyncio.Event()
    _watch_signals(stop, at_once)
    router = Router(settings)
    await router.start()
    # What is alive now stays: keep it out of later collections.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await router.stop(at_once)


def run_router(
    settings: pathlib.Path = typer.Option(
        ..., "--settings", envvar="ROWANPORT_SETTINGS"
    ),
):
    """Run a router; SIGTERM stops it without cutting a stream."""
    parsed = read_settings(settings)
    logs.set_up(parsed.logs, instance=parsed.router.name)
    _run(_run_router(parsed))


async def _run_standin(standin, address, port):
    stop = asyncio.Event()
    _watch_signals(stop, stop)
    await standin.start(address, port)
    await stop.wait()
    await standin.close()


@standin_app.command("platform")
def run_platform(
    port: int = PortArgument,
    address: str = AddressOption,
    lag: float = typer.Option(1.0, min=0, help="Lag of the list in s."),
    writes: int = typer.Option(100, min=1, help="Writes a second."),
):
    """Run a store and an instance list."""

    async def run():
        standin = PlatformStandin(lag, writes)
        await _run_standin(standin, address, port)

    _run(run())


@standin_app.command("engine")
def run_engine(
    port: int = PortArgument,
    address: str = AddressOption,
    step: float = typer.Option(0.02, min=0.001, help="Seconds a token."),
    batch: int = typer.Option(16, min=1, help="Requests at once."),
    queue: int = typer.Option(64, min=0, help="Requests that wait."),
    prefixes: int = typer.Option(64, min=1, help="Cached prefixes."),
):
    """Run a model engine."""

    async def run():
        standin = EngineStandin(step, batch, queue, prefixes)
        await _run_standin(standin, address, port)

    _run(run())


@standin_app.command("service")
def run_service(
    port: int = PortArgument,
    address: str = AddressOption,
    delay: float = typer.Option(0.005, min=0, help="Seconds a call."),
):
    """Run a plain service."""

    async def run():
        await _run_standin(ServiceStandin(delay), address, port)

    _run(run())
