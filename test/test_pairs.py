"""Comparisons of variants in paired plays."""

import json
import math
import stat

import pytest

from bench.pairs import table
from bench.pairs.plays import Figures
from bench.pairs.plays import Play
from bench.pairs.plays import Player
from bench.pairs.plays import Variant

# Stands in for the users' bench: its report depends on the day, the seed and
# the checkout that it runs in.
BENCH = """#!/usr/bin/env python3
import json, os, sys
if sys.argv[1] == "build":
    sys.exit(0)
words = sys.argv[1:]
seed = int(words[words.index("--seed") + 1])
if seed == 13:
    sys.exit("this day cannot be played")
gain = 0.02 if os.getcwd().endswith("better") else 0.0
total = {"n": 200, "late": 20, "refused": 10, "failed": 4}
report = {
    "G": 0.5 + seed / 100 + gain,
    "breaks": {},
    "parts": [["whole day", 0.4, 0.8 + gain]],
    "prices": [["calls", 10, 0.01]],
    "all": total,
}
with open(words[words.index("--report") + 1], "w") as out:
    json.dump(report, out)
"""


@pytest.fixture
def world(tmp_path):
    """Return the stand-in's path, two Variants and a site's file."""
    bench = tmp_path / "bench"
    bench.write_text(BENCH)
    bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
    for name in ("plain", "better"):
        (tmp_path / name).mkdir()
    variants = [Variant(n, tmp_path / n) for n in ("plain", "better")]
    return bench, variants, tmp_path / "site.toml"


def play_all(world, seeds):
    bench, variants, site = world
    plays = [Play(v, site, "day-1", s) for s in seeds for v in variants]
    player = Player(bench, site.parent / "out", "why", jobs=2)
    ended = []
    figures = player.run(plays, lambda play, found, left: ended.append(left))
    assert sorted(ended) == list(range(len(plays)))
    return figures


def test_plays_are_paired_by_site_day_and_seed(world):
    figures = play_all(world, [1, 2, 3])
    pairs = table.pair_up(figures, "plain", "better")
    assert list(pairs) == [("site", "day-1", seed) for seed in (1, 2, 3)]
    worth = table.compare(pairs)[0]
    assert worth.name == "worth"
    assert math.isclose(worth.mean, 0.02)
    assert worth.error < 1e-9 and worth.clear


def test_a_play_that_failed_is_left_out_of_the_pairs(world):
    figures = play_all(world, [1, 13])
    assert list(table.pair_up(figures, "plain", "better")) == [
        ("site", "day-1", 1)
    ]


def test_reports_that_are_there_are_not_played_again(world):
    figures = play_all(world, [1])
    bench = world[0]
    bench.write_text("#!/bin/sh\nexit 1\n")
    again = play_all(world, [1])
    assert len(again) == 2
    assert sorted(found.worth for found in again.values()) == sorted(
        found.worth for found in figures.values()
    )


def test_a_single_pair_decides_nothing():
    item = table.Difference("worth", [0.3])
    assert item.error == math.inf and not item.clear


def test_a_difference_is_clear_beyond_two_standard_errors():
    noisy = table.Difference("worth", [0.1, -0.1, 0.05])
    sure = table.Difference("worth", [0.05, 0.06, 0.055])
    assert not noisy.clear and sure.clear


def test_the_table_names_each_figure_once_and_broken_rules(world):
    figures = play_all(world, [1, 2])
    for found in figures.values():
        found.broken = {"DRAIN": 2}
    pairs = table.pair_up(figures, "plain", "better")
    text = table.write_table("plain", "better", pairs)
    assert text.count("| whole day |") == 1
    assert "calls" not in text
    assert "broken: {'DRAIN': 2}" in text
    assert "mean worth: 0.5150 0.5350" in text


def test_figures_are_shares_and_prices():
    report = {
        "G": 0.5,
        "breaks": {},
        "parts": [["whole day", 0.4, 0.8]],
        "prices": [["calls", 10, 0.01]],
        "all": {"n": 200, "late": 20, "refused": 10, "failed": 4},
    }
    values = Figures(json.loads(json.dumps(report))).values
    assert values["late share"] == 0.1
    assert values["price: calls"] == 0.01
