/**
 * An entry on a heavy day: a gate refuses for lack of room and asking another
 * costs no budget. It answers the pattern of all gates being full: questions
 * that will be refused delay the refusal and cost hosts time, so the entry
 * stops when the best gate left was lately told to be full.
 */
import {expect, it} from 'vitest';
import {Entry} from '../coordination/entry.js';
import {AttemptError} from '../protocol/attempt.js';
import {configurationSchema} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import {Verdict} from '../protocol/verdict.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import {Explanations} from '../state/explanations.js';
import {StateStore} from '../state/state-store.js';
import {WorkerTable} from '../state/worker-table.js';
import {createLookup} from './stand-ins/lookup.js';

const SLOTS = 3;
const DEADLINE_MS = 10_000;
/** Older than any news that a choice still believes in. */
const OLD_MS = 5000;

const CASES = [
  {left: 'full', ageMs: 0, running: 3, isFree: true, asks: 1},
  {left: 'with room', ageMs: 0, running: 2, isFree: true, asks: 2},
  {left: 'full long ago', ageMs: OLD_MS, running: 3, isFree: true, asks: 2},
  {left: 'never heard of', running: 3, isFree: true, asks: 2},
  {left: 'full, at a price', ageMs: 0, running: 3, isFree: false, asks: 2},
];

it.each(CASES)(
  'asks $asks of two gates when the other is $left',
  async ({ageMs, running, isFree, asks}) => {
    const workers = new WorkerTable();
    for (const nodeId of ['first', 'second']) {
      workers.update({
        nodeId,
        incarnation: 1,
        peerAddress: nodeId,
        dataCentre: 'dsm',
        workers: [
          {service: 'kona-desk', version: 'v1', slots: SLOTS, state: 'ready'},
        ],
        isSuspect: false,
      });
    }
    // The one that is asked first seems idle; the other is as in the case.
    const [first, second] = workers.listWorkers('kona-desk');
    const now = performance.now();
    first!.observed = {figures: buildLoad(0), at: now, inFlightHere: 0};
    if (ageMs !== undefined) {
      const at = now - ageMs;
      second!.observed = {figures: buildLoad(running), at, inFlightHere: 0};
    }
    let asked = 0;
    const entry = new Entry({
      dataCentre: 'dsm',
      state: createState(isFree),
      workers,
      explanations: new Explanations(),
      sendAttempt: async () => {
        asked += 1;
        throw new AttemptError(
          Reason.QUEUE_TIMEOUT,
          Verdict.NOT_RUN,
          '',
          buildLoad(SLOTS),
        );
      },
      random: () => 0,
      createAttemptId: () => 'attempt',
      count: () => {},
      isQuarantined: () => false,
      selectWorkers: (service, rows) => [...rows],
    });
    const request = createLookup(now + DEADLINE_MS);
    const {signal} = new AbortController();
    await expect(entry.handleRequest(request, signal)).rejects.toBeInstanceOf(
      RefusalError,
    );
    expect(asked).toBe(asks);
  },
);

function createState(isFree: boolean): StateStore {
  const retries = {paysForRefusals: !isFree, budgetPercent: 100};
  return new StateStore(
    configurationSchema.parse({
      profiles: {desk: {balancing: 'paced', retries}},
      services: {'kona-desk': {profile: 'desk'}},
    }),
  );
}

function buildLoad(inFlight: number): WorkerLoad {
  return {
    state: 'ready',
    inFlight,
    queued: 0,
    limit: SLOTS,
    serviceTimeUs: 0,
    failureShare: 0,
    pace: 1,
  };
}
