"""The command that finds a request's lines in logs."""

import collections
import json
import sys

import typer

from ..errors import UserError

# What a router believes, by the event of the line that says so.
BELIEFS = (
    "config_in_force",
    "upstreams_in_force",
    "evacuations_in_force",
    "upstream_cold",
    "upstream_limit",
    "upstream_leaving",
    "upstream_backoff",
    "upstream_link_lost",
    "cut_off_from_upstreams",
    "retry_share",
    "upstreams_reached_again",
    "budget_store",
    "budgets_held",
    "tokens_stranded",
)
# Events at the router that relays, by the tunnel that a request's lines name.
TUNNELS = ("tunnel_opened", "tunnel_closed")
# Events of upstreams that crash under requests, which name fingerprints.
CRASHES = (
    "upstream_crashed",
    "suspects_heard",
    "request_blocked",
    "request_unblocked",
    "request_cleared",
    "upstreams_crashed_together",
    "part_trial",
    "part_trial_unclaimed",
    "freed_by_operator",
)


class Explanation:
    """A request's lines, and what its routers believed before each.

    :ivar lines: (line, beliefs by event) pairs in the order of the logs
    :ivar tunnels: the same of lines at the routers that relayed it
    :ivar crashes: the same of lines on upstreams that crashed under it, also
        as it was sent under other ids
    :ivar earlier: the same of the end of the request that began the stream
        which this one took up
    """

    __slots__ = ("lines", "tunnels", "crashes", "earlier")

    def __init__(self):
        self.lines = []
        self.tunnels = []
        self.crashes = []
        self.earlier = []


def explain(request, source):
    """Return the Explanation of a request.

    :param request: its id
    :param source: lines of logs; what is no JSON object is passed over
    """
    beliefs = collections.defaultdict(dict)
    explanation = Explanation()
    fingerprints = set()
    crashes = []
    used_tunnels = set()
    tunnels = []
    # The ends of all streams: which of them was taken up is named later.
    streams = {}
    resumes = None
    for text in source:
        line = _read_line(text)
        if line is None:
            continue
        event = line.get("event")
        known = beliefs[line.get("instance")]
        if event in BELIEFS:
            known[event] = line
        if line.get("request") == request:
            explanation.lines.append((line, dict(known)))
            fingerprints |= _blamed(line)
            used_tunnels.add(line.get("tunnel"))
            resumes = line.get("resumes") or resumes
        elif event in CRASHES:
            crashes.append((line, {}))
        elif event in TUNNELS:
            tunnels.append((line, dict(known)))
        elif event == "request" and line.get("events"):
            streams[line.get("request")] = (line, dict(known))
    if resumes in streams:
        explanation.earlier = [streams[resumes]]
    explanation.crashes = [
        row for row in crashes if _fingerprints(row[0]) & fingerprints
    ]
    used_tunnels.discard(None)
    explanation.tunnels = [
        row for row in tunnels if row[0].get("tunnel") in used_tunnels
    ]
    return explanation


def _fingerprints(line):
    """Return the fingerprints that a line is about."""
    several = line.get("fingerprints")
    several = several if isinstance(several, list) else []
    return {line.get("fingerprint"), *several} - {None}


def _blamed(line):
    """Return what a request's line says that crashes are blamed on."""
    return {line.get("fingerprint"), line.get("blocked_by")} - {None}


def _read_line(text):
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) else None


def run_explain(request: str = typer.Argument(..., help="Id of a request.")):
    """Explain a request from logs on standard input."""
    explanation = explain(request, sys.stdin)
    if not explanation.lines:
        raise UserError(f"no line about {request}")
    rows = explanation.earlier + explanation.crashes
    rows += explanation.tunnels + explanation.lines
    for line, beliefs in rows:
        typer.echo(json.dumps(line))
        for belief in beliefs.values():
            typer.echo("    believed: " + json.dumps(belief))
