/** Choices of entries that see the same load figures at the same time. */
import seedrandom from 'seedrandom';
import {describe, expect, it} from 'vitest';
import {chooseWorker} from '../coordination/routing/worker-choice.js';
import type {WorkerLoad} from '../protocol/worker-load.js';
import type {WorkerRow} from '../state/worker-table.js';

const DATA_CENTRE = 'one';
const CHOICES = 1000;
const LOAD: WorkerLoad = {
  state: 'ready',
  inFlight: 1,
  queued: 0,
  limit: 3,
  serviceTimeUs: 100_000,
  failureShare: 0,
  pace: 1,
};

function createRow(
  nodeId: string,
  figures: Partial<WorkerLoad>,
  isSuspect = false,
): WorkerRow {
  return {
    target: {nodeId, incarnation: 1, peerAddress: nodeId},
    dataCentre: DATA_CENTRE,
    service: 'service',
    version: 'v1',
    slots: 4,
    state: 'ready',
    isSuspect,
    inFlightHere: 0,
    observed: {figures: {...LOAD, ...figures}, at: 0, inFlightHere: 0},
  };
}

function createRows(count: number, figures: Partial<WorkerLoad>): WorkerRow[] {
  return Array.from({length: count}, (unused, index) =>
    createRow(`other-${index}`, figures),
  );
}

const CASES = [
  {
    name: 'one has more free capacity',
    rows: [createRow('one', {inFlight: 0}), ...createRows(9, {})],
    // With a share of 1, all entries would send their next request to it.
    mostShare: 0.5,
    leastShare: 0.1,
  },
  {
    name: 'one is not on a slow host',
    rows: [createRow('one', {}), ...createRows(9, {pace: 4})],
    mostShare: 0.5,
    leastShare: 0.1,
  },
  {
    name: 'all others fail',
    rows: [createRow('one', {}), ...createRows(9, {state: 'failing'})],
    mostShare: 1,
    leastShare: 1,
  },
  {
    name: 'it is suspected',
    rows: [createRow('one', {inFlight: 0}, true), ...createRows(9, {})],
    mostShare: 0,
    leastShare: 0,
  },
  {
    name: 'all are suspected',
    rows: [createRow('one', {}, true), createRow('two', {}, true)],
    mostShare: 0.6,
    leastShare: 0.4,
  },
];

describe('a choice by pace', () => {
  // Guards against entries that all send their next request to one gate.
  it.each(CASES)(
    'when $name, its share is $leastShare to $mostShare',
    ({rows, mostShare, leastShare}) => {
      const random = seedrandom('1');
      let count = 0;
      for (let index = 0; index < CHOICES; index++) {
        const chosen = chooseWorker('paced', rows, {
          dataCentre: DATA_CENTRE,
          farCostMs: 0,
          random,
          choiceCount: index,
          now: 0,
        });
        if (chosen?.target.nodeId === 'one') count += 1;
      }
      expect(count / CHOICES).toBeLessThanOrEqual(mostShare);
      expect(count / CHOICES).toBeGreaterThanOrEqual(leastShare);
    },
  );

  // Guards against a change of deployments that do not prefer own workers: the
  // workers and the number of random numbers are those from before that mode.
  it('without a preferred data centre is the same as ever', () => {
    const rows = Array.from({length: 8}, (unused, index): WorkerRow => {
      const figures = {...LOAD, inFlight: index, pace: 1 + index / 10};
      const observed = {figures, at: index * 100, inFlightHere: 0};
      return {
        ...createRow(`${index}`, {}, index === 7),
        dataCentre: index < 4 ? DATA_CENTRE : 'two',
        inFlightHere: index % 2,
        observed: index === 3 ? undefined : observed,
      };
    });
    const random = seedrandom('any');
    let draws = 0;
    const chosen = Array.from({length: 40}, (unused, index) =>
      chooseWorker('paced', rows, {
        dataCentre: DATA_CENTRE,
        farCostMs: 3,
        random: () => {
          draws += 1;
          return random();
        },
        choiceCount: index,
        now: 1000 + index * 20,
      }),
    );
    expect(chosen.map(row => row?.target.nodeId).join('')).toBe(
      '0142004004000002020420246264402621246420',
    );
    expect(draws).toBe(472);
  });
});
