"""Short HTTP requests with JSON."""

import json
import urllib.error
import urllib.request

OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def send(method, url, body=None, timeout=5):
    """Sends a request; returns the parsed JSON answer or None if empty."""
    data = body if isinstance(body, (bytes, type(None))) else json.dumps(
        body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with OPENER.open(request, timeout=timeout) as answer:
        text = answer.read()
    return json.loads(text) if text else None


def get(url, timeout=2):
    return send("GET", url, timeout=timeout)


def try_get(url, timeout=1):
    """Returns None if the answer does not come."""
    try:
        return get(url, timeout)
    except (OSError, urllib.error.URLError, ValueError):
        return None
