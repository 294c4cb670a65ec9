"""A seeded plan of faults that come in series and overlap."""

import random

from .history import Record

# Kinds of steps by theme, with weights.
THEMES = {
    "stops": {"term": 3, "roll": 2, "hup": 3, "config": 4, "leave": 3},
    "crashes": {"kill": 3, "freeze": 3, "crash": 2, "config": 3, "term": 1},
    "network": {
        "delay": 2,
        "reset": 2,
        "cut": 3,
        "silence": 4,
        "config": 4,
        "leave": 2,
    },
    "store": {
        "store_down": 3,
        "store_slow": 2,
        "store_lossy": 2,
        "store_late": 1,
        "store_forget": 2,
        "store_away": 3,
        "config": 4,
        "leave": 2,
        "kill": 1,
    },
    "changes": {"config": 4, "leave": 3, "hup": 1},
    "clocks": {"clock": 4, "config": 3, "kill": 1, "term": 1, "store_slow": 1},
}
# Not among all: a proxy that hangs is a fault beyond the platform's pages.
PROXIES = {"stall": 4, "delay": 1, "config": 4, "leave": 3}
# Upstreams that fall silent within streams, while routers stop.
PAUSES = {"pause": 6, "term": 3, "roll": 1, "config": 2, "leave": 2}
# What comes during a stop, and callers of all manners.
CALLERS = {
    "term": 3,
    "again": 3,
    "roll": 1,
    "hup": 2,
    "settings": 2,
    "pause": 3,
    "config": 2,
    "leave": 1,
}
# Requests that crash upstreams, while what routers know of them is at risk.
LETHAL = {
    "lethal": 6,
    "crash": 1,
    "kill": 1,
    "freeze": 2,
    "term": 1,
    "reset": 1,
    "store_down": 1,
    "config": 3,
}
# Parts of prompts that crash upstreams, in requests that share other parts
# with all, while what routers know of them is at risk.
PARTS = {
    "part": 6,
    "crash": 1,
    "kill": 2,
    "herd": 1,
    "freeze": 1,
    "cut": 1,
    "term": 1,
    "store_down": 1,
    "config": 2,
}
# Rate limits that upstreams name, by text, and texts that are none.
LIMITS = {"1.0": 1.0, "2.5": 2.5, "6": 6.0, "0": 0.0, "fast": None, "-3": None}
# Upstreams that name limits, while who counts for all routers changes.
LIMITED = {
    "limit": 6,
    "crash": 1,
    "kill": 1,
    "freeze": 1,
    "term": 2,
    "pause": 1,
    "config": 2,
}
# Routers that lose their links to all upstreams, beside stops and kills.
SEVERED = {"sever": 7, "term": 2, "kill": 1, "config": 1, "leave": 1}
# Upstreams of several versions, whose streams are taken up at other routers.
VERSIONS = {
    "release": 4,
    "crash": 3,
    "kill": 3,
    "reset": 2,
    "cut": 1,
    "freeze": 1,
    "term": 2,
    "leave": 2,
    "store_down": 1,
    "config": 1,
}
# Upstreams that turn most requests away, while routers are killed at once and
# cut off from each other.
REFUSING = {
    "refuse": 4,
    "herd": 3,
    "kill": 2,
    "freeze": 1,
    "cut": 3,
    "term": 1,
    "store_down": 1,
    "config": 1,
}
# Data centres that are evacuated, and upstreams that turn cold, while routers
# and the store fail.
EVACUATIONS = {
    "evacuate": 5,
    "chill": 4,
    "crash": 2,
    "leave": 2,
    "kill": 2,
    "herd": 1,
    "freeze": 1,
    "term": 1,
    "store_down": 1,
    "store_forget": 1,
    "store_away": 1,
    "config": 1,
}
# Upstreams that say that they leave in their answers, long before the store
# knows it.
ANSWERS = {
    "announce": 6,
    "crash": 1,
    "kill": 1,
    "freeze": 1,
    "term": 2,
    "store_down": 2,
    "config": 1,
}
# Times of rest that upstreams ask for, as their refusals say it.
REST_TEXTS = ("0.8", "1.5", "2.75", "4")
# Upstreams that turn all requests away for a while, and ask for rest.
RESTS = {
    "rest": 6,
    "crash": 1,
    "kill": 1,
    "freeze": 1,
    "term": 1,
    "cut": 1,
    "leave": 1,
    "config": 1,
}
# Links that are full, of routers that hear of upstreams that leave.
LINKS = {"full": 5, "leave": 8, "config": 1, "store_away": 2, "term": 1}
THEMES["all"] = {
    kind: max(theme.get(kind, 0) for theme in THEMES.values())
    for kind in sorted({kind for theme in THEMES.values() for kind in theme})
}
# Shortest and longest time in seconds that a step of a kind lasts.
SPANS = {
    "freeze": (0.2, 6.0),
    "delay": (1.0, 6.0),
    "full": (4.0, 10.0),
    "cut": (0.5, 8.0),
    "clock": (1.0, 8.0),
    "store_down": (0.5, 8.0),
    "store_slow": (1.0, 8.0),
    "store_lossy": (1.0, 6.0),
    "store_late": (1.0, 6.0),
    "store_away": (1.0, 8.0),
    "pause": (0.3, 4.0),
    "lethal": (8.0, 20.0),
    "part": (8.0, 20.0),
    "limit": (5.0, 15.0),
    "sever": (6.0, 12.0),
    "refuse": (5.0, 12.0),
    "evacuate": (6.0, 12.0),
    "announce": (4.0, 10.0),
    "rest": (0.5, 2.5),
}
# Kinds that strike all routers: in a large fleet there are more steps, but not
# more of these, or nobody would ever be in touch.
FLEET_KINDS = (
    "roll",
    "config",
    "leave",
    "crash",
    "pause",
    "store_down",
    "store_slow",
    "store_lossy",
    "store_late",
    "sever",
    "refuse",
    "herd",
    "release",
    "evacuate",
    "announce",
    "rest",
)
SMALL_FLEET = 10
UPSTREAM_KINDS = (
    "leave",
    "crash",
    "pause",
    "lethal",
    "part",
    "limit",
    "chill",
    "announce",
)
# Variants of a kind: which links, in which direction, how a store is down.
VARIANTS = {
    "delay": ("store", "upstreams", "peers", "all"),
    "reset": ("store", "upstreams", "peers", "all"),
    "cut": ("store up", "store down", "peers up", "peers down", "all both"),
    "stall": ("store", "upstreams", "peers", "all", "everyone"),
    "silence": ("store", "upstreams", "peers", "all", "all", "everyone"),
    "store_down": ("silent", "reset", "busy", "silent lapse"),
    "store_away": ("silent", "reset", "busy", "limited"),
    "config": ("route", "route", "top_up"),
    # Seconds that bytes wait, each way.
    "full": ("0.3", "0.7", "1.5", "3.0"),
    "leave": ("draining", "draining", "gone"),
    "pause": ("all", "streams", "newest"),
    "limit": tuple(LIMITS),
    "rest": ("one", "half", "half", "all"),
    "evacuate": ("hall-a", "hall-a", "hall-b", "hall-a hall-b", "all"),
    # How many routers, and how their links fail.
    "sever": tuple(
        f"{count} {how}"
        for count in ("one", "half", "most")
        for how in ("hang", "stall", "reset", "refuse", "flap")
    ),
}
CLOCK_JUMPS = (-30.0, -5.0, -2.0, 2.0, 5.0, 30.0)
# Seconds between the stops of a series over the whole fleet.
ROLL_PAUSE = 1.1
# Seconds without faults in which the fleet starts.
WARM_UP = 3.0
# Share of steps that are followed by another one at once.
SERIES_SHARE = 0.35


class Step(Record):
    """One thing that is done to the system.

    :ivar at: seconds after the start
    :ivar kind: what is done
    :ivar target: number of the router or upstream that it strikes
    :ivar seconds: for how long
    :ivar variant: which kind of its kind
    """

    __slots__ = ("at", "kind", "target", "seconds", "variant")

    def __repr__(self):
        return (
            f"{self.at:6.2f} {self.kind} {self.target} "
            f"{self.seconds:.2f} {self.variant}"
        )


SEEDED_THEMES = tuple(THEMES)
# By name only, so that the seeds keep their themes.
THEMES["proxies"] = PROXIES
THEMES["pauses"] = PAUSES
THEMES["streams"] = PAUSES
THEMES["breaks"] = THEMES["changes"]
THEMES["callers"] = CALLERS
THEMES["lethal"] = LETHAL
THEMES["parts"] = PARTS
THEMES["limits"] = LIMITED
THEMES["links"] = LINKS
THEMES["severed"] = SEVERED
THEMES["refusing"] = REFUSING
THEMES["versions"] = VERSIONS
THEMES["evacuations"] = EVACUATIONS
THEMES["answers"] = ANSWERS
THEMES["rests"] = RESTS


def choose_theme(seed):
    """Return the theme of a seed."""
    return SEEDED_THEMES[seed % len(SEEDED_THEMES)]


def make_plan(seed, theme, seconds, routers, upstreams):
    """Return the Steps of a seed, in order; the same for the same seed."""
    draw = random.Random(f"{seed} {theme} {seconds} {routers} {upstreams}")
    kinds = THEMES[theme]
    rate = 0.5 + 0.05 * routers
    fleet_share = min(1.0, (0.5 + 0.05 * SMALL_FLEET) / rate)
    steps = []
    at = WARM_UP
    target = 0
    while True:
        in_series = bool(steps) and draw.random() < SERIES_SHARE
        pause = draw.uniform(0.05, 0.4) if in_series else 0.0
        at += pause or draw.expovariate(rate)
        if at >= seconds:
            break
        kind = draw.choices(list(kinds), list(kinds.values()))[0]
        if kind in FLEET_KINDS and fleet_share < 1.0:
            if draw.random() > fleet_share:
                continue
        if not in_series or draw.random() < 0.5:
            target = draw.randrange(routers)
        steps += _draw_steps(draw, at, kind, target, routers, upstreams)
    steps = [step for step in steps if step.at < seconds]
    for step in steps:
        step.seconds = min(step.seconds, seconds - step.at)
    return sorted(steps, key=lambda step: step.at)


def _draw_steps(draw, at, kind, target, routers, upstreams):
    if kind == "roll":
        return [
            Step(at + ROLL_PAUSE * number, "term", number, 0.0, "")
            for number in range(routers)
        ]
    if kind in UPSTREAM_KINDS:
        target = draw.randrange(upstreams)
    seconds = draw.uniform(*SPANS.get(kind, (0.0, 0.0)))
    variant = draw.choice(VARIANTS.get(kind, ("",)))
    if kind == "clock":
        variant = draw.choice(CLOCK_JUMPS)
    return [Step(at, kind, target, seconds, variant)]
