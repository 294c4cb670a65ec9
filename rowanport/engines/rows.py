"""Samples and estimates of engines as bytes."""

import math
import struct

from ..errors import MessageError
from .estimate import Estimate

# Key of the engine's run, logarithm of the tokens, seconds.
_SAMPLE = struct.Struct("<IBH")
# Key of the engine's run, seconds fixed, slowness, logarithm of its error.
_ESTIMATE = struct.Struct("<IBHB")
# Most bytes of a report and of an answer.  There are two of each a second, so
# that a router stays within 1 KB a second, the rows' headers included.
REPORT_BYTES = 180
ANSWER_BYTES = 288
MAX_SAMPLE_ROWS = REPORT_BYTES // _SAMPLE.size
MAX_ESTIMATE_ROWS = ANSWER_BYTES // _ESTIMATE.size
# Steps of the logarithm of tokens + 1: 5% each, up to 340,000 tokens.
_TOKEN_STEPS = 20.0
# Unit of the slowness, 0.1% of that at 500,000 tokens a second.
_SLOWNESS_UNIT = 2e-9
# Steps of the logarithm of the error, in units of the slowness.
_ERROR_STEPS = 22.0
# Units of the times in seconds.
_SAMPLE_UNIT = 0.0002
_FIXED_UNIT = 0.001


def pack_samples(samples):
    """Return samples as bytes.

    :param samples: (key, tokens, seconds) of each
    """
    return b"".join(
        _SAMPLE.pack(
            key,
            _bounded(_TOKEN_STEPS * math.log1p(tokens), 255),
            _bounded(seconds / _SAMPLE_UNIT, 65535),
        )
        for key, tokens, seconds in samples
    )


def read_samples(data):
    """Return the (key, tokens, seconds) of each sample in bytes.

    :raises MessageError: the length is wrong
    """
    _check(data, _SAMPLE, REPORT_BYTES)
    return [
        (key, math.expm1(tokens / _TOKEN_STEPS), seconds * _SAMPLE_UNIT)
        for key, tokens, seconds in _SAMPLE.iter_unpack(data)
    ]


def pack_estimates(estimates):
    """Return estimates as bytes.

    :param estimates: (key, Estimate) of each
    """
    return b"".join(
        _ESTIMATE.pack(
            key,
            _bounded(estimate.fixed / _FIXED_UNIT, 255),
            max(1, _bounded(estimate.slowness / _SLOWNESS_UNIT, 65535)),
            _bounded(
                _ERROR_STEPS * math.log1p(estimate.error / _SLOWNESS_UNIT),
                255,
            ),
        )
        for key, estimate in estimates
        if math.isfinite(estimate.error)
    )


def read_estimates(data):
    """Return the (key, Estimate) of each estimate in bytes.

    :raises MessageError: the length is wrong
    """
    _check(data, _ESTIMATE, ANSWER_BYTES)
    return [
        (
            key,
            Estimate(
                fixed * _FIXED_UNIT,
                max(1, slowness) * _SLOWNESS_UNIT,
                # An error of 0 would outweigh all other estimates for good.
                math.expm1(max(1, error) / _ERROR_STEPS) * _SLOWNESS_UNIT,
            ),
        )
        for key, fixed, slowness, error in _ESTIMATE.iter_unpack(data)
    ]


def _bounded(value, most):
    return min(most, max(0, round(value)))


def _check(data, row, most):
    if len(data) % row.size or len(data) > most:
        raise MessageError(f"malformed state of engines: {len(data)} bytes")
