"""``python -m soak.launch``: the real router, in the soak's network.

Before the program runs, its listening ports are moved behind relays, its
connections leave from its own IP number, and its time of day can be moved by
a number in a file.  The program itself is not changed, unless a broken
variant is asked for by name.
"""

from rowanport.signals import PROCESS

if __name__ == "__main__":
    # As the program itself does, before the imports.
    PROCESS.watch()

import asyncio
import json
import os
import time

VARIABLE = "SOAK_LAUNCH"


def _move_ports(address, ports):
    loop = asyncio.base_events.BaseEventLoop
    create_server = loop.create_server
    create_connection = loop.create_connection

    def listen(self, factory, host=None, port=None, **options):
        port = ports.get(str(port), port)
        return create_server(self, factory, host, port, **options)

    def connect(self, factory, host=None, port=None, **options):
        if options.get("local_addr") is None:
            options["local_addr"] = (address, 0)
        return create_connection(self, factory, host, port, **options)

    loop.create_server = listen
    loop.create_connection = connect


def _move_clock(path):
    source = os.open(path, os.O_RDONLY)
    real = time.time

    def moved():
        return real() + float(os.pread(source, 32, 0) or b"0")

    time.time = moved


def main():
    """Prepare as the variable says, and run the router."""
    wanted = json.loads(os.environ.pop(VARIABLE))
    _move_ports(wanted["address"], wanted["ports"])
    _move_clock(wanted["clock"])
    if wanted["broken"]:
        from . import broken

        broken.VARIANTS[wanted["broken"]].apply()
    from rowanport.platform.__main__ import main as run

    run()


if __name__ == "__main__":
    main()
