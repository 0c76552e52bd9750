"""Reads the logs of the processes of a simulated day."""

import json


def read_lines(path):
    """Yields the prefix and the parsed JSON of each log line that has JSON."""
    with open(path, encoding="utf-8", errors="replace") as log:
        for text in log:
            at = text.find('{"time"')
            if at < 0:
                continue
            try:
                yield text[:at], json.loads(text[at:])
            except json.JSONDecodeError:
                continue
