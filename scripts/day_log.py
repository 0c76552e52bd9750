"""Reads what a played day's processes have logged."""

import json


def read_lines(path):
    """The JSON lines of a log, each with what stands before it."""
    with open(path, encoding="utf-8", errors="replace") as log:
        for text in log:
            at = text.find('{"time"')
            if at < 0:
                continue
            try:
                yield text[:at], json.loads(text[at:])
            except json.JSONDecodeError:
                continue
