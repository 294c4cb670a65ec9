"""Read, check and print INI settings files.

The schema of all sections, with every default, is the generated module
:mod:`rowanport.schema.settings`.
"""

import configparser
import ipaddress

from .errors import SettingsError
from .schema.settings import SECTIONS
from .schema.settings import Settings

LOG_LEVELS = ("debug", "info", "warning", "error")
SHORTEST_SECRET = 16
# Keys of earlier versions, and what they are called now.
RENAMED = {"hall": "data_centre", "halls": "data_centres"}
PORTS = ("caller_port", "peer_port", "operator_port")


# Reading single values


def _read_address(text):
    host, colon, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not colon or not 0 < int(port) < 65536:
        raise ValueError
    return text


def _read_list(text):
    items = [item.strip() for item in text.split(",")]
    return [item for item in items if item]


def _read_bool(text):
    return {"yes": True, "true": True, "no": False, "false": False}[
        text.lower()
    ]


_READERS = {
    "str": str,
    "int": int,
    "float": float,
    "bool": _read_bool,
    "ip": lambda text: str(ipaddress.ip_address(text)),
    "address": _read_address,
    "list": _read_list,
}


def _read_option(option, text):
    """Return the value of one option, or raise ValueError with why."""
    try:
        value = _READERS[option.type](text)
    except (ValueError, KeyError):
        raise ValueError(f"expected {option.type}, got {text!r}") from None
    if option.least is None:
        return value
    if not option.least <= value <= option.most:
        raise ValueError(
            f"{value} is not within {option.least} to {option.most}"
        )
    return value


# Reading a file


class _Reader:
    """Collects the values and the mistakes of one file."""

    def __init__(self, name):
        self._name = name
        self.mistakes = []

    def blame(self, section, key, why):
        """Note one mistake, as file, section, key and reason."""
        self.mistakes.append(f"{self._name}: [{section}] {key}: {why}")

    def read_section(self, section, given):
        """Return the values of one section; note what is wrong."""
        values = {}
        options = SECTIONS[section]
        names = {option.name for option in options}
        for key in given:
            if key in RENAMED:
                self.blame(section, key, f"is {RENAMED[key]} now")
            elif key not in names:
                self.blame(section, key, "unknown key")
        for option in options:
            values[option.name] = option.default
            if option.name not in given:
                if option.default is None:
                    self.blame(section, option.name, "missing")
                continue
            try:
                values[option.name] = _read_option(option, given[option.name])
            except ValueError as error:
                self.blame(section, option.name, str(error))
        return values

    def check_whole(self, sections):
        """Note mistakes that concern more than one key."""
        router = sections["router"]
        data_centres = sections["platform"]["data_centres"] or []
        own = router["data_centre"]
        if own is not None and own not in data_centres:
            self.blame(
                "router", "data_centre", f"{own!r} is not a data centre"
            )
        seen = {}
        for key in PORTS:
            port = router[key]
            if port in seen:
                self.blame("router", key, f"port {port} is {seen[port]} too")
            seen[port] = key
        if len(router["secret"] or "") < SHORTEST_SECRET:
            self.blame("router", "secret", "shorter than 16 characters")
        try:
            if router["advertised"]:
                _read_address(router["advertised"])
        except ValueError:
            self.blame("router", "advertised", "not an IP and a port")
        if sections["logs"]["level"] not in LOG_LEVELS:
            self.blame("logs", "level", f"not one of {', '.join(LOG_LEVELS)}")


def parse_settings(text, name="settings"):
    """Return the settings in INI text.

    :param name: file name for messages
    :raises SettingsError: with one line for each mistake
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=name)
    except configparser.Error as error:
        raise SettingsError(f"{name}: {error.message}") from None
    reader = _Reader(name)
    sections = {}
    for section in parser.sections():
        if section not in SECTIONS:
            reader.blame(section, "*", "unknown section")
    for section in SECTIONS:
        given = parser[section] if parser.has_section(section) else {}
        sections[section] = reader.read_section(section, given)
    if not reader.mistakes:
        reader.check_whole(sections)
    if reader.mistakes:
        raise SettingsError("\n".join(reader.mistakes))
    sections["router"]["cell"] = (
        sections["router"]["cell"] or sections["router"]["data_centre"]
    )
    return Settings(sections)


def read_settings(path):
    """Return the settings in a file; raise SettingsError if unfit."""
    try:
        with open(path, encoding="utf-8") as source:
            text = source.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    return parse_settings(text, str(path))


# Printing an example

_EXAMPLES = {
    "name": "r1",
    "address": "127.0.0.1",
    "data_centre": "north",
    "secret": "change-me-change-me",
    "store": "127.0.0.1:7000",
    "data_centres": "north, south, east",
}


def example_settings():
    """Return the text of a settings file with every default."""
    lines = []
    for section, options in SECTIONS.items():
        lines.append(f"[{section}]")
        for option in options:
            value = option.default
            if value is None:
                value = _EXAMPLES[option.name]
            if isinstance(value, bool):
                value = "yes" if value else "no"
            lines.append(f"# {option.doc}")
            lines.append(f"{option.name} = {value}".rstrip())
        lines.append("")
    return "\n".join(lines)
