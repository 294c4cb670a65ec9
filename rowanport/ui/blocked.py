"""Commands for requests, and parts of prompts, that are blocked."""

import typer

from . import common
from ..errors import UserError
from ..gateway.fingerprint import format_fingerprint
from ..gateway.fingerprint import parse_fingerprint
from ..schema.messages import BlockedAsk

app = typer.Typer(
    no_args_is_help=True,
    help="Requests, and parts of prompts, that crash upstreams.",
)


@app.command("list")
def show_blocked(
    router: str = common.RouterArgument,
    secret: str = common.SecretOption,
    as_json: bool = common.JsonOption,
):
    """List what a router blocks."""
    rows = common.run(_ask(router, secret, []))
    common.show_table(rows, as_json)


@app.command("free")
def free(
    router: str = common.RouterArgument,
    fingerprints: list[str] = typer.Argument(
        ..., help="As in the list, and in the logs."
    ),
    secret: str = common.SecretOption,
    as_json: bool = common.JsonOption,
):
    """Clear suspects of all crashes so far, at all routers.

    What is blocked still is listed.
    """
    try:
        free = [parse_fingerprint(text) for text in fingerprints]
    except ValueError:
        raise UserError("not a fingerprint of a request or a part") from None
    rows = common.run(_ask(router, secret, free))
    common.show_table(rows, as_json)


async def _ask(router, secret, free):
    """Return the rows of what a router blocks, after some were freed."""
    answer = await common.ask_router(router, secret, BlockedAsk(free))
    return [
        {
            "fingerprint": format_fingerprint(row.fingerprint),
            "crashes": len(row.crashes) - len(row.cleared),
            "last_crash_s": round(min(c.age for c in row.crashes)),
            "seen_by": row.source,
            "stored": row.stored,
        }
        for row in answer.rows
    ]
