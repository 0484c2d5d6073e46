/**
 * Counters, sent to StatsD by hot-shots and kept as totals for the status
 * path. Each refusal and retry reason has a counter of its own.
 */
import {StatsD} from 'hot-shots';
import type {NodeSettings} from '../protocol/settings.js';
import {parseAddress} from '../protocol/node-identity.js';

/** Counters are sent together until a datagram of this size is full. */
const DATAGRAM_BYTES = 1400;

/** Counters of one node. */
export class Metrics {
  private readonly totals = new Map<string, number>();
  private readonly client: StatsD | undefined;

  constructor(nodeId: string, settings: NodeSettings['metrics']) {
    if (settings.statsdAddress === undefined) return;
    this.client = new StatsD({
      ...parseAddress(settings.statsdAddress),
      prefix: settings.prefix,
      globalTags: {node: nodeId},
      maxBufferSize: DATAGRAM_BYTES,
      errorHandler: () => {},
    });
  }

  /** Adds to a counter, such as `refusals.queue-full`. */
  count(name: string, amount = 1): void {
    this.totals.set(name, (this.totals.get(name) ?? 0) + amount);
    this.client?.increment(name, amount);
  }

  /** Totals since the start of the process. */
  report(): Record<string, number> {
    return Object.fromEntries([...this.totals].sort());
  }

  /** Sends what is left and closes the socket. */
  close(): Promise<void> {
    return new Promise(resolve => {
      if (this.client) this.client.close(() => resolve());
      else resolve();
    });
  }
}
