"""Generate the message and settings modules from their schema.

The output is committed, so that a build needs no generator.  With
``--check`` nothing is written: the exit status says whether the committed
files still match their schema.
"""

import argparse
import pathlib
import sys
import tomllib

import black
import jinja2

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
PLAIN = {"str", "int", "float", "bool", "bytes"}
CHECKS = {
    "str": "str",
    "int": "int",
    "float": "(int, float)",
    "bool": "bool",
    "bytes": "bytes",
}


class Field:
    """One field of a message, with the code that moves it on the wire."""

    __slots__ = ("name", "type", "doc", "default", "protocol")

    def __init__(self, name, type_, doc, default=None, protocol=0):
        self.name = name
        self.type = type_
        self.doc = doc
        self.default = default
        self.protocol = protocol

    @property
    def optional(self):
        """Return whether it is left out where it and all after it are empty.

        Peers of earlier versions expect a message without it.
        """
        return self.default is not None

    @property
    def blank(self):
        """Return the expression of its default among plain values."""
        return "[]" if self.outer == "list" else self.default

    @property
    def outer(self):
        return self.type.split("[")[0] if "[" in self.type else ""

    @property
    def inner(self):
        return self.type.split("[")[1][:-1] if self.outer else self.type

    @property
    def nested(self):
        return self.inner not in PLAIN

    def pack(self):
        """Return the expression that turns the field into plain values."""
        value = f"self.{self.name}"
        if not self.nested:
            return value
        if self.outer == "list":
            return f"[item.to_wire() for item in {value}]"
        if self.outer == "map":
            return f"{{k: v.to_wire() for k, v in {value}.items()}}"
        return f"{value}.to_wire()"

    def unpack(self, index):
        """Return the expression that checks and reads the field."""
        value = f"values[{index}]"
        if self.outer:
            item = f"{self.inner}.from_wire" if self.nested else ""
            check = item or f"as_{self.inner}"
            return f"as_{self.outer}({value}, {check})"
        if self.nested:
            return f"{self.inner}.from_wire({value})"
        return f"as_{self.inner}({value})"


def read_schema(name):
    """Return the parsed schema file of the given name."""
    with open(SCHEMA / name, "rb") as source:
        return tomllib.load(source)


def render(template, **values):
    """Render one template with the given values."""
    loader = jinja2.FileSystemLoader(SCHEMA / "templates")
    environment = jinja2.Environment(
        loader=loader,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
    )
    return environment.get_template(template).render(**values)


def render_python(template, **values):
    """Render one template and format it as the rest of the code."""
    mode = black.Mode(line_length=79)
    return black.format_str(render(template, **values), mode=mode)


def _earlier_lengths(fields):
    """Return how many fields earlier protocols have, the longest first."""
    protocols = {field.protocol for field in fields if field.optional}
    return [
        sum(field.protocol < protocol for field in fields)
        for protocol in sorted(protocols, reverse=True)
    ]


def build():
    """Return the text of each generated file by its path."""
    messages = read_schema("messages.toml")["message"]
    for message in messages:
        fields = [Field(*field) for field in message["fields"]]
        message["fields"] = fields
        message["optional"] = [field for field in fields if field.optional]
        message["lengths"] = _earlier_lengths(fields)
    sections = read_schema("settings.toml")["section"]
    package = ROOT / "rowanport" / "schema"
    return {
        package
        / "messages.py": render_python("messages.py.j2", messages=messages),
        package
        / "settings.py": render_python("settings.py.j2", sections=sections),
        ROOT
        / "docs"
        / "settings.md": render("settings.md.j2", sections=sections),
    }


def main():
    """Write the generated files, or check them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    check = parser.parse_args().check
    stale = []
    for path, text in build().items():
        current = path.read_text() if path.exists() else None
        if current == text:
            continue
        stale.append(path)
        if not check:
            path.write_text(text)
    for path in stale:
        print(("stale: " if check else "wrote: ") + path.name)
    return 1 if check and stale else 0


if __name__ == "__main__":
    sys.exit(main())
