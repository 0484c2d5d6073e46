/**
 * Resource usage of one node process, for the status path and for measuring
 * the cost of the load balancer.
 */
import type {PeerClients} from './peer-client.js';

const MICROSECONDS_PER_SECOND = 1e6;

/** Resource usage; CPU time and bytes since the start of the process. */
export interface ProcessReport {
  readonly cpuSeconds: number;
  readonly rssBytes: number;
  /** Bytes sent and received in calls to other nodes, headers included. */
  readonly peerCallBytes: number;
}

/** Reports the resource usage of this process. */
export function reportProcess(peers: PeerClients): ProcessReport {
  const {user, system} = process.cpuUsage();
  return {
    cpuSeconds: (user + system) / MICROSECONDS_PER_SECOND,
    rssBytes: process.memoryUsage.rss(),
    peerCallBytes: peers.countBytes(),
  };
}
