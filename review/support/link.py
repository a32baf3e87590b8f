"""A TCP proxy that stands for a network path which may be cut for a while without a reset."""
import asyncio

# Linux sends a lost segment again after these times, counted from its first transmission (RTO of 200 ms, doubled).
RETRANSMISSIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2)


class Link:
    def __init__(self, record, listen, target):
        self.record = record
        self.listen = listen
        self.target = target
        self.cut_until = 0.0

    async def start(self):
        ip, port = self.listen.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    def cut(self, seconds):
        """From now on nothing passes. What was sent meanwhile on open connections arrives by retransmission."""
        self.cut_until = asyncio.get_running_loop().time() + seconds
        self.record.write("link-cut", listen=self.listen, for_s=seconds)

    async def wait_for_path(self):
        loop = asyncio.get_running_loop()
        sent = loop.time()
        if sent >= self.cut_until:
            return
        for after in RETRANSMISSIONS_S:
            if sent + after >= self.cut_until:
                await asyncio.sleep(sent + after - loop.time())
                return

    async def serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        if loop.time() < self.cut_until:
            # The opening packet is lost. The caller gives up and tries again before it would be repeated.
            await asyncio.sleep(self.cut_until - loop.time())
            writer.close()
            return
        ip, port = self.target.rsplit(":", 1)
        try:
            to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, to_writer), self.pump(to_reader, writer))

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.wait_for_path()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
