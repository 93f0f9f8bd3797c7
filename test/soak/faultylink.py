"""A loopback proxy in front of one server: it delays, resets, silences or cuts one way whatever passes through it."""
import socket
import struct
import threading
import time

BLOCK_BYTES = 16384
# How long a held byte waits before the link looks again whether its fault is over.
HOLD_STEP_S = 0.02


def reset(connection):
    """Closes with a reset instead of an orderly end."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass  # it is closed already


class FaultyLink:
    """`fault` is None or one of FAULTS; it holds for all bytes of present and future connections."""

    FAULTS = ("delay", "reset", "silent", "lose_requests", "lose_answers")

    def __init__(self, target_port):
        self.target_port, self.fault, self.open, self.closed = target_port, None, set(), False
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closed:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                continue
            if self.fault == "reset":
                reset(near)
                reset(far)
                continue
            with self.lock:
                self.open.update((near, far))
            for source, sink, way in ((near, far, "lose_requests"), (far, near, "lose_answers")):
                threading.Thread(target=self.pump, args=(source, sink, way), daemon=True).start()

    def pump(self, source, sink, way):
        try:
            while (data := source.recv(BLOCK_BYTES)):
                while self.fault == "silent" and not self.closed:
                    time.sleep(HOLD_STEP_S)
                if self.fault == "delay":
                    time.sleep(0.05)
                if self.fault != way:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # one of the two ends is gone, so the other learns it below
        finally:
            with self.lock:
                gone = source not in self.open
                self.open.discard(source)
            if gone:
                reset(sink)

    def set_fault(self, fault):
        self.fault = fault
        if fault == "reset":
            with self.lock:
                victims, self.open = self.open, set()
            for connection in victims:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # it is closed already
                reset(connection)

    def close(self):
        self.closed = True
        self.listener.close()
        self.set_fault("reset")
