/**
 * TCP proxy in front of one address that injects faults by direction and, where
 * clients have distinct source addresses, by client. Faults are plain fields
 * that a test sets; they apply to open and new connections alike.
 *
 *     const proxy = new FaultProxy('127.0.0.1:7001');
 *     const address = await proxy.start();
 *     proxy.faults.toTarget.delayMs = 20;    // latency
 *     proxy.faults.toClient.isStalled = true; // holds bytes until unset
 *     proxy.faults.toClient.cutAfterBytes = 100; // resets after 100 bytes
 *     proxy.faultsBySource.set('127.0.0.3', createLinkFaults()); // one client
 *     proxy.holdConnections();  // open ones stay silent until closed
 *     proxy.resetConnections();    // open ones are reset
 *     await proxy.refuse();        // connects are refused until accept()
 *
 * A stall also holds back the end of a connection. The proxy accepts connects
 * during a stall, so a client sees silence instead of a connect timeout.
 */
import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {findFreePorts} from '../../measure/free-ports.js';
import {parseAddress} from '../../protocol/node-identity.js';

const STALL_POLL_MS = 5;
/**
 * Lets the receiver read the bytes before a cut; a reset discards unread ones.
 */
const RESET_DELAY_MS = 20;

/** Faults of the bytes in one direction. */
export interface DirectionFaults {
  /** Delay of each chunk in milliseconds. */
  delayMs: number;
  /** Holds back all bytes while set. */
  isStalled: boolean;
  /** Number of bytes after which a connection is reset. */
  cutAfterBytes: number;
}

/** Faults of both directions. */
export interface LinkFaults {
  readonly toTarget: DirectionFaults;
  readonly toClient: DirectionFaults;
  /** Resets each new connection as soon as it is accepted. */
  isResetting: boolean;
}

type DirectionName = 'toTarget' | 'toClient';

const BOTH_DIRECTIONS: readonly DirectionName[] = ['toTarget', 'toClient'];

/** Creates the faults of a link without any fault set. */
export function createLinkFaults(): LinkFaults {
  return {
    toTarget: createDirectionFaults(),
    toClient: createDirectionFaults(),
    isResetting: false,
  };
}

function createDirectionFaults(): DirectionFaults {
  return {delayMs: 0, isStalled: false, cutAfterBytes: Infinity};
}

/** A chunk of the stream, or the way in which it ended. */
type StreamPart = Buffer | 'end' | 'reset';

interface QueuedPart {
  readonly part: StreamPart;
  readonly arrivedAt: number;
}

/** One direction of one connection. */
class Flow {
  /** Drops all further data and the end of the connection while set. */
  isSilent = false;
  private readonly queue: QueuedPart[] = [];
  private isRunning = false;
  private passedBytes = 0;

  constructor(
    source: Socket,
    private readonly sink: Socket,
    private readonly findFaults: () => DirectionFaults,
    private readonly reset: () => void,
  ) {
    let hasEnded = false;
    source.on('data', part => this.enqueue(part));
    source.on('end', () => {
      hasEnded = true;
      this.enqueue('end');
    });
    source.on('error', () => {});
    source.on('close', () => {
      if (!hasEnded) this.enqueue('reset');
    });
  }

  private enqueue(part: StreamPart): void {
    this.queue.push({part, arrivedAt: performance.now()});
    if (!this.isRunning) void this.run();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    for (;;) {
      const next = this.queue.shift();
      if (!next) break;
      await this.hold(next.arrivedAt);
      if (!this.isSilent) this.send(next.part);
    }
    this.isRunning = false;
  }

  private async hold(arrivedAt: number): Promise<void> {
    const dueAt = arrivedAt + this.findFaults().delayMs;
    const leftMs = dueAt - performance.now();
    if (leftMs > 0) await wait(leftMs);
    while (this.findFaults().isStalled && !this.sink.destroyed) {
      await wait(STALL_POLL_MS);
    }
  }

  private send(part: StreamPart): void {
    if (part === 'end') this.sink.end();
    else if (part === 'reset') this.reset();
    else this.write(part);
  }

  private write(part: Buffer): void {
    const left = this.findFaults().cutAfterBytes - this.passedBytes;
    const passed = part.length > left ? part.subarray(0, left) : part;
    this.passedBytes += passed.length;
    if (passed === part) {
      this.sink.write(part);
      return;
    }
    this.isSilent = true;
    this.sink.write(passed, () => setTimeout(this.reset, RESET_DELAY_MS));
  }
}

/** One proxied connection. */
interface Connection {
  readonly client: Socket;
  readonly target: Socket;
  readonly flows: Readonly<Record<DirectionName, Flow>>;
}

/** A proxy in front of one address. */
export class FaultProxy {
  /** Faults of all clients without an entry in `faultsBySource`. */
  readonly faults = createLinkFaults();
  /** Faults by the client's IP address. */
  readonly faultsBySource = new Map<string, LinkFaults>();
  /** Number of connections accepted since the start. */
  connectionCount = 0;
  address = '';
  private readonly connections = new Set<Connection>();
  private server: Server | undefined;

  constructor(private readonly targetAddress: string) {}

  /** Number of open connections. */
  get openCount(): number {
    return this.connections.size;
  }

  /** Starts to accept connections; resolves with the proxy's address. */
  async start(port?: number): Promise<string> {
    const chosen = port ?? (await findFreePorts(1))[0]!;
    this.address = `127.0.0.1:${chosen}`;
    await this.accept();
    return this.address;
  }

  /** Accepts connections, also again after `refuse`. */
  async accept(): Promise<void> {
    if (this.server) return;
    const server = createServer({allowHalfOpen: true}, client =>
      this.handleClient(client),
    );
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(parseAddress(this.address), () => resolve());
    });
    const {port} = server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Refuses new connections; open ones continue. */
  async refuse(): Promise<void> {
    this.server?.close();
    this.server = undefined;
    // The listening socket is closed in the next event loop iteration.
    await wait(0);
  }

  /** Makes the open connections silent until they are closed; new ones work. */
  holdConnections(
    directions: readonly DirectionName[] = BOTH_DIRECTIONS,
  ): void {
    for (const connection of this.connections) {
      for (const name of directions) connection.flows[name].isSilent = true;
    }
  }

  /** Resets the open connections. */
  resetConnections(): void {
    for (const connection of this.connections) resetConnection(connection);
  }

  /** Stops the proxy and resets all its connections. */
  async stop(): Promise<void> {
    await this.refuse();
    this.resetConnections();
  }

  private handleClient(client: Socket): void {
    this.connectionCount += 1;
    const source = client.remoteAddress ?? '';
    const findLinkFaults = (): LinkFaults =>
      this.faultsBySource.get(source) ?? this.faults;
    if (findLinkFaults().isResetting) {
      client.on('error', () => {}).resetAndDestroy();
      return;
    }
    const target = connect({
      ...parseAddress(this.targetAddress),
      allowHalfOpen: true,
    });
    client.setNoDelay(true);
    target.setNoDelay(true);
    const reset = (): void => resetConnection(connection);
    const connection: Connection = {
      client,
      target,
      flows: {
        toTarget: new Flow(
          client,
          target,
          () => findLinkFaults().toTarget,
          reset,
        ),
        toClient: new Flow(
          target,
          client,
          () => findLinkFaults().toClient,
          reset,
        ),
      },
    };
    this.connections.add(connection);
    const handleClose = (): void => {
      if (client.destroyed && target.destroyed) {
        this.connections.delete(connection);
      }
    };
    client.once('close', handleClose);
    target.once('close', handleClose);
  }
}

function resetConnection({client, target}: Connection): void {
  if (!client.destroyed) client.resetAndDestroy();
  if (!target.destroyed) target.resetAndDestroy();
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
