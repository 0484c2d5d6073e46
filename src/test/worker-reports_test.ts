/** Late, doubled and foreign reports never bring back a worker that left. */
import {describe, expect, it} from 'vitest';
import type {WorkerReport} from '../coordination/worker-reports.js';
import {WorkerReports} from '../coordination/worker-reports.js';
import type {Announcement} from '../protocol/announcement.js';

type State = Announcement['state'];

function buildReport(
  instanceId: string,
  bornAtMs: number,
  sequence: number,
  state: State = 'ready',
): WorkerReport {
  return {
    instanceId,
    bornAtMs,
    sequence,
    announcement: {
      service: 'desk',
      version: 'v1',
      address: '127.0.0.1:1',
      slots: 2,
      state,
      ttlMs: 1000,
      instanceId,
    },
  };
}

interface ReportCase {
  readonly name: string;
  readonly words: ReadonlyArray<WorkerReport | string>;
  /** Instance and state that the gate heard of last. */
  readonly last: string;
}

const CASES: readonly ReportCase[] = [
  {
    name: 'a report is taken',
    words: [buildReport('a', 1, 1)],
    last: 'a ready',
  },
  {
    name: 'an earlier word of the same process is late',
    words: [buildReport('a', 1, 5, 'draining'), buildReport('a', 1, 4)],
    last: 'a draining',
  },
  {
    name: 'a later word does not take the leaving back',
    words: [buildReport('a', 1, 5, 'draining'), buildReport('a', 1, 6)],
    last: 'a draining',
  },
  {
    name: 'leaving without draining first',
    words: [buildReport('a', 1, 5), 'a', buildReport('a', 1, 6)],
    last: 'a draining',
  },
  {
    name: 'a dead process is heard after its successor',
    words: [buildReport('b', 9, 1), buildReport('a', 1, 7)],
    last: 'b ready',
  },
  {
    name: 'a dead process leaves after its successor came',
    words: [buildReport('a', 1, 1), buildReport('b', 9, 1), 'a'],
    last: 'b ready',
  },
  {
    name: 'the same id is born again after it left',
    words: [buildReport('a', 1, 5), 'a', buildReport('a', 9, 1)],
    last: 'a ready',
  },
  {
    name: 'counts begin anew with a new life',
    words: [buildReport('a', 1, 50), buildReport('a', 9, 1, 'draining')],
    last: 'a draining',
  },
];

describe('reports of workers', () => {
  it.each(CASES)('$name', ({words, last}) => {
    let heard = '';
    const reports = new WorkerReports(
      {
        announce: ({instanceId, state}) => {
          heard = `${instanceId} ${state}`;
        },
      },
      () => true,
    );
    for (const word of words) {
      if (typeof word === 'string') reports.handleLeave(word);
      else reports.handleReport(word);
    }
    expect(heard).toBe(last);
  });

  it('holds a report until its service is configured', () => {
    let isConfigured = false;
    const heard: string[] = [];
    const reports = new WorkerReports(
      {announce: ({service}) => void heard.push(service)},
      () => isConfigured,
    );
    expect(reports.handleReport(buildReport('a', 1, 1))).toBe('held');
    isConfigured = true;
    reports.refresh();
    expect(heard).toEqual(['desk']);
  });
});
