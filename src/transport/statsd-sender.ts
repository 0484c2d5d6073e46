/**
 * Sends counters to StatsD with hot-shots. This is a separate module, so that a
 * node without StatsD doesn't load the client.
 */
import {StatsD} from 'hot-shots';
import {parseAddress} from '../protocol/node-identity.js';
import type {MetricsSender} from './metrics.js';

/** Maximum datagram size; the client batches counters up to it. */
const MAX_DATAGRAM_BYTES = 1400;

/** Address of the StatsD server and prefix of counter names. */
export interface StatsdOptions {
  readonly address: string;
  readonly prefix: string;
}

/** Creates a sender that tags each counter with the node. */
export function createStatsdSender(
  nodeId: string,
  {address, prefix}: StatsdOptions,
): MetricsSender {
  const client = new StatsD({
    ...parseAddress(address),
    prefix,
    globalTags: {node: nodeId},
    maxBufferSize: MAX_DATAGRAM_BYTES,
    errorHandler: () => {},
  });
  return {
    increment: (name, amount) => void client.increment(name, amount),
    close: () => new Promise(resolve => client.close(() => resolve())),
  };
}
