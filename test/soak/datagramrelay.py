"""Relays the datagrams between gateways on loopback, and can lose a share of them or cut gateways off."""
import selectors
import socket
import threading

MAX_DATAGRAM_BYTES = 4096


class DatagramRelay:
    """Gives each gateway a second address. A datagram sent to it reaches the gateway from its sender's second address.

    `draw` returns random numbers in [0, 1) that decide which datagrams are lost.
    """

    def __init__(self, draw):
        self.draw, self.loss, self.cut_ports = draw, 0.0, set()
        self.sockets, self.selector, self.lock = {}, selectors.DefaultSelector(), threading.Lock()
        self.closed = False
        threading.Thread(target=self.forward, daemon=True).start()

    def port_for(self, gateway_port):
        """The port of the relay that stands for the gateway which listens on `gateway_port`."""
        with self.lock:
            if gateway_port not in self.sockets:
                relay = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                relay.bind(("127.0.0.1", 0))
                self.sockets[gateway_port] = relay
                self.selector.register(relay, selectors.EVENT_READ, gateway_port)
            return self.sockets[gateway_port].getsockname()[1]

    def cut(self, gateway_port, is_cut):
        (self.cut_ports.add if is_cut else self.cut_ports.discard)(gateway_port)

    def forward(self):
        while not self.closed:
            for key, _ in self.selector.select(timeout=0.05):
                data, (_, sender_port) = key.fileobj.recvfrom(MAX_DATAGRAM_BYTES)
                sender = self.sockets.get(sender_port)
                if sender is None or {sender_port, key.data} & self.cut_ports or self.draw() < self.loss:
                    continue
                sender.sendto(data, ("127.0.0.1", key.data))

    def close(self):
        self.closed = True
