/**
 * A caller with one keep-alive connection. It changes to another node when an
 * answer announces the end of the connection, or when a connect is refused,
 * which proves that the request was not sent. Any other error counts as a
 * failed call.
 */
import type {IncomingMessage} from 'node:http';
import {Agent, request} from 'node:http';

const SERVER_ERROR = 500;

/** A failed call. */
export interface FailedCall {
  readonly path: string;
  readonly node: string;
  readonly problem: string;
}

/** Options of a caller. */
export interface CallerOptions {
  /** Caller addresses of all nodes, the preferred one first. */
  readonly nodes: readonly string[];
  readonly name: string;
  /** Computes the pause before the next call. */
  readonly computePauseMs: () => number;
}

/** A caller that sends one call after another until stopped. */
export class KeepAliveCaller {
  /** Number of calls answered with success. */
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

  /** Starts to send calls. */
  start(): void {
    this.running = this.run();
  }

  /** Stops after the current call. */
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

  /** Sends one call; every third is a booking. */
  private async sendCall(): Promise<void> {
    this.callCount += 1;
    const isBooking = this.callCount % 3 === 0;
    const key = `${this.options.name}-${this.callCount}`;
    const path = isBooking ? '/bookings' : `/tickets/${key}`;
    const method = isBooking ? 'POST' : 'GET';
    const headers: Record<string, string> = isBooking
      ? {'idempotency-key': key}
      : {};
    for (let attempt = 0; attempt < 2 * this.options.nodes.length; attempt++) {
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
    this.failed.push({
      path,
      node: 'all',
      problem: 'every node refused the connection',
    });
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
