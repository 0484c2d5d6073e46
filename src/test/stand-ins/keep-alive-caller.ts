/**
 * A caller on one keep-alive connection. It goes to another node when an
 * answer says that the connection ends or when a connect is refused, which
 * proves that nothing was sent; any other error counts as a cut request.
 */
import type {IncomingMessage} from 'node:http';
import {Agent, request} from 'node:http';

const SERVER_ERROR = 500;

/** How one call ended when it did not end well. */
export interface FailedCall {
  readonly path: string;
  readonly node: string;
  readonly problem: string;
}

/** How a caller calls. */
export interface CallerOptions {
  /** Caller addresses of all nodes, the preferred one first. */
  readonly nodes: readonly string[];
  readonly name: string;
  /** Pause between two calls. */
  readonly computePauseMs: () => number;
}

/** One caller, which calls until told to stop. */
export class KeepAliveCaller {
  /** Calls answered with success. */
  answered = 0;
  readonly failed: FailedCall[] = [];
  /** Keys of the bookings that were answered. */
  readonly bookedKeys: string[] = [];
  private nodeIndex = 0;
  private callCount = 0;
  private isStopping = false;
  private agent = createAgent();
  private running: Promise<void> | undefined;

  constructor(private readonly options: CallerOptions) {}

  /** Begins to call. */
  start(): void {
    this.running = this.run();
  }

  /** Ends after the current call. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await this.running;
    this.agent.destroy();
  }

  private async run(): Promise<void> {
    while (!this.isStopping) {
      await this.sendCall();
      const pauseMs = this.options.computePauseMs();
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }

  /** Makes one call: every third is a booking. */
  private async sendCall(): Promise<void> {
    this.callCount += 1;
    const isBooking = this.callCount % 3 === 0;
    const key = `${this.options.name}-${this.callCount}`;
    const path = isBooking ? '/bookings' : `/tickets/${key}`;
    const method = isBooking ? 'POST' : 'GET';
    const headers: Record<string, string> = isBooking
      ? {'idempotency-key': key}
      : {};
    for (let tries = 0; tries < 2 * this.options.nodes.length; tries++) {
      const node = this.options.nodes[this.nodeIndex]!;
      try {
        const answer = await this.send(node, method, path, headers);
        this.record(path, node, answer);
        if (isBooking) this.bookedKeys.push(key);
        if (answer.headers.connection === 'close') this.chooseNextNode();
        return;
      } catch (error) {
        const {code} = error as NodeJS.ErrnoException;
        if (code !== 'ECONNREFUSED') {
          this.failed.push({path, node, problem: String(error)});
          return;
        }
        this.chooseNextNode();
      }
    }
    this.failed.push({path, node: 'all', problem: 'no node accepts'});
  }

  private record(path: string, node: string, answer: IncomingMessage): void {
    const status = answer.statusCode ?? SERVER_ERROR;
    if (status < 300) {
      this.answered += 1;
      return;
    }
    const reason = answer.headers['sequoiaspool-reason'];
    this.failed.push({path, node, problem: `${status} ${String(reason)}`});
  }

  private chooseNextNode(): void {
    this.nodeIndex = (this.nodeIndex + 1) % this.options.nodes.length;
    this.agent.destroy();
    this.agent = createAgent();
  }

  /** Sends one request and reads its whole answer. */
  private send(
    node: string,
    method: string,
    path: string,
    headers: Record<string, string>,
  ): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const url = `http://${node}/kona-desk${path}`;
      const sent = request(url, {method, headers, agent: this.agent});
      sent.on('error', reject);
      sent.on('response', answer => {
        answer.on('error', reject);
        answer.on('end', () => resolve(answer));
        answer.resume();
      });
      sent.end();
    });
  }
}

function createAgent(): Agent {
  return new Agent({keepAlive: true, maxSockets: 1});
}
