"""A small HTTP/1.1 client and server on asyncio, for the stand-ins."""
import asyncio
import json


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


class Request:
    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def _read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Makes one call on a connection of its own.

    Returns None if no complete answer arrives within the timeout.
    """
    host, _, port = address.rpartition(":")
    text = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": address, "Content-Type": "application/json",
              "Content-Length": str(len(text)), "Connection": "close"}
    fields.update(headers or {})
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head.encode("latin-1") + text)
            first, answer_headers, answer = await _read_message(reader)
            return Answer(int(first.split()[1]), answer_headers, answer)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Server:
    """Serves requests with a handler that returns (status, body) or None.

    None means that the request gets no answer; its connection stays open.
    """

    def __init__(self, handler):
        self._handler = handler
        self._writers = set()
        self._server = None

    async def open(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port,
                                                  backlog=1024)
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stops listening and resets all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                result = await self._handler(
                    Request(method, path, headers, body))
                if result is None:
                    continue
                status, answer = result
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
