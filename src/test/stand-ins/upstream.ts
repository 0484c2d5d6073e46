/**
 * Stand-in for an upstream worker. It has a limited capacity, counts its runs,
 * announces itself to its local node, and injects faults that tests switch on.
 *
 * - `GET /tickets/ID`, `/stock/ID`, `/bays/ID`: lookups; the answer echoes the
 *   path and the request id.
 * - `POST /bookings`, `/payments`, `/releases`: not idempotent; the answer
 *   contains the number of the run.
 * - `PUT` or `POST /photos/ID`: uploads; the answer contains length and digest.
 * - `GET /health`: the health path; counted as a probe.
 * - `GET /-/figures`, `POST /-/control`: for tests only.
 */
import {createHash} from 'node:crypto';
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import seedrandom from 'seedrandom';
import type {Announcement} from '../../protocol/announcement.js';
import {
  IDEMPOTENCY_KEY,
  PROBE,
  REQUEST_ID,
  VERDICT,
} from '../../protocol/headers.js';
import {readWholeBody, sendJson, startOnLoopback} from './json-http.js';

/** Behaviour that tests can change while the worker runs. */
export interface UpstreamControl {
  /** Multiplies the service time. */
  slowFactor: number;
  /** Answers 500 at once instead of working. */
  isFailingFast: boolean;
  /** Answers 503 with the verdict `not-run` without running the request. */
  isShedding: boolean;
  /** Fails requests of paths with this prefix; empty for none. */
  failingPathPrefix: string;
  /** Slows requests of paths with this prefix; empty for none. */
  slowPathPrefix: string;
  /** Exits when a request path has this prefix; empty for none. */
  crashPathPrefix: string;
  /** Fails above this number of concurrent requests; 0 for never. */
  failAboveInFlight: number;
  /** Largest number of concurrent requests while cold; 0 when warm. */
  coldConcurrency: number;
  /** Leaves every request without an answer. */
  isSilent: boolean;
  /** Closes the connection in the middle of the answer. */
  isCutting: boolean;
  /** Answers the health path with this status. */
  healthStatus: number;
  /** Leaves the health path without an answer. */
  isHealthSilent: boolean;
  /** Mean service time in milliseconds. */
  serviceTimeMs: number;
  /** Stops announcing itself without announcing that it leaves. */
  isQuiet: boolean;
  /** State that the worker announces. */
  state: Announcement['state'];
  /** Number of padding bytes in an answer. */
  answerBytes: number;
  /** Sends answers in chunks, without a length. */
  isChunking: boolean;
}

/** Statistics of one worker since its start. */
export interface StandInStats {
  requests: number;
  probes: number;
  maxInFlight: number;
  maxInFlightCold: number;
  /** Requests that exceeded the cold concurrency. */
  coldOverloads: number;
  cancelled: number;
  lastRequestAtMs: number;
  /** Runs by idempotency key, or by request id where there is no key. */
  runs: Record<string, number>;
}

/** Options of a stand-in. */
export interface UpstreamOptions {
  readonly service: string;
  readonly version?: string;
  readonly slots?: number;
  readonly port?: number;
  /** Caller address of the local node. */
  readonly nodeAddress?: string;
  /** Address to announce when it differs from the listening address. */
  readonly announcedAddress?: string | undefined;
  readonly announceIntervalMs?: number;
  readonly seed?: string;
  readonly control?: Partial<UpstreamControl>;
  /** Called when a request crashes the worker. */
  readonly handleCrash?: () => void;
}

const DEFAULT_SLOTS = 6;
const DEFAULT_ANNOUNCE_MS = 500;
const TTL_INTERVALS = 4;
const CUT_ANSWER_BYTES = 20;
/** Shortest lifetime of an announcement. */
const MIN_TTL_MS = 1000;

/** Stand-in for one upstream worker. */
export class UpstreamStandIn {
  readonly control: UpstreamControl;
  readonly stats: StandInStats = {
    requests: 0,
    probes: 0,
    maxInFlight: 0,
    maxInFlightCold: 0,
    coldOverloads: 0,
    cancelled: 0,
    lastRequestAtMs: 0,
    runs: {},
  };
  address = '';
  private inFlight = 0;
  private readonly random: () => number;
  private announceTimer: NodeJS.Timeout | undefined;
  private readonly server = createServer(
    {keepAliveTimeout: 60_000},
    (message, response) => {
      void this.serve(message, response).catch(() => response.destroy());
    },
  );

  constructor(private readonly options: UpstreamOptions) {
    this.random = seedrandom(options.seed ?? options.service);
    this.control = {
      slowFactor: 1,
      isFailingFast: false,
      isShedding: false,
      failingPathPrefix: '',
      slowPathPrefix: '',
      crashPathPrefix: '',
      failAboveInFlight: 0,
      coldConcurrency: 0,
      isSilent: false,
      isCutting: false,
      healthStatus: 200,
      isHealthSilent: false,
      serviceTimeMs: 4,
      isQuiet: false,
      state: 'ready',
      answerBytes: 0,
      isChunking: false,
      ...options.control,
    };
  }

  async start(): Promise<string> {
    this.address = await startOnLoopback(this.server, this.options.port);
    if (this.options.nodeAddress) void this.announceRegularly();
    return this.address;
  }

  /** Stops at once, as a killed process does. */
  async stop(): Promise<void> {
    clearTimeout(this.announceTimer);
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Announces the worker to its local node once. */
  async announce(): Promise<void> {
    const {service, version = 'v1', slots = DEFAULT_SLOTS} = this.options;
    const intervalMs = this.options.announceIntervalMs ?? DEFAULT_ANNOUNCE_MS;
    const announcement: Announcement = {
      service,
      version,
      slots,
      address: this.options.announcedAddress ?? this.address,
      state: this.control.state,
      ttlMs: Math.max(MIN_TTL_MS, intervalMs * TTL_INTERVALS),
    };
    await fetch(`http://${this.options.nodeAddress}/-/announce`, {
      method: 'POST',
      body: JSON.stringify(announcement),
    });
  }

  private async announceRegularly(): Promise<void> {
    if (!this.control.isQuiet) await this.announce().catch(() => {});
    this.announceTimer = setTimeout(
      () => void this.announceRegularly(),
      this.options.announceIntervalMs ?? DEFAULT_ANNOUNCE_MS,
    );
  }

  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = message.url ?? '/';
    if (path.startsWith('/-/')) {
      await this.serveControl(path, message, response);
      return;
    }
    if (message.headers[PROBE] !== undefined || path === '/health') {
      this.stats.probes += 1;
      if (this.control.isHealthSilent) return;
      sendJson(response, this.control.healthStatus, {
        state: this.control.state,
      });
      return;
    }
    this.inFlight += 1;
    response.once('close', () => {
      this.inFlight -= 1;
      if (!response.writableFinished) this.stats.cancelled += 1;
    });
    await this.run(path, message, response);
  }

  private async serveControl(
    path: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (path === '/-/control') {
      const body = (await readWholeBody(message)).toString() || '{}';
      Object.assign(this.control, JSON.parse(body));
      if (this.options.nodeAddress) await this.announce().catch(() => {});
    }
    sendJson(response, 200, {...this.stats, control: this.control});
  }

  private async run(
    path: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {control, stats} = this;
    stats.requests += 1;
    stats.lastRequestAtMs = Date.now();
    stats.maxInFlight = Math.max(stats.maxInFlight, this.inFlight);
    if (control.isShedding) {
      response.setHeader(VERDICT, 'not-run');
      sendJson(response, 503, {error: 'shed'});
      return;
    }
    if (control.isFailingFast || hasPrefix(path, control.failingPathPrefix)) {
      sendJson(response, 500, {error: 'failed'});
      return;
    }
    if (hasPrefix(path, control.crashPathPrefix)) {
      this.options.handleCrash?.();
      return;
    }
    if (this.isOverloaded()) {
      sendJson(response, 500, {error: 'overloaded'});
      return;
    }
    const key = findRunKey(message);
    if (key !== undefined) stats.runs[key] = (stats.runs[key] ?? 0) + 1;
    const body = await readWholeBody(message);
    await wait(this.computeServiceTimeMs(path));
    if (control.isSilent) return;
    this.answer(path, message, response, body);
  }

  private isOverloaded(): boolean {
    const {control, stats} = this;
    if (control.coldConcurrency > 0) {
      stats.maxInFlightCold = Math.max(stats.maxInFlightCold, this.inFlight);
      if (this.inFlight > control.coldConcurrency) {
        stats.coldOverloads += 1;
        return true;
      }
    }
    const above = control.failAboveInFlight;
    return above > 0 && this.inFlight > above;
  }

  private computeServiceTimeMs(path: string): number {
    const {control} = this;
    const isSlowPath = hasPrefix(path, control.slowPathPrefix);
    const slots = this.options.slots ?? DEFAULT_SLOTS;
    // Above its slots a worker divides its processing time among its requests.
    const loadFactor = Math.max(1, this.inFlight / slots);
    const variation = 0.5 + this.random();
    const slowdownFactor = control.slowFactor * (isSlowPath ? 10 : 1);
    return control.serviceTimeMs * variation * loadFactor * slowdownFactor;
  }

  private answer(
    path: string,
    message: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void {
    const key = findRunKey(message);
    const answer = JSON.stringify({
      path,
      requestId: message.headers[REQUEST_ID],
      version: this.options.version ?? 'v1',
      worker: this.address,
      length: body.length,
      digest: createHash('sha256').update(body).digest('hex'),
      ...(key !== undefined ? {key, run: this.stats.runs[key]} : {}),
      padding: 'x'.repeat(this.control.answerBytes),
    });
    response.writeHead(200, {
      'content-type': 'application/json',
      ...(this.control.isChunking
        ? {}
        : {'content-length': Buffer.byteLength(answer)}),
    });
    if (!this.control.isCutting) {
      response.end(answer);
      return;
    }
    response.write(answer.slice(0, CUT_ANSWER_BYTES), () => response.destroy());
  }
}

/**
 * Returns the key under which a run is counted; undefined for lookups and
 * uploads.
 */
function findRunKey(message: IncomingMessage): string | undefined {
  if (message.method !== 'POST') return undefined;
  const key = message.headers[IDEMPOTENCY_KEY] ?? message.headers[REQUEST_ID];
  return typeof key === 'string' ? key : undefined;
}

function hasPrefix(path: string, prefix: string): boolean {
  return prefix !== '' && path.startsWith(prefix);
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
