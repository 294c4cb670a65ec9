"""Reads the settings file that the platform gives each process."""

import json
import math

from ..errors import SettingsError
from ..gateway.settings import GatewaySettings

# The variable that names the settings file.
PATH_VARIABLE = "ROWANPORT_NODE_FILE"
# The variable by which the deploy file hands over the routers' secret.
SECRET_VARIABLE = "ROWANPORT_PEER_SECRET"
# The variables by which the deploy file sets the costs of copied runs.
MOVE_VARIABLES = {
    "copy_cost": "ROWANPORT_COPY_COST",
    "lost_stream_cost": "ROWANPORT_LOST_STREAM_COST",
    "engine_failure_rate": "ROWANPORT_ENGINE_FAILURE_RATE",
}


class PlatformSettings:
    """The settings of one process.

    :ivar gateway: GatewaySettings
    :ivar store: IP and port of the platform's store
    """

    __slots__ = ("gateway", "store")

    def __init__(self, gateway, store):
        self.gateway = gateway
        self.store = store


def read_settings(environment):
    """Return the PlatformSettings of this process.

    :param environment: the process's variables
    :raises SettingsError: the file cannot be read, or something is missing
    """
    path = environment.get(PATH_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as source:
            fields = json.load(source)
        moves = _read_moves(environment)
        return _decode(fields, environment[SECRET_VARIABLE], moves)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from None
    except KeyError as error:
        raise SettingsError(f"{path}: {error} is missing") from None


def _read_link_rate(fields):
    """Return the link's rate in bytes a second, 0 if it is not told."""
    megabits = (fields.get("limits") or {}).get("link_mbps") or 0
    return megabits * 1e6 / 8


def _read_moves(environment):
    """Return the settings of copied runs; those not set are left out."""
    values = {}
    for name, variable in MOVE_VARIABLES.items():
        text = environment.get(variable, "")
        if text:
            values[name] = _read_cost(variable, text)
    return values


def _read_cost(variable, text):
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < math.inf:
        raise SettingsError(f"{variable}: {text!r} is no number from 0 on")
    return value


def _decode(fields, secret, moves):
    bounds = fields["bounds"]
    listen = fields["listen"]
    gateway = GatewaySettings(
        name=fields["node_name"],
        data_centre=fields["zone"],
        region=fields["region"],
        callers=listen["front"],
        health=listen["ready"],
        peers=listen["control"],
        seeds=fields.get("seeds") or [],
        secret=secret,
        stop_grace=bounds["grace_s"],
        retry_ratio=bounds["retry_budget_ratio"],
        retry_slack=bounds["retry_slack"],
        retry_window=bounds["budget_window_s"],
        link_rate=_read_link_rate(fields),
        **moves,
    )
    return PlatformSettings(gateway, fields["platform"]["address"])
