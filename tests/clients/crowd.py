"""Clients that do not keep to the limits: raw connections that send what a generator yields, as fast as the host
reads it, and that never read an answer."""

import asyncio
import socket

IP = "127.0.0.1"
TURN_BYTES = 65536  # that one client sends before the next one gets its turn


class Client:
    """One connection. `pieces` yields the bytes of each write; None waits until the next round."""

    def __init__(self, port, pieces):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(2)
        self.pieces = iter(pieces)
        self.left = b""
        self.sent = 0
        self.is_open = True
        try:
            self.socket.connect((IP, port))
        except OSError:
            self.is_open = False
        self.socket.setblocking(False)

    def send_some(self):
        """Sends until the host takes no more, a turn is over or a pause comes. Returns the bytes sent."""
        turn = 0
        while self.is_open and turn < TURN_BYTES:
            if not self.left:
                piece = next(self.pieces, None)
                if piece is None:
                    break
                if piece == b"":  # half-open from here on
                    self.socket.shutdown(socket.SHUT_WR)
                    break
                self.left = piece
            try:
                taken = self.socket.send(self.left[:TURN_BYTES])
            except BlockingIOError:
                break
            except OSError:
                self.is_open = False  # refused, which is allowed
                break
            self.left = self.left[taken:]
            turn += taken
        self.sent += turn
        return turn

    def close(self):
        self.socket.close()


async def play(clients, rounds):
    """Lets all clients send in turn, for a number of rounds. Their connections stay open."""
    for _ in range(rounds):
        moved = sum(client.send_some() for client in clients)
        await asyncio.sleep(0.001 if moved else 0.02)
