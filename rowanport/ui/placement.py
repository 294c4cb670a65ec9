"""The command that lists what gets no, or few, new requests."""

from . import common
from ..schema.messages import PlacementAsk


def show_placement(
    router: str = common.RouterArgument,
    secret: str = common.SecretOption,
    as_json: bool = common.JsonOption,
):
    """List evacuated data centres and cold upstreams, as a router sees them.

    Evacuated data centres get no new requests, cold upstreams a few a second.
    """
    answer = common.run(common.ask_router(router, secret, PlacementAsk()))
    rows = [
        _row(data_centre, "", "evacuated", "", 0)
        for data_centre in answer.evacuated
    ]
    rows += [
        _row(
            row.data_centre,
            row.upstream,
            "cold",
            round(row.left, 1),
            row.quota,
        )
        for row in answer.cold
    ]
    common.show_table(rows, as_json)


def _row(data_centre, upstream, state, seconds, quota):
    return {
        "data_centre": data_centre,
        "upstream": upstream,
        "state": state,
        "seconds_left": seconds,
        "requests_a_second": quota,
    }
