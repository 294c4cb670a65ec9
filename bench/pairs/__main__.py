"""Compare variants of the code: ``python -m bench.pairs --help``."""

import argparse
import itertools
import sys

from .plays import Play
from .plays import Player
from .plays import Variant
from .table import pair_up
from .table import write_table


def _read_variant(text):
    name, found, checkout = text.partition("=")
    if not found:
        raise argparse.ArgumentTypeError("a variant is NAME=CHECKOUT")
    return Variant(name, checkout)


def _read_options():
    parser = argparse.ArgumentParser(
        prog="python -m bench.pairs", description=__doc__
    )
    add = parser.add_argument
    add("--bench", required=True, help="the users' bench")
    add("--site", action="append", required=True, help="a site's file")
    add("--day", action="append", required=True, help="a day, or its file")
    add("--seeds", default="1,2", help="by commas")
    add(
        "--variant",
        action="append",
        required=True,
        type=_read_variant,
        help="NAME=CHECKOUT; the others are compared with the first one",
    )
    add("--jobs", type=int, default=2, help="plays at once")
    add("--why", required=True, help="what the comparison is to decide")
    add("--out", default="bench/out/pairs", help="directory of reports")
    add("--plot", help="file for a plot of the differences")
    add("--cpu", action="store_true", help="count processor time")
    add("--small", action="store_true", help="small twins of large days")
    return parser.parse_args()


def _print_progress(play, figures, left):
    worth = "failed" if figures is None else f"{figures.worth:.3f}"
    place = " ".join(map(str, play.pair))
    text = f"{play.variant.name}: {place}: {worth}, {left} to come"
    print(text, file=sys.stderr, flush=True)


def main():
    """Play the days and print how the variants differ."""
    options = _read_options()
    seeds = [int(seed) for seed in options.seeds.split(",")]
    grid = itertools.product(options.site, options.day, seeds, options.variant)
    plays = [Play(variant, *place) for *place, variant in grid]
    more = () if options.cpu else ("--no-cpu",)
    more += ("--small",) if options.small else ()
    player = Player(
        options.bench, options.out, options.why, options.jobs, more
    )
    figures = player.run(plays, _print_progress)
    first, *others = (variant.name for variant in options.variant)
    comparisons = {name: pair_up(figures, first, name) for name in others}
    for name, pairs in comparisons.items():
        print(write_table(first, name, pairs))
        print()
    if options.plot:
        # Its library is wanted by nothing else.
        from .plot import plot

        plot(options.plot, first, comparisons)


if __name__ == "__main__":
    main()
