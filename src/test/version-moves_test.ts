/**
 * Moves of a service to a new version, with real node processes. A move to a
 * good version must be done by its deadline. A bad version must keep its small
 * share at first and then get no traffic.
 */
import {randomUUID} from 'node:crypto';
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {ConfigurationInput} from '../protocol/configuration.js';
import type {LogRecord} from '../protocol/records.js';
import type {Move} from '../state/replicated-state.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';
import {runLoad} from './load-loops.js';
import type {UpstreamControl} from './stand-ins/upstream.js';

const VERSIONS = ['v1', 'v1', 'v1', 'v2'];
const NEW_HOST = 'desk-3';
const SERVICE_TIME_MS = 15;
/** Number of requests on each route between two checks of the move. */
const BATCH_REQUESTS = 60;
const CONCURRENCY = 6;
/** Long enough for all steps of a move on a busy machine. */
const MOVE_MS = 12_000;
/** Far longer than it takes to find the new version bad. */
const LONG_MOVE_MS = 300_000;
const LATE_SHARE_PERCENT = 10;

const CONFIGURATION: ConfigurationInput = {
  profiles: {
    desk: {
      routes: [
        {name: 'tickets', pathPrefix: '/tickets'},
        {name: 'stock', pathPrefix: '/stock'},
      ],
      // Timings on a shared machine are noisy; slow versions here are ten times
      // slower, so this factor suffices.
      moves: {evidenceAnswers: 10, slowdownFactor: 4},
    },
  },
  services: {'kona-desk': {profile: 'desk', version: 'v1'}},
};

let fixture: Fixture;

afterEach(async () => {
  await fixture?.stop();
});

async function startMove(durationMs: number): Promise<void> {
  fixture = await startFixture({
    workers: VERSIONS.length,
    versions: VERSIONS,
    control: {serviceTimeMs: SERVICE_TIME_MS},
    configuration: CONFIGURATION,
  });
  await sendBatch();
  expect(fixture.upstreams.get(NEW_HOST)!.stats.requests).toBe(0);
  const record: LogRecord = {
    id: randomUUID(),
    author: 'operator',
    writtenAtMs: Date.now(),
    buildsOn: 0,
    kind: 'move-start',
    service: 'kona-desk',
    moveId: randomUUID(),
    fromVersion: 'v1',
    toVersion: 'v2',
    doneByMs: Date.now() + durationMs,
  };
  fixture.log.append('kona', [JSON.stringify(record)]);
}

async function sendBatch(): Promise<void> {
  const shared = {fixture, caller: 'mender', concurrency: CONCURRENCY};
  await Promise.all([
    runLoad({...shared, requests: BATCH_REQUESTS, path: '/tickets'}),
    runLoad({...shared, requests: BATCH_REQUESTS, path: '/stock'}),
  ]);
}

/** Reads the move as one node knows it. */
async function readMove(hostId = 'desk-0'): Promise<Move | undefined> {
  const status = await fixture.deployment.findHost(hostId).readStatus();
  const {moves} = status as unknown as {moves: Record<string, Move>};
  return moves['kona-desk'];
}

/** Waits until every node has seen the end of the move. */
async function waitForEndEverywhere(): Promise<void> {
  await waitFor('all nodes to know the end', async () => {
    for (const {spec} of fixture.deployment.hosts) {
      if ((await readMove(spec.id))?.stage === 'running') return false;
    }
    return true;
  });
}

/** Sends load until the move meets a condition. */
async function sendUntil(
  name: string,
  check: (move: Move) => boolean,
): Promise<Move> {
  let found: Move | undefined;
  await waitFor(
    name,
    async () => {
      await sendBatch();
      const move = await readMove();
      if (move && check(move)) found = move;
      return found !== undefined;
    },
    90_000,
  );
  return found!;
}

function countNewRequests(): number {
  return fixture.upstreams.get(NEW_HOST)!.stats.requests;
}

describe('a move to a good version', () => {
  it('is done by its deadline, and the old version gets no more requests', async () => {
    await startMove(MOVE_MS);
    const move = await sendUntil('the end', ({stage}) => stage !== 'running');
    expect(move).toMatchObject({stage: 'done', sharePercent: 100});
    await waitForEndEverywhere();
    const before = countNewRequests();
    const oldBefore = fixture.upstreams.get('desk-0')!.stats.requests;
    await sendBatch();
    expect(countNewRequests()).toBe(before + 2 * BATCH_REQUESTS);
    const oldAfter = fixture.upstreams.get('desk-0')!.stats.requests;
    expect(oldAfter).toBe(oldBefore);
  });
});

interface BadCase {
  readonly name: string;
  readonly control: Partial<UpstreamControl>;
  /** Share of the new version from which on it is bad. */
  readonly fromSharePercent: number;
  readonly isLogDown?: boolean;
}

const BAD_CASES: readonly BadCase[] = [
  {name: 'fails at once', control: {isFailingFast: true}, fromSharePercent: 0},
  {name: 'is slow at once', control: {slowFactor: 10}, fromSharePercent: 0},
  {
    name: 'fails on one route only',
    control: {failingPathPrefix: '/stock'},
    fromSharePercent: 0,
  },
  {
    name: 'is slow on one route only',
    control: {slowPathPrefix: '/stock'},
    fromSharePercent: 0,
  },
  {
    name: 'fails later',
    control: {isFailingFast: true},
    fromSharePercent: LATE_SHARE_PERCENT,
  },
  {
    name: 'fails with the log down',
    control: {isFailingFast: true},
    fromSharePercent: 0,
    isLogDown: true,
  },
];

describe('a move to a bad version is taken back', () => {
  it.each(BAD_CASES)('$name', async badCase => {
    const isLate = badCase.fromSharePercent > 0;
    await startMove(isLate ? MOVE_MS * 2 : LONG_MOVE_MS);
    const upstream = fixture.upstreams.get(NEW_HOST)!;
    if (isLate) {
      await sendUntil(
        'a step',
        move => move.sharePercent >= badCase.fromSharePercent,
      );
    }
    Object.assign(upstream.control, badCase.control);
    if (badCase.isLogDown) {
      await sendUntil('the move to be known', () => true);
      fixture.log.control.isDown = true;
    }
    await waitFor('the new version to get nothing', async () => {
      const before = countNewRequests();
      await sendBatch();
      await sendBatch();
      return before > 0 && countNewRequests() === before;
    });
    fixture.log.control.isDown = false;
    const move = await sendUntil('the end', ({stage}) => stage !== 'running');
    expect(move.stage).toBe('taken-back');
    expect(move.evidence).toContain('route');
    const before = countNewRequests();
    await sendBatch();
    expect(countNewRequests()).toBe(before);
  });
});
