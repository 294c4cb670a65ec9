"""Mean differences of paired plays, with their standard errors."""

import math
import statistics

# Figures whose mean difference is smaller than this are not shown.
SHOWN_LEAST = 0.0005
# Standard errors by which a mean difference has to differ from nothing.
CLEAR_ERRORS = 2.0


class Difference:
    """One figure of a variant against the first one.

    :ivar name: the figure
    :ivar mean: mean of the paired differences
    :ivar error: its standard error, infinite with a single pair
    :ivar pairs: number of pairs
    """

    __slots__ = ("name", "mean", "error", "pairs")

    def __init__(self, name, differences):
        self.name = name
        self.pairs = len(differences)
        self.mean = statistics.fmean(differences)
        self.error = math.inf
        if self.pairs > 1:
            spread = statistics.stdev(differences)
            self.error = spread / math.sqrt(self.pairs)

    @property
    def clear(self):
        """Return whether the variants surely differ in it."""
        return abs(self.mean) > CLEAR_ERRORS * self.error


def pair_up(figures, first, other):
    """Return the pairs of Figures of two variants, by what they share.

    :param figures: Figures by Play
    """
    by_variant = {first: {}, other: {}}
    for play, found in figures.items():
        if play.variant.name in by_variant:
            by_variant[play.variant.name][play.pair] = found
    shared = by_variant[first].keys() & by_variant[other].keys()
    return {
        pair: (by_variant[first][pair], by_variant[other][pair])
        for pair in sorted(shared)
    }


def compare(pairs):
    """Return the Differences of all figures of some pairs, worth first."""
    names = {}
    for one, other in pairs.values():
        names.update(dict.fromkeys((*one.values, *other.values)))
    return [
        Difference(
            name,
            [
                other.values.get(name, 0.0) - one.values.get(name, 0.0)
                for one, other in pairs.values()
            ],
        )
        for name in names
    ]


def write_table(first, other, pairs):
    """Return the comparison of two variants as text.

    :param first: name of the variant that is compared with
    :param other: name of the variant that is compared
    """
    lines = [f"{other} against {first}, {len(pairs)} pairs"]
    if not pairs:
        return lines[0]
    lines.append("| figure | mean difference | standard error | |")
    lines.append("| --- | --- | --- | --- |")
    for item in compare(pairs):
        if item.name != "worth" and abs(item.mean) < SHOWN_LEAST:
            continue
        mark = "clear" if item.clear else ""
        lines.append(
            f"| {item.name} | {item.mean:+.4f} | {item.error:.4f} | {mark} |"
        )
    lines.append("")
    for pair, (one, two) in pairs.items():
        broken = _broken(one, two)
        place = " ".join(map(str, pair))
        lines.append(f"{place}: {one.worth:.3f} {two.worth:.3f}{broken}")
    means = [
        statistics.fmean(figures.worth for figures in side)
        for side in zip(*pairs.values())
    ]
    lines.append(f"mean worth: {means[0]:.4f} {means[1]:.4f}")
    return "\n".join(lines)


def _broken(one, two):
    """Return the rules that either of a pair broke, as text."""
    if not one.broken and not two.broken:
        return ""
    return f"  broken: {dict(one.broken)} {dict(two.broken)}"
