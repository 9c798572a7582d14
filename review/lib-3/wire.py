"""Small HTTP/1.1 client calls with JSON bodies."""

import http.client
import json


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Returns (status, text), or (None, reason) if there was no answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    sent = dict(headers or {})
    text = None
    if body is not None:
        text = body if isinstance(body, str) else json.dumps(body)
        sent["Content-Type"] = "application/json"
    try:
        connection.request(method, path, body=text, headers=sent)
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        return None, type(error).__name__
    finally:
        connection.close()
