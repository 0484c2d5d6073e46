/**
 * Sends counters to StatsD by hot-shots. It stands apart from the counters, so
 * that a node without StatsD doesn't load the client.
 */
import {StatsD} from 'hot-shots';
import {parseAddress} from '../protocol/node-identity.js';
import type {MetricsSender} from './metrics.js';

/** Counters are sent together until a datagram of this size is full. */
const DATAGRAM_BYTES = 1400;

/** Where counters are sent. */
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
    maxBufferSize: DATAGRAM_BYTES,
    errorHandler: () => {},
  });
  return {
    increment: (name, amount) => void client.increment(name, amount),
    close: () => new Promise(resolve => client.close(() => resolve())),
  };
}
