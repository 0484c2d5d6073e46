/** A probe that began before a connection loss does not explain the loss. */
import {expect, it} from 'vitest';
import type {WorkerAdmission} from '../coordination/admission/worker-admission.js';
import {Prober} from '../coordination/prober.js';
import {profileSchema} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import {Verdict} from '../protocol/verdict.js';
import {WorkerState} from '../protocol/worker-load.js';

const LONG_AGO_MS = 60_000;

const LOST = new RefusalError(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN);
const REFUSED = new RefusalError(Reason.UNREACHABLE);

interface ProbeCase {
  readonly name: string;
  /** Error of the probe in progress at the loss; undefined if answered. */
  readonly first: RefusalError | undefined;
  readonly hasUnexplainedLoss: boolean;
  readonly expectedRefusals: number;
  readonly expectedProbes: number;
}

const CASES: readonly ProbeCase[] = [
  {
    name: 'failed in the same crash is repeated',
    first: LOST,
    hasUnexplainedLoss: true,
    expectedRefusals: 1,
    expectedProbes: 2,
  },
  {
    name: 'was answered before the crash is repeated',
    first: undefined,
    hasUnexplainedLoss: true,
    expectedRefusals: 1,
    expectedProbes: 2,
  },
  {
    name: 'explained the loss is not repeated',
    first: REFUSED,
    hasUnexplainedLoss: false,
    expectedRefusals: 1,
    expectedProbes: 1,
  },
];

function createAdmission(): WorkerAdmission {
  return {
    load: {
      state: WorkerState.READY,
      inFlight: 0,
      queued: 0,
      limit: 4,
      serviceTimeUs: 0,
      failureShare: 0,
      pace: 1,
    },
    lastOutcomeAt: -Infinity,
    update: () => {},
    resetToCold: () => {},
    recordProbeAnswer: () => {},
    recordUnreachable: () => {},
    admit: () => Promise.reject(REFUSED),
  };
}

it.each(CASES)('a probe that $name', async testCase => {
  let now = 0;
  let refusals = 0;
  const probes: Array<(error: RefusalError | undefined) => void> = [];
  const profile = profileSchema.parse({
    probes: {ratePerSecond: 10, burst: 4},
  });
  const prober = new Prober({
    sendProbe: () =>
      new Promise((resolve, reject) => {
        probes.push(error => {
          if (error) reject(error);
          else resolve({status: 200});
        });
      }),
    admission: createAdmission(),
    hasUnexplainedLoss: () => testCase.hasUnexplainedLoss,
    handleUnreachable: async () => void (refusals += 1),
    findBudget: () => profile.probes,
    now: () => now,
  });
  now += LONG_AGO_MS;
  const regular = prober.run();
  const settling = prober.probeNow();
  probes[0]!(testCase.first);
  await regular;
  await new Promise(resolve => setImmediate(resolve));
  probes[1]?.(REFUSED);
  await settling;
  expect({refusals, probes: probes.length}).toEqual({
    refusals: testCase.expectedRefusals,
    probes: testCase.expectedProbes,
  });
});
