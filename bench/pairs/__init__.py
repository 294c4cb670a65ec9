"""Compares variants of the code on the users' bench, paired by day and seed.

One play says little: what comes when differs from play to play.  Two variants
that play the same days with the same seeds share most of that, so that the
mean of their differences tells far smaller effects apart.
"""
