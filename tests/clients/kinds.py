"""What the clients of one kind send. Each kind gives the pieces that the client with this number sends to `path`."""

MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 8 << 20
FAR_OVER_BYTES = 64 << 20
PIPELINED_BYTES = 8 << 20
FIELDS_BYTES = 15000  # of short fields, below MAX_HEADER_BYTES
BLOCK = b"x" * 65536


def head(method, path, key, *lines):
    """The begin of a request, up to its fields of any kind."""
    fields = [f"{method} {path} HTTP/1.1", "Host: a.example", "X-Id: crowd", "X-Deadline: 60000", *lines]
    if key:
        fields.append(f"Authorization: Token {key}")
    return ("\r\n".join(fields) + "\r\n").encode()


def blocks(size, block=BLOCK):
    while size > 0:
        yield block[:size]
        size -= len(block)


def bodies_whole(path, key, number):
    yield head("POST", path, key, f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n"
    yield from blocks(MAX_BODY_BYTES - (number % 8 > 0))  # one in eight ends


def bodies_in_pieces(path, key, number):
    yield head("POST", path, key, f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n"
    for block in blocks(MAX_BODY_BYTES - 1, BLOCK[:3000 + number]):
        yield block
        yield None


def bodies_chunked(path, key, number):
    yield head("POST", path, key, "Transfer-Encoding: chunked") + b"\r\n"
    size = 2000 + number
    for block in blocks(MAX_BODY_BYTES - 1, BLOCK[:size]):
        yield b"%x\r\n%s\r\n" % (len(block), block)


def bodies_over_limit(path, key, number):
    if number % 2:
        yield head("POST", path, key, f"Content-Length: {1 << 40}") + b"\r\n"
        yield from blocks(FAR_OVER_BYTES)
    else:
        yield head("POST", path, key, "Transfer-Encoding: chunked") + b"\r\n"
        for _ in range(FAR_OVER_BYTES // len(BLOCK)):
            yield b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK)


def short_fields(path, key, number):
    """In the header, the query, the trailers and the chunk extensions; bodies in chunks of one byte."""
    chunked = "Transfer-Encoding: chunked"
    way = number % 5
    if way < 2:
        field = b"a:\r\n" if way else b"a: b\r\n"
        yield head("POST", path, key, "Content-Length: 900") + field * (FIELDS_BYTES // len(field)) + b"\r\n"
        yield BLOCK[:899]
    elif way == 2:
        query = "?" + "a&" * (FIELDS_BYTES // 2)
        yield head("POST", path + query, key, "Content-Length: 900") + b"\r\n" + BLOCK[:899]
    elif way == 3:
        yield head("POST", path, key, chunked) + b"\r\n" + b"1\r\nx\r\n0\r\n"
        yield from (b"a:\r\n" * 1000 for _ in range(1000))
    else:
        yield head("POST", path, key, chunked) + b"\r\n"
        for _ in range(200):
            yield b"1;" + b"a;" * 1000 + b"\r\nx\r\n" + b"1\r\nx\r\n" * 1000


def pipelined(path, key, number):
    """Requests sent ahead; the answers are not read."""
    request = head("GET", path, key) + b"\r\n"
    if number % 2:
        request = f"GET {path} HTTP/1.1\r\n\r\n".encode()  # as short as possible
    batch = request * (len(BLOCK) // len(request))
    for _ in range(PIPELINED_BYTES // len(batch)):
        yield batch


def slow(path, key, number):
    """Heads and bodies that come byte by byte, large answers that are not read, half-open ends."""
    way = number % 4
    if way == 0:
        for byte in head("GET", path, key):
            yield bytes([byte])
            yield None
    elif way == 1:
        yield head("POST", path, key, f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n" + BLOCK
        for _ in range(10000):
            yield b"x"
            yield None
    elif way == 2:
        yield head("POST", path, key, "Content-Length: 131072") + b"\r\n" + BLOCK + BLOCK
        for _ in range(16):
            yield head("POST", path, key, "Content-Length: 131072") + b"\r\n" + BLOCK + BLOCK
    else:
        yield head("POST", path, key, "Content-Length: 100000") + b"\r\n" + BLOCK
        yield b""


def silent(path, key, number):
    """Connections that say nothing, or half a line."""
    if number % 2:
        yield f"GET {path} HT".encode()


KINDS = {kind.__name__: kind for kind in (bodies_whole, bodies_in_pieces, bodies_chunked, bodies_over_limit,
                                          short_fields, pipelined, slow, silent)}
