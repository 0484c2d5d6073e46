/**
 * What one node process costs, for the status path and for measurements of
 * the cost of control.
 */
import type {PeerClients} from './peer-client.js';

const MICROSECONDS_PER_SECOND = 1e6;

/** Use of resources since the start of the process. */
export interface ProcessReport {
  readonly cpuSeconds: number;
  readonly rssBytes: number;
  /** Bytes of calls to other nodes, both ways, headers included. */
  readonly peerCallBytes: number;
}

/** Reports the use of resources of this process. */
export function reportProcess(peers: PeerClients): ProcessReport {
  const {user, system} = process.cpuUsage();
  return {
    cpuSeconds: (user + system) / MICROSECONDS_PER_SECOND,
    rssBytes: process.memoryUsage.rss(),
    peerCallBytes: peers.countBytes(),
  };
}
