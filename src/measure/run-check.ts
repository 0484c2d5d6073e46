/**
 * Compares the runs that upstreams counted with the answers that callers
 * received. Only the upstreams' counts can show that a booking ran twice, or
 * that a booking refused as not run did run.
 */
import * as z from 'zod';
import type {LocalDeployment} from './local-deployment.js';
import type {BookingOutcomes} from './load-generator.js';

const upstreamStatsSchema = z.object({
  requests: z.number(),
  probes: z.number(),
  maxInFlight: z.number(),
  coldOverloads: z.number(),
  cancelled: z.number(),
  runs: z.record(z.string(), z.number()),
});

/** Statistics of an upstream stand-in. */
export type UpstreamStats = z.output<typeof upstreamStatsSchema>;

/** Number of faults that only the upstreams' counts show. */
export interface RunFaults {
  /** Keys that ran more than once. */
  readonly doubled: number;
  /** Keys that were refused as not run although they ran. */
  readonly untrueRefusals: number;
  /** Keys that were answered although no upstream ran them. */
  readonly neverRan: number;
}

/** Reads the statistics of all running upstreams, by host id. */
export async function readUpstreamStats(
  deployment: LocalDeployment,
): Promise<Map<string, UpstreamStats>> {
  const entries = await Promise.all(
    deployment.hosts.map(async ({spec, upstream}) => {
      const stats = upstreamStatsSchema.parse(await upstream?.readStats());
      return [spec.id, stats] as const;
    }),
  );
  return new Map(entries);
}

/** Counts the bookings whose runs contradict the answers to their callers. */
export function checkRuns(
  upstreams: Iterable<Pick<UpstreamStats, 'runs'>>,
  bookings: BookingOutcomes,
): RunFaults {
  const runs = new Map<string, number>();
  for (const upstream of upstreams) {
    for (const [key, count] of Object.entries(upstream.runs)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  const count = (keys: Iterable<string>, check: (ran: number) => boolean) =>
    [...keys].filter(key => check(runs.get(key) ?? 0)).length;
  return {
    doubled: count(runs.keys(), ran => ran > 1),
    untrueRefusals: count(bookings.notRun, ran => ran > 0),
    neverRan: count(bookings.answered, ran => ran === 0),
  };
}
