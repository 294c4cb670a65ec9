"""A plot of paired differences."""

from matplotlib import pyplot

from .table import compare


def plot(path, first, comparisons):
    """Draw the difference in worth of each variant with its error.

    :param path: file to write, whose ending names the format
    :param first: name of the variant that the others are compared with
    :param comparisons: pairs of Figures by what they share, by variant
    """
    names = list(comparisons)
    items = [compare(comparisons[name])[0] for name in names]
    figure, axes = pyplot.subplots(figsize=(7, 1 + 0.4 * len(names)))
    axes.axvline(0.0, color="grey", linewidth=0.8)
    axes.errorbar(
        [item.mean for item in items],
        range(len(names)),
        xerr=[2 * item.error for item in items],
        fmt="o",
        capsize=3,
    )
    axes.set_yticks(range(len(names)), names)
    axes.invert_yaxis()
    axes.set_xlabel(f"worth against {first}, with two standard errors")
    figure.tight_layout()
    figure.savefig(path)
