/**
 * Counters and latency histograms of one node, kept with prom-client. They are
 * available as totals for the status path and as text for collectors; counters
 * also go to a MetricsSender if there is one. Each reason of a refusal or retry
 * has its own counter.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {NodeAnswer} from './caller-listener.js';
import {readQuery} from './caller-listener.js';
import {createOrderedServer} from './limits/ordered-server.js';

/** Upper bounds in seconds, from a local answer to a usual deadline. */
const LATENCY_BUCKETS_S = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 5,
];
const MS_PER_SECOND = 1000;

/** Sends counters to another system. */
export interface MetricsSender {
  increment(name: string, amount: number): void;
  close(): Promise<void>;
}

/** Metrics of one node. */
export class Metrics {
  private readonly totals = new Map<string, number>();
  private readonly registry = new Registry();
  private readonly events = new Counter({
    name: 'sequoiaspool_events_total',
    help: 'Decisions and events by name',
    labelNames: ['name'],
    registers: [this.registry],
    // Counting happens for each request, collecting every few seconds at most.
    collect: () => this.updateEvents(),
  });
  private readonly latency = new Histogram({
    name: 'sequoiaspool_request_seconds',
    help: 'Time from taking a request to its answer or refusal',
    labelNames: ['service', 'route', 'verdict'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly loopDelay = new Histogram({
    name: 'sequoiaspool_loop_delay_seconds',
    help: "Lateness of the node's own timers",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly waitingSettings = new Gauge({
    name: 'sequoiaspool_settings_waiting',
    help: 'Changed values of the settings file that need a restart',
    registers: [this.registry],
  });

  constructor(private readonly sender?: MetricsSender) {}

  /** Adds to a counter, such as `refusals.queue-full`. */
  count(name: string, amount = 1): void {
    this.totals.set(name, (this.totals.get(name) ?? 0) + amount);
    this.sender?.increment(name, amount);
  }

  /** Records the time that one request took, in milliseconds. */
  recordLatency(
    labels: {
      readonly service: string;
      readonly route: string;
      readonly verdict: string;
    },
    elapsedMs: number,
  ): void {
    this.latency.observe({...labels}, elapsedMs / MS_PER_SECOND);
  }

  /** Records the lateness of one of the node's timers, in milliseconds. */
  recordLoopDelay(lateMs: number): void {
    this.loopDelay.observe(lateMs / MS_PER_SECOND);
  }

  /** Records how many changed settings need a restart. */
  recordWaitingSettings(count: number): void {
    this.waitingSettings.set(count);
  }

  /** Returns the counter totals since the start of the process. */
  report(): Record<string, number> {
    return Object.fromEntries([...this.totals].sort());
  }

  /** Returns all metrics in the Prometheus text format. */
  formatText(): Promise<string> {
    return this.registry.metrics();
  }

  private updateEvents(): void {
    this.events.reset();
    for (const [name, total] of this.totals) this.events.inc({name}, total);
  }

  /** Flushes and closes the sender. */
  async close(): Promise<void> {
    await this.sender?.close();
  }
}

/** Path of the metrics server that explains a route. */
const ROUTE_PATH = '/-/route';

/**
 * Creates a server for operators. It explains a route below `/-/route`, since
 * the caller address serves no paths of the node on some platforms, and answers
 * any other request with the metrics as text.
 */
export function createMetricsServer(
  metrics: Metrics,
  describeRoute: (query: URLSearchParams) => NodeAnswer,
): Server {
  return createOrderedServer({}, (message, response) => {
    const [path] = (message.url ?? '').split('?', 1);
    if (path === ROUTE_PATH) {
      writeRoute(message, response, describeRoute);
      return;
    }
    void metrics
      .formatText()
      .then(text => response.end(text))
      .catch(() => response.destroy());
  });
}

function writeRoute(
  message: IncomingMessage,
  response: ServerResponse,
  describeRoute: (query: URLSearchParams) => NodeAnswer,
): void {
  try {
    const {status, body} = describeRoute(readQuery(message));
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  } catch {
    response.destroy();
  }
}
