"""``python -m rowanport.platform``: a gateway on the users' platform."""

from ..signals import PROCESS

if __name__ == "__main__":
    # The imports below take most of the start.
    PROCESS.watch()

import asyncio
import gc
import os
import sys

import structlog

from .. import logs
from ..clock import SystemClock
from ..errors import SettingsError
from ..gateway import Gateway
from ..web import HttpClient
from ..web.connector import Keepalive
from .config import decode_config
from .directory import RouterDirectory
from .settings import read_settings
from .sources import ConfigSource
from .sources import UpstreamSource
from .store import PlatformStore
from .words import DIALECT

LOG = structlog.get_logger(__name__)

# Longest wait in seconds for a connection to the store.
STORE_CONNECT_TIMEOUT = 0.5
# A watch has nothing else to tell that its connection went silent: it is given
# up after 2 s, so that a change is in force within 3 s of a silence.
STORE_KEEPALIVE = Keepalive(probes=1)


def build(settings, clock=None):
    """Return the Gateway for PlatformSettings.

    :param clock: a Clock, the machine's if None
    """
    clock = clock or SystemClock()
    client = HttpClient(STORE_CONNECT_TIMEOUT, STORE_KEEPALIVE)
    store = PlatformStore(client, settings.store, clock)
    directory = RouterDirectory(store, settings.gateway)
    sources = [
        ConfigSource(store, clock),
        UpstreamSource(store, clock),
        directory,
    ]
    return Gateway(
        settings.gateway,
        DIALECT,
        store,
        directory,
        sources,
        decode_config,
        clock,
    )


async def run(settings):
    """Run a gateway until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    gateway = build(settings)

    def reload():
        try:
            changed = read_settings(os.environ)
        except SettingsError as error:
            LOG.error("settings_unread", error=str(error))
            return
        gateway.reload(changed.gateway)

    PROCESS.follow(asyncio.get_running_loop(), stop.set, reload)
    await gateway.start()
    # What is alive now stays: keep it out of later collections.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await gateway.stop()


def main():
    """Read the settings and run."""
    PROCESS.watch()
    try:
        settings = read_settings(os.environ)
    except SettingsError as error:
        sys.exit(str(error))
    logs.set_up_bounded(instance=settings.gateway.name)
    try:
        asyncio.run(run(settings))
    finally:
        PROCESS.ignore()
        logs.finish()


if __name__ == "__main__":
    main()
