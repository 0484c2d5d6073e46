/**
 * Helpers for tests with real processes: send requests with idempotency keys,
 * count their runs, and wait for home lists.
 */
import {chooseHome} from '../coordination/home-choice.js';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';

const SERVICE = 'kona-desk';
const LIST_TIMEOUT_MS = 60_000;

/** Result of one booking. */
export interface BookingOutcome {
  readonly status: number;
  readonly verdict: string | null;
  readonly reason: string | null;
  readonly isReplayed: boolean;
  readonly text: string;
}

/** Options for sending a booking. */
export interface BookingOptions {
  readonly body?: string;
  readonly timeLimitMs?: number;
  readonly signal?: AbortSignal;
}

/** Starts three hosts and waits until all of them are key homes. */
export async function startWithHomes(freshnessLimit = '2m'): Promise<Fixture> {
  const fixture = await startFixture({
    workers: 3,
    configuration: {
      profiles: {
        desk: {maxTimeLimit: '60s', idempotency: {freshnessLimit}},
      },
      services: {[SERVICE]: {profile: 'desk'}},
    },
  });
  await waitForHomes(fixture, 3);
  return fixture;
}

/**
 * Waits until all running nodes know the same list, with the given number of
 * homes and an epoch that `isExpectedEpoch` accepts.
 */
export async function waitForHomes(
  fixture: Fixture,
  homes: number,
  isExpectedEpoch: (epoch: number) => boolean = () => true,
): Promise<void> {
  await waitFor(
    `a list of ${homes} homes`,
    async () => {
      const epochs = new Set<number>();
      for (const host of fixture.deployment.hosts) {
        if (!host.node?.isRunning) continue;
        const list = (await readHomes(fixture, host.spec.id))!;
        if (list.homes !== homes || !isExpectedEpoch(list.epoch)) return false;
        epochs.add(list.epoch);
      }
      return epochs.size === 1;
    },
    LIST_TIMEOUT_MS,
  );
}

/** Reads the epoch and number of homes of the newest list of a node. */
export async function readHomes(
  fixture: Fixture,
  hostId: string,
): Promise<{epoch: number; homes: number} | undefined> {
  const {callerAddress} = fixture.deployment.findHost(hostId);
  const response = await fetch(`http://${callerAddress}/-/status`, {
    signal: AbortSignal.timeout(5000),
  });
  const status = (await response.json()) as {
    keyHomes: {lists: Record<string, {epoch: number; homes: number}>};
  };
  return status.keyHomes.lists[SERVICE];
}

/** Returns a key whose home is the given one of the three hosts. */
export function findKeyWithHome(hostId: string, prefix: string): string {
  const homes = ['desk-0', 'desk-1', 'desk-2'].map(nodeId => ({
    nodeId,
    incarnation: 0,
    peerAddress: '',
  }));
  for (let index = 0; ; index++) {
    const key = `${prefix}-${index}`;
    if (chooseHome(homes, SERVICE, key)?.nodeId === hostId) return key;
  }
}

/** Sends a booking through a host. */
export async function sendBooking(
  fixture: Fixture,
  hostId: string,
  key: string,
  options: BookingOptions = {},
): Promise<BookingOutcome> {
  const {callerAddress} = fixture.deployment.findHost(hostId);
  const response = await fetch(`http://${callerAddress}/${SERVICE}/bookings`, {
    method: 'POST',
    body: options.body ?? 'rib 7',
    headers: {
      'idempotency-key': key,
      'connect-timeout-ms': String(options.timeLimitMs ?? 20_000),
    },
    signal: options.signal ?? null,
  });
  const {headers, status} = response;
  return {
    status,
    verdict: headers.get('sequoiaspool-verdict'),
    reason: headers.get('sequoiaspool-reason'),
    isReplayed: headers.get('idempotency-replayed') === '1',
    text: await response.text(),
  };
}

/** Returns how often a key ran at all workers together. */
export function countRuns(fixture: Fixture, key: string): number {
  let runs = 0;
  for (const {stats} of fixture.upstreams.values()) {
    runs += stats.runs[key] ?? 0;
  }
  return runs;
}

/** Number of bookings by outcome. */
export interface BookingTally {
  ran: number;
  mayHaveRun: number;
  notRun: number;
  /** Keys that ran twice, or ran although a refusal said `not-run`. */
  wrong: number;
}

/** Sends bookings with new keys, distributed over the given hosts. */
export async function sendBookings(
  fixture: Fixture,
  hostIds: readonly string[],
  prefix: string,
  count: number,
  timeLimitMs = 20_000,
): Promise<BookingTally> {
  const tally = {ran: 0, mayHaveRun: 0, notRun: 0, wrong: 0};
  const sendOne = async (index: number): Promise<void> => {
    const key = `${prefix}-${index}`;
    const hostId = hostIds[index % hostIds.length]!;
    const outcome = await sendBooking(fixture, hostId, key, {timeLimitMs});
    const runs = countRuns(fixture, key);
    if (outcome.verdict === 'ran') tally.ran += 1;
    else if (outcome.verdict === 'not-run') tally.notRun += 1;
    else tally.mayHaveRun += 1;
    const isFalseNotRun = outcome.verdict === 'not-run' && runs > 0;
    if (runs > 1 || isFalseNotRun) tally.wrong += 1;
  };
  const CONCURRENCY = 10;
  for (let start = 0; start < count; start += CONCURRENCY) {
    const indexes = Array.from(
      {length: CONCURRENCY},
      (item, index) => start + index,
    );
    await Promise.all(indexes.map(sendOne));
  }
  return tally;
}
