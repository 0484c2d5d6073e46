/**
 * A peer that answers its first request on each connection with bytes without
 * end, and a measure of the memory that its caller takes meanwhile.
 */
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';

const SAMPLE_INTERVAL_MS = 20;

/** Sends repeatedly, as fast as the peer reads. */
function sendParts(socket: Socket, part: string): void {
  while (!socket.destroyed && socket.write(part));
  if (!socket.destroyed) socket.once('drain', () => sendParts(socket, part));
}

/** Peer that sends a head, and then a part over and over. */
export class EndlessSender {
  /** Number of connections on which it sends. */
  sending = 0;
  private readonly server: Server;

  constructor(head: string, part: string) {
    this.server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => {
        this.sending += 1;
        socket.on('close', () => (this.sending -= 1));
        socket.write(head);
        sendParts(socket, part);
      });
    });
  }

  /** Starts listening and returns the address. */
  async start(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.close();
  }
}

/** Measures by how many bytes memory grows at most until a task has ended. */
export async function measureGrowth(
  task: () => Promise<unknown>,
): Promise<number> {
  const measure = (): number => {
    const {heapUsed, external} = process.memoryUsage();
    return heapUsed + external;
  };
  const before = measure();
  let most = before;
  const sample = (): void => void (most = Math.max(most, measure()));
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  await task();
  sample();
  clearInterval(timer);
  return most - before;
}
