"""A router's process: started, signalled and started again."""

import datetime
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from .launch import VARIABLE

SECRET = "only-for-the-soak"
ROOT = pathlib.Path(__file__).resolve().parent.parent
CLOCK_WIDTH = 32


class Router:
    """One router, whichever process runs it at present.

    :param ports: Ports that are alike on all routers
    :param seeds: addresses of routers that it asks first
    :param broken: name of the broken variant to run, "" for the real one
    :param relayed: whether others reach it through a relay
    :ivar callers: (IP, port) for callers
    :ivar life: count of its processes
    :ivar told: whether its process was told to end
    """

    def __init__(
        self, name, ip, ports, directory, bounds, repeats, broken, relayed
    ):
        self.name = name
        self.ip = ip
        self.callers = (ip, ports.callers)
        self.health = f"{ip}:{ports.health}"
        self.peers = f"{ip}:{ports.peers}"
        self.life = 0
        self.told = False
        self.frozen = False
        self._ports = ports
        self._bounds = bounds
        self._repeats = repeats
        self._broken = broken
        self._relayed = relayed
        self._settings = directory / f"{name}.json"
        self._clock = directory / f"{name}.clock"
        self.log = directory / f"{name}.log"
        self._process = None
        self.set_clock(0.0)

    @property
    def alive(self):
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self):
        return self._process.poll()

    def write_settings(self, seeds):
        """Write the settings file as the platform does."""
        bounds = self._bounds
        ports = self._ports
        ratio, slack = self._repeats
        fields = {
            "node_name": self.name,
            "role": "router",
            "ip": self.ip,
            "zone": "hall-a",
            "region": "north",
            "listen": {
                "front": f"{self.ip}:{ports.callers}",
                "ready": self.health,
                "control": self.peers,
            },
            "seeds": seeds,
            "bounds": {
                "grace_s": bounds.grace,
                "drain_ms": int(bounds.drain * 1000),
                "config_apply_ms": int(bounds.apply * 1000),
                "retry_budget_ratio": ratio,
                "retry_slack": slack,
                "budget_window_s": 10,
            },
            "platform": {"address": f"{self.ip}:{ports.store}"},
        }
        new = self._settings.with_suffix(".new")
        new.write_text(json.dumps(fields))
        new.replace(self._settings)

    def set_clock(self, offset):
        """Move its time of day by seconds."""
        self._clock.write_text(f"{offset:<{CLOCK_WIDTH}}")

    def start(self):
        """Start its next process."""
        ports = self._ports
        moved = {str(ports.peers): ports.peers_behind}
        wanted = {
            "address": self.ip,
            "ports": moved if self._relayed else {},
            "clock": str(self._clock),
            "broken": self._broken,
        }
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "ROWANPORT_NODE_FILE": str(self._settings),
            "ROWANPORT_PEER_SECRET": SECRET,
            VARIABLE: json.dumps(wanted),
        }
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "soak.launch"],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
                start_new_session=True,
            )
        self.life += 1
        self.told = False
        self.frozen = False

    def signal(self, number):
        """Send a signal if the process still runs."""
        if self.alive:
            self._process.send_signal(number)

    def kill(self):
        """End the process, and wait until it is gone."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    def failed_tasks(self):
        """Return (time, cause) of tasks that failed, from the log."""
        text = self.log.read_text(errors="replace")
        failed = []
        for line in text.splitlines():
            if '"task_failed"' in line:
                row = json.loads(line)
                failed.append((_steady(row["timestamp"]), _cause(row)))
        return failed


def _steady(timestamp):
    """Return the steady time of a time of day."""
    at = datetime.datetime.fromisoformat(timestamp.replace("Z", "+00:00"))
    return now() - (time.time() - at.timestamp())


def _cause(row):
    """Return the innermost place and the error of a logged exception."""
    lines = row["exception"].splitlines()
    places = [line for line in lines if line.startswith("  File ")]
    place = places[-1].strip().replace(str(ROOT), "") if places else ""
    return f"{lines[-1]} at {place}"


class Ports:
    """Ports that are alike on all routers.

    :ivar peers_behind: where a router listens for peers, behind its relay
    """

    __slots__ = ("callers", "health", "peers", "peers_behind", "store")

    def __init__(self, numbers):
        for slot, number in zip(self.__slots__, numbers, strict=True):
            setattr(self, slot, number)


def now():
    """Return the steady time that all records use."""
    return time.monotonic()
