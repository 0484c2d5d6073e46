/**
 * Closed-loop callers for tests against real nodes: each sends one lookup after
 * another to the nodes in rotation, and the answers are counted by reason.
 */
import {Agent, request} from 'undici';
import type {Fixture} from './deployment-fixture.js';

/** Load of a group of callers. */
export interface LoadSpec {
  readonly fixture: Fixture;
  readonly caller: string;
  /** Number of concurrent requests. */
  readonly concurrency: number;
  readonly requests: number;
  readonly path?: string;
  /** Number of distinct paths; as many as requests by default. */
  readonly paths?: number;
  readonly service?: string;
  /** Ids of the hosts whose nodes get the requests; all by default. */
  readonly hosts?: readonly string[];
}

/** Number of answers by `answered`, `failed` or the reason of a refusal. */
export type LoadCounts = Readonly<Record<string, number>>;

/** Sends the requests and counts the answers. */
export async function runLoad(spec: LoadSpec): Promise<LoadCounts> {
  const {deployment} = spec.fixture;
  const names = spec.hosts ?? deployment.hosts.map(host => host.spec.id);
  const addresses = names.map(name => deployment.findHost(name).callerAddress);
  const dispatcher = new Agent({connections: spec.concurrency});
  const counts: Record<string, number> = {};
  let sent = 0;
  const send = async (): Promise<void> => {
    while (sent < spec.requests) {
      sent += 1;
      const address = addresses[sent % addresses.length]!;
      const {service = 'kona-desk', path = '/tickets'} = spec;
      const number = sent % (spec.paths ?? Infinity);
      const url = `http://${address}/${service}${path}/${number}`;
      const headers = {'x-client-id': spec.caller};
      const response = await request(url, {dispatcher, headers});
      await response.body.dump();
      const reason = response.headers['sequoiaspool-reason'];
      const other = response.statusCode === 200 ? 'answered' : 'failed';
      const name = typeof reason === 'string' ? reason : other;
      counts[name] = (counts[name] ?? 0) + 1;
    }
  };
  await Promise.all(Array.from({length: spec.concurrency}, send));
  await dispatcher.close();
  return counts;
}

/** Adds up one count of all upstreams of a deployment. */
export function computeTotal(
  fixture: Fixture,
  name: 'coldOverloads' | 'requests' | 'probes',
): number {
  let total = 0;
  for (const {stats} of fixture.upstreams.values()) total += stats[name];
  return total;
}
