/**
 * Which requests an entry refuses itself while more arrive than all workers of
 * a service can serve in time.
 */
import {setMaxListeners} from 'node:events';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SlotOutcome} from '../coordination/admission/concurrency-limit.js';
import {SlotAdmission} from '../coordination/admission/slot-admission.js';
import {EntryRefusal} from '../coordination/refusals/entry-refusal.js';
import {RouteKinds} from '../coordination/refusals/route-kinds.js';
import {profileSchema} from '../protocol/configuration.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import type {WorkerRow} from '../state/worker-table.js';
import {createLookup} from './stand-ins/lookup.js';

const NOW = 10_000;
const SERVICE_MS = 100;
const TARGET_MS = 400;
const DEADLINE_MS = 1000;
const WORKERS = 8;
const PROFILE = profileSchema.parse({limits: {queueWait: '2s'}});
const PATIENT = profileSchema.parse({
  limits: {queueWait: '2s'},
  admission: {queuesPatientWork: true},
});
/** Two queued requests are a wait of 75 ms; 54 ms are allowed. */
const FULL: WorkerLoad = {
  state: 'ready',
  inFlight: 4,
  queued: 2,
  limit: 4,
  serviceTimeUs: SERVICE_MS * 1000,
  failureShare: 0,
  pace: 1,
};

interface RowChange extends Partial<WorkerLoad> {
  readonly ageMs?: number;
  readonly isSuspect?: boolean;
  readonly sentSince?: number;
  readonly isUnknown?: boolean;
}

function createRow(change: RowChange = {}): WorkerRow {
  const {ageMs = 100, isSuspect = false, sentSince = 0, isUnknown} = change;
  const {state = 'ready'} = change;
  return {
    target: {nodeId: 'n', incarnation: 1, peerAddress: 'n'},
    dataCentre: 'one',
    service: 'service',
    version: 'v1',
    slots: 5,
    state,
    isSuspect,
    inFlightHere: sentSince,
    observed: isUnknown
      ? undefined
      : {figures: {...FULL, ...change}, at: NOW - ageMs, inFlightHere: 0},
  };
}

function createRequest(rank: number, targetMs = TARGET_MS): ServiceRequest {
  const lookup = createLookup(NOW + DEADLINE_MS);
  const route = `rank-${rank}-${targetMs}`;
  return {...lookup, route, rank, targetAt: NOW + targetMs};
}

/** Records requests of the given ranks over the time until `NOW`. */
function createRefusal(others: readonly ServiceRequest[]): EntryRefusal {
  const kinds = new RouteKinds();
  for (const request of others) {
    for (const ageMs of [6000, 0]) kinds.record(request, NOW - ageMs);
    // The targets above are relative to `NOW`.
    kinds.record(request, NOW);
    kinds.recordAnswer(request.route, SERVICE_MS, 1);
  }
  return new EntryRefusal(kinds);
}

interface DecisionCase {
  readonly name: string;
  /** Changes of one of the workers; the others are full. */
  readonly one?: RowChange;
  readonly request?: ServiceRequest;
  readonly others?: readonly ServiceRequest[];
  readonly random?: number;
  readonly profile?: typeof PROFILE;
  readonly expected?: string;
}

const REFUSE = 'refuse-at-entry';
const CASES: readonly DecisionCase[] = [
  {name: 'all workers are full, by recent figures', expected: REFUSE},
  {name: 'one has a free slot', one: {inFlight: 3, queued: 0}},
  {name: 'one has a short queue', one: {queued: 0}},
  {
    name: 'this entry has filled that queue since',
    one: {queued: 0, sentSince: 2},
    expected: REFUSE,
  },
  {
    name: 'it is too late to wait, and one has a free slot',
    one: {inFlight: 3, queued: 0},
    request: createRequest(1, 110),
  },
  {name: 'the figures of one are old', one: {ageMs: 301}},
  {name: 'one has no figures', one: {isUnknown: true}},
  {name: 'one is cold, and its rate is unknown', one: {state: 'cold'}},
  {
    name: 'one fails and the others are full',
    one: {state: 'failing', inFlight: 0, queued: 0},
    expected: REFUSE,
  },
  {
    name: 'one is suspect, and its figures are old',
    one: {isSuspect: true, ageMs: 3000},
    expected: REFUSE,
  },
  {
    name: 'the figures have to be renewed',
    random: 0.1,
    expected: 'send-anyway',
  },
  {
    name: 'a running request waits for the answer',
    request: {...createRequest(1), isNested: true},
  },
  {name: 'the queues may be of a less urgent rank', others: [createRequest(2)]},
  {
    name: 'the others are more urgent',
    others: [createRequest(0)],
    expected: REFUSE,
  },
  {
    name: 'the queues may be of a later target',
    others: [createRequest(1, 2 * TARGET_MS)],
  },
  {
    name: 'it may wait for seconds',
    request: {...createRequest(1), deadline: NOW + 2000},
    profile: PATIENT,
  },
  {
    name: 'its time limit is short, where patient work is queued',
    profile: PATIENT,
    expected: REFUSE,
  },
];

describe('a request at the entry', () => {
  // Guards against requests that travel to a gate only to be refused there, and
  // against refusals of those that a gate could serve.
  it.each(CASES)('$name', row => {
    const {request = createRequest(1), others = [], random = 0.5} = row;
    const refusal = createRefusal([request, ...others]);
    const full = Array.from({length: WORKERS - 1}, () => createRow());
    const rows = [...full, createRow(row.one)];
    const {profile = PROFILE, expected = 'send'} = row;
    expect(
      refusal.chooseDecision(rows, request, profile, NOW, () => random),
    ).toBe(expected);
  });

  // Guards against a restarted entry that takes a mixed queue for one of the
  // only rank that it has seen so far.
  it('is sent while the entry does not know what others send', () => {
    const kinds = new RouteKinds();
    const request = createRequest(1);
    kinds.record(request, NOW - 4000);
    const decision = new EntryRefusal(kinds).chooseDecision(
      [createRow()],
      request,
      PROFILE,
      NOW,
      () => 0.5,
    );
    expect(decision).toBe('send');
  });

  // Guards against rules of the gate that change while those here stay.
  it('is not refused if the gate would admit or queue it', async () => {
    const kinds = [
      createRequest(0, 150),
      createRequest(1, 300),
      createRequest(1, 600),
      createRequest(2, 400),
    ];
    let refused = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.nat(kinds.length - 1), {maxLength: 12}),
        fc.nat(kinds.length - 1),
        fc.integer({min: 20, max: 400}),
        async (queued, chosen, serviceMs) => {
          let clock = NOW - 1;
          const timers = {set: () => 0, clear: () => {}} as never;
          const gate = new SlotAdmission(
            5,
            PROFILE.limits,
            () => clock,
            timers,
          );
          gate.update(5, 'ready', PROFILE.limits);
          gate.recordProbeAnswer({status: 200});
          const {signal} = new AbortController();
          setMaxListeners(0, signal);
          const request = kinds[chosen]!;
          clock = NOW - serviceMs;
          const first = await gate.admit(request, signal);
          clock = NOW;
          first.release(SlotOutcome.SUCCESS);
          for (let running = 0; running < 4; running++)
            await gate.admit(request, signal);
          for (const index of queued)
            void gate.admit(kinds[index]!, signal).catch(() => {});
          const seen = [request, ...queued.map(index => kinds[index]!)];
          const known = new RouteKinds();
          for (const one of seen) {
            known.record(one, NOW - 6000);
            known.record(one, NOW);
          }
          known.recordAnswer(request.route, serviceMs, 1);
          const row = createRow({...gate.load});
          const decision = new EntryRefusal(known).chooseDecision(
            [row],
            request,
            PROFILE,
            NOW,
            () => 0.5,
          );
          const isRefused = await Promise.race([
            gate.admit(request, signal).then(
              () => false,
              () => true,
            ),
            new Promise(resolve => setImmediate(() => resolve(false))),
          ]);
          if (decision !== 'send') {
            refused += 1;
            expect(isRefused).toBe(true);
          }
        },
      ),
      {seed: 1, numRuns: 300},
    );
    expect(refused).toBeGreaterThan(0);
  });
});
