"""Minimal HTTP/1.1: a threaded server and a client channel, both over loopback sockets."""

import socket
import threading


class Closed(Exception):
    """The peer closed or reset the channel."""


class Reader:
    """Buffered input of a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def fill(self):
        try:
            data = self.connection.recv(65536)
        except socket.timeout:
            raise
        except OSError as failure:
            raise Closed("reset: %s" % failure) from failure
        if not data:
            raise Closed("end of input")
        self.buffer += data

    def line(self):
        while b"\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def fields(self):
        fields = {}
        while True:
            line = self.line()
            if not line:
                return fields
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()

    def chunks(self):
        """Yields the chunks of a body; ends with the last, empty one."""
        while True:
            size = int(self.line().split(";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return
            data = self.exactly(size)
            self.exactly(2)
            yield data

    def body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            return b"".join(self.chunks())
        return self.exactly(int(fields.get("content-length", "0")))


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.fields = fields
        self.body = body

    def field(self, name):
        return self.fields.get(name.lower(), "")


def response(status, fields=(), body=b"", reason="-"):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    head += "".join("%s: %s\r\n" % field for field in fields)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


class Server:
    """Accepts channels on a free port; each is served by a thread until serve() raises or returns False."""

    def __init__(self, serve):
        self.serve = serve
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1024)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        reader = Reader(connection)
        try:
            while True:
                start = reader.line()
                method, target, _ = start.split(" ", 2)
                fields = reader.fields()
                request = Request(method, target, fields, reader.body(fields))
                if self.serve(connection, request) is False:
                    return
        except (Closed, OSError, ValueError):
            pass
        finally:
            connection.close()

    def close(self):
        self.listener.close()


class Answer:
    """What a client has seen of one request."""

    def __init__(self, status=0, fields=None, body=b"", complete=False, why=""):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.complete = complete
        self.why = why

    def field(self, name):
        return self.fields.get(name.lower(), "")


class Channel:
    """A client's kept channel."""

    def __init__(self, address, timeout=10.0):
        host, port = address.rsplit(":", 1)
        self.connection = socket.create_connection((host, int(port)), timeout=1.0)
        self.connection.settimeout(timeout)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.connection)
        self.open = True

    def close(self):
        self.open = False
        self.connection.close()

    def exchange(self, method, target, fields, body=b"", on_data=None):
        """Sends a request and reads the answer. Never raises; the answer says what was seen."""
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        head += "".join("%s: %s\r\n" % field for field in fields)
        if body or method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        answer = Answer()
        try:
            self.connection.sendall((head + "\r\n").encode("latin-1") + body)
            start = self.reader.line()
            answer.status = int(start.split(" ")[1])
            answer.fields = self.reader.fields()
            if answer.field("transfer-encoding").lower() == "chunked":
                parts = []
                for part in self.reader.chunks():
                    parts.append(part)
                    answer.body = b"".join(parts)
                    if on_data:
                        on_data(part)
            elif "content-length" in answer.fields:
                size = int(answer.field("content-length"))
                while len(self.reader.buffer) < size:
                    self.reader.fill()
                answer.body = self.reader.exactly(size)
            else:
                while True:
                    try:
                        self.reader.fill()
                    except Closed as closed:
                        if "reset" in str(closed):
                            raise
                        break
                answer.body = self.reader.exactly(len(self.reader.buffer))
                self.open = False
            answer.complete = True
        except socket.timeout:
            answer.why = "the client gave up"
            self.close()
        except (Closed, OSError) as failure:
            answer.why = "channel closed: %s" % failure
            if not answer.body:
                answer.body = self.reader.buffer
            self.close()
        if answer.field("connection").lower() == "close" and self.open:
            self.close()
        return answer


def get(address, target, timeout=1.0):
    """One request on a channel of its own. Returns an Answer."""
    try:
        channel = Channel(address, timeout)
    except OSError as failure:
        return Answer(why=str(failure))
    answer = channel.exchange("GET", target, [("Host", address)])
    channel.close()
    return answer
