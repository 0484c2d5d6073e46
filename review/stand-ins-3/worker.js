/* global setTimeout, clearTimeout, performance, fetch, AbortSignal */
/**
 * Stand-in for a worker on the platform. It reports to the node on its host and
 * hands each request that it runs to a function of the case, which answers it.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const HEALTH_PATH = '/healthz';
const HEARTBEAT_MS = 1500;
const REPORT_TIMEOUT_MS = 1000;

/** Reads the whole body of a message. */
export async function readBody(message) {
  const parts = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
}

/** A worker; each start is a new lifetime. */
export class Worker {
  /**
   * @param options service, version, slots, port, reportAddress, zone, record,
   *     and `run(context)`, which answers a request.
   */
  constructor(options) {
    this.options = options;
    this.sockets = new Set();
    this.startCount = 0;
    this.running = 0;
    this.state = 'ready';
    this.coldUntil = 0;
  }

  /** Milliseconds for which the worker stays cold; 0 when it is warm. */
  get coldMs() {
    return Math.max(0, Math.ceil(this.coldUntil - performance.now()));
  }

  async start() {
    const {service, port} = this.options;
    this.startCount += 1;
    this.sequence = 0;
    this.born = Date.now();
    this.state = 'ready';
    this.running = 0;
    this.id = `i-${service}-${port}-${this.startCount}`;
    const server = createServer((message, response) => {
      response.on('error', () => {});
      message.on('error', () => {});
      this.serve(message, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 10_000;
    server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    await new Promise(resolve => server.listen(port, '127.0.0.1', resolve));
    this.beat();
  }

  /** Ends at once, like a crashed process. */
  async stop() {
    clearTimeout(this.timer);
    const {server} = this;
    this.server = undefined;
    if (!server) return;
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => server.close(resolve));
  }

  async beat() {
    clearTimeout(this.timer);
    await this.report('heartbeat');
    if (!this.server) return;
    this.timer = setTimeout(() => this.beat(), HEARTBEAT_MS);
  }

  buildReport() {
    const {service, version = 'v1', slots, port, zone} = this.options;
    this.sequence += 1;
    return {
      service,
      version,
      slots,
      address: `127.0.0.1:${port}`,
      zone,
      state: this.state,
      cold_remaining_ms: this.coldMs,
      sequence: this.sequence,
      born: this.born,
    };
  }

  async report(name, body = this.buildReport(), id = this.id) {
    const {reportAddress} = this.options;
    try {
      const url = `http://${reportAddress}/v1/instances/${id}/${name}`;
      const reply = await fetch(url, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
        body: JSON.stringify(body),
      });
      await reply.arrayBuffer();
      return reply.status;
    } catch {
      return 0;
    }
  }

  async serve(message, response) {
    const {slots, record, run} = this.options;
    const id = message.headers['sequoiaspool-attempt-id'];
    const target = message.headers['sequoiaspool-target-instance'];
    response.setHeader('Sequoiaspool-Instance-Id', this.id);
    response.setHeader(
      'Sequoiaspool-Server-Load',
      `${this.running},0,${slots},100`,
    );
    if (message.url === HEALTH_PATH) {
      if (this.coldMs > 0)
        response.setHeader('Sequoiaspool-Cold-Ms', String(this.coldMs));
      response.statusCode = this.state === 'ready' ? 200 : 503;
      response.end();
      return;
    }
    if (typeof id === 'string')
      response.setHeader('Sequoiaspool-Attempt-Id', id);
    if (target !== undefined && target !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (typeof id !== 'string' || this.running >= slots) {
      response.setHeader('Sequoiaspool-Not-Executed', '1');
      response.writeHead(typeof id === 'string' ? 503 : 400).end();
      return;
    }
    this.running += 1;
    const free = () => {
      this.running -= 1;
    };
    response.once('close', free);
    await run({id, message, response, worker: this, record});
  }
}
