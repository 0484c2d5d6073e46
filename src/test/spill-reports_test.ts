/**
 * How an entry's call shows whether it left its data centre, and how often load
 * is reported to others.
 */
import {afterEach, describe, expect, it, vi} from 'vitest';
import type {EntryOptions} from '../coordination/entry.js';
import {Entry} from '../coordination/entry.js';
import {NestedCalls} from '../coordination/nested-calls.js';
import type {BeaconPeer} from '../coordination/peer-beacons.js';
import {PeerBeacons} from '../coordination/peer-beacons.js';
import {AttemptError} from '../protocol/attempt.js';
import {profileSchema} from '../protocol/configuration.js';
import {Reason} from '../protocol/reasons.js';
import {Verdict} from '../protocol/verdict.js';
import {Explanations} from '../state/explanations.js';
import type {WorkerRow} from '../state/worker-table.js';
import {createLookup} from './stand-ins/lookup.js';
import {createSpillRow, IDLE} from './stand-ins/spill-loop.js';

const FULL = {...IDLE, inFlight: 6, queued: 3};

// Guards against choices, and an explanation, that hide why a request left; and
// against a retry that meets the full data centre again.
it('a call refused at home leaves, and its explanation and counters show it', async () => {
  const counts: string[] = [];
  const explanations = new Explanations();
  const rows = [
    createSpillRow('home', 0),
    createSpillRow('home', 1),
    createSpillRow('away', 0),
  ];
  for (const [index, row] of rows.entries()) {
    const figures = index < 2 ? FULL : IDLE;
    row.observed = {figures, at: performance.now(), inFlightHere: 0};
  }
  const profile = profileSchema.parse({
    balancing: 'paced',
    hedging: {enabled: false},
    locality: {mode: 'prefer-own'},
    retries: {paysForRefusals: false},
  });
  const entry = new Entry({
    dataCentre: 'home',
    state: {findProfile: () => profile, isDataCentreOut: () => false},
    workers: {listWorkers: () => rows, listNodes: () => []},
    explanations,
    sendAttempt: async ({target}: {target: {nodeId: string}}) => {
      if (target.nodeId.startsWith('home'))
        throw new AttemptError(Reason.QUEUE_FULL, Verdict.NOT_RUN, '', FULL);
      return {status: 200, headers: {}, body: {held: Buffer.alloc(0)}};
    },
    random: () => 0.5,
    createAttemptId: () => 'a',
    count: (name: string) => counts.push(name),
    nestedCalls: new NestedCalls(),
    isQuarantined: () => false,
    selectWorkers: (service: string, selected: WorkerRow[]) => selected,
  } as unknown as EntryOptions);
  const request = createLookup(performance.now() + 1000);
  await entry.handleRequest(request, new AbortController().signal);
  const steps = explanations.formatSteps(request.id);
  expect(steps).toMatch(
    /attempt node=home.* left=0 share=0.*retry.*attempt node=away-0 .*left=1 share=0/,
  );
  expect(counts.filter(name => name.startsWith('choices'))).toEqual([
    'choices.near',
    'choices.far',
  ]);
});

describe('load datagrams while the load changes all the time', () => {
  afterEach(() => void vi.useRealTimers());

  // Guards against figures too old for a share, a flood between data centres,
  // and a change where the setting is off.
  it.each([
    {isOwnPreferred: false, subscribers: 3, near: [45, 55], far: [45, 55]},
    {isOwnPreferred: true, subscribers: 3, near: [45, 55], far: [6, 7]},
    {isOwnPreferred: true, subscribers: 20, near: [22, 25], far: [6, 7]},
    {isOwnPreferred: true, subscribers: 60, near: [6, 8], far: [3, 5]},
  ])(
    'go out $near times near and $far times far in 3 s: $isOwnPreferred, $subscribers',
    row => {
      const {isOwnPreferred, subscribers, near, far} = row;
      vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'performance']});
      const peers = ['near', 'far'].flatMap(dataCentre =>
        Array.from({length: subscribers}, () => ({
          name: {nodeId: dataCentre},
          info: {dataCentre, beaconAddress: dataCentre},
          subscribedUntil: Infinity,
        })),
      ) as unknown as BeaconPeer[];
      const sent: string[] = [];
      const beacons = new PeerBeacons({
        describe: () => ({}),
        listPeers: () => peers,
        listLoads: () => [],
        findRecordsEnd: () => ({}),
        findStoreAnswer: () => ({}),
        send: (addresses: string[]) => sent.push(...new Set(addresses)),
        dataCentre: 'near',
        isOwnPreferred: () => isOwnPreferred,
      } as unknown as ConstructorParameters<typeof PeerBeacons>[0]);
      for (let time = 0; time < 3000; time += 10) {
        beacons.schedule();
        vi.advanceTimersByTime(10);
      }
      beacons.stop();
      const counts = {near: 0, far: 0};
      for (const name of sent) counts[name as 'near' | 'far'] += 1;
      expect(counts.near).toBeGreaterThanOrEqual(near[0]!);
      expect(counts.near).toBeLessThanOrEqual(near[1]!);
      expect(counts.far).toBeGreaterThanOrEqual(far[0]!);
      expect(counts.far).toBeLessThanOrEqual(far[1]!);
    },
  );
});
