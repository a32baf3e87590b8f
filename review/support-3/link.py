"""A TCP path that can be cut: between one address and another, in either direction."""
import socket
import struct
import threading


class Link:
    """Forwards connections made to `listen` to `target`, both "ip:port"."""

    def __init__(self, listen, target):
        self.target = target
        self.address = listen
        self.open = []
        self.lock = threading.Lock()
        self.drop_answers = False  # What the target sends is dropped.
        self.hang = False  # New connections are accepted and lead nowhere.
        self.server = None
        self.listen()

    def listen(self):
        ip, port = self.address.rsplit(":", 1)
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind((ip, int(port)))
        self.server.listen(128)
        threading.Thread(target=self.accept, args=(self.server,), daemon=True).start()

    def accept(self, server):
        while True:
            try:
                client, _ = server.accept()
            except OSError:
                return
            if self.hang:
                with self.lock:
                    self.open.append(client)
                continue
            ip, port = self.target.rsplit(":", 1)
            try:
                other = socket.create_connection((ip, int(port)), 1)
            except OSError:
                client.close()
                continue
            for it in (client, other):
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open += [client, other]
            threading.Thread(target=self.forward, args=(client, other, False), daemon=True).start()
            threading.Thread(target=self.forward, args=(other, client, True), daemon=True).start()

    def forward(self, source, sink, answers):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if not (answers and self.drop_answers):
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def refuse(self):
        """From now on connections are refused; open ones are reset."""
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()
        with self.lock:
            for it in self.open:
                try:
                    it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    it.shutdown(socket.SHUT_RD)
                    it.close()
                except OSError:
                    pass
            self.open = []

    def lose_answers(self):
        """From now on only one direction of open connections works, and new ones hang."""
        self.drop_answers = True
        self.hang = True

    def heal(self):
        self.drop_answers = False
        self.hang = False
        if self.server.fileno() < 0:
            self.listen()
