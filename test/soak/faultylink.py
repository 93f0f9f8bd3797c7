"""A TCP proxy on loopback in front of one server, which can delay, reset or stall connections or drop one direction."""
import socket
import struct
import threading
import time

BLOCK_BYTES = 16384
# Interval at which a stalled transfer checks whether the fault has ended.
HOLD_POLL_S = 0.02


def reset(connection):
    """Closes the connection with a TCP reset instead of a FIN."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass  # it is closed already


class FaultyLink:
    """Proxies connections to `target_port` and applies `fault`, which is None or one of FAULTS, to all of them.

    "silent" holds all bytes until the fault ends, "lose_requests" drops what the client sends, and "lose_answers" drops
    what the server sends. A connection that has lost bytes in one direction carries no more in it, since TCP never delivers
    what follows a gap.
    """

    FAULTS = ("delay", "reset", "silent", "lose_requests", "lose_answers")

    def __init__(self, target_port):
        self.target_port, self.fault, self.connections, self.closed = target_port, None, set(), False
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closed:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                continue
            if self.fault == "reset":
                reset(client)
                reset(server)
                continue
            with self.lock:
                self.connections.update((client, server))
            for sender, receiver, drop_fault in ((client, server, "lose_requests"), (server, client, "lose_answers")):
                threading.Thread(target=self.pump, args=(sender, receiver, drop_fault), daemon=True).start()

    def pump(self, sender, receiver, drop_fault):
        """Forwards bytes in one direction; `drop_fault` is the fault that drops them."""
        has_gap = False
        try:
            while (data := sender.recv(BLOCK_BYTES)):
                while self.fault == "silent" and not self.closed:
                    time.sleep(HOLD_POLL_S)
                if self.fault == "delay":
                    time.sleep(0.05)
                has_gap = has_gap or self.fault == drop_fault
                if not has_gap:
                    receiver.sendall(data)
            if not has_gap:
                receiver.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # one of the two connections has ended
        finally:
            with self.lock:
                was_reset = sender not in self.connections
                self.connections.discard(sender)
            if was_reset:
                reset(receiver)

    def set_fault(self, fault):
        self.fault = fault
        if fault == "reset":
            with self.lock:
                dropped, self.connections = self.connections, set()
            for connection in dropped:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # it is closed already
                reset(connection)

    def close(self):
        self.closed = True
        self.listener.close()
        self.set_fault("reset")
