/**
 * Late or duplicated reports, and those of earlier processes, never make a
 * leaving worker ready again.
 */
import {describe, expect, it} from 'vitest';
import type {
  LeaveNotice,
  WorkerReport,
} from '../coordination/worker-reports.js';
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

/** Time of day at which notices come, after all processes of the cases began. */
const NOW_MS = 100;

function createReports(
  announce: (announcement: Announcement) => void,
  isConfigured: (service: string) => boolean = () => true,
): WorkerReports {
  return new WorkerReports({
    gate: {announce},
    isConfigured,
    handleLeaving: () => {},
    readClock: () => NOW_MS,
  });
}

interface ReportCase {
  readonly name: string;
  readonly messages: ReadonlyArray<WorkerReport | LeaveNotice | string>;
  /** Instance and state of the last announcement to the gate. */
  readonly last: string;
}

const CASES: readonly ReportCase[] = [
  {
    name: 'a report is announced',
    messages: [buildReport('a', 1, 1)],
    last: 'a ready',
  },
  {
    name: 'an earlier report of the same process arrives late',
    messages: [buildReport('a', 1, 5, 'draining'), buildReport('a', 1, 4)],
    last: 'a draining',
  },
  {
    name: 'a later report does not revoke draining',
    messages: [buildReport('a', 1, 5, 'draining'), buildReport('a', 1, 6)],
    last: 'a draining',
  },
  {
    name: 'a process leaves without draining first',
    messages: [buildReport('a', 1, 5), 'a', buildReport('a', 1, 6)],
    last: 'a draining',
  },
  {
    name: 'a report of an ended process arrives after its successor started',
    messages: [buildReport('b', 9, 1), buildReport('a', 1, 7)],
    last: 'b ready',
  },
  {
    name: 'an ended process leaves after its successor started',
    messages: [buildReport('a', 1, 1), buildReport('b', 9, 1), 'a'],
    last: 'b ready',
  },
  {
    name: 'a process restarts with the same id after leaving',
    messages: [buildReport('a', 1, 5), 'a', buildReport('a', 9, 1)],
    last: 'a ready',
  },
  {
    name: 'sequence numbers restart with a new process',
    messages: [buildReport('a', 1, 50), buildReport('a', 9, 1, 'draining')],
    last: 'a draining',
  },
  // Such reports put a worker into use whose leaving had been confirmed.
  {
    name: 'a process leaves before its late first report',
    messages: [buildReport('a', 1, 5), 'b', buildReport('b', 9, 1)],
    last: 'b draining',
  },
  {
    name: 'a process tells its start and leaves before its first report',
    messages: [
      buildReport('a', 1, 5),
      {instanceId: 'b', bornAtMs: 9},
      buildReport('b', 9, 1),
    ],
    last: 'b draining',
  },
  {
    name: 'a process that starts after such a notice takes over the id',
    messages: [buildReport('a', 1, 5), 'b', buildReport('b', NOW_MS + 1, 1)],
    last: 'b ready',
  },
  {
    name: 'a late notice of an ended process that had the same id',
    messages: [buildReport('a', 9, 1), {instanceId: 'a', bornAtMs: 1}],
    last: 'a ready',
  },
];

describe('reports of workers', () => {
  it.each(CASES)('$name', ({messages, last}) => {
    let announced = '';
    const reports = createReports(({instanceId, state}) => {
      announced = `${instanceId} ${state}`;
    });
    for (const word of messages) {
      if (typeof word === 'string') reports.handleLeave({instanceId: word});
      else if (!('announcement' in word)) reports.handleLeave(word);
      else reports.handleReport(word);
    }
    expect(announced).toBe(last);
  });

  // Such a report made those of the known worker look stale.
  it('a report of an unknown service does not replace a known worker', () => {
    const announced: string[] = [];
    const reports = createReports(
      ({instanceId}) => void announced.push(instanceId ?? ''),
      service => service === 'desk',
    );
    const foreign = buildReport('b', 9, 1);
    reports.handleReport(buildReport('a', 1, 1));
    const outcome = reports.handleReport({
      ...foreign,
      announcement: {...foreign.announcement, service: 'other'},
    });
    expect(outcome).toBe('held');
    expect(reports.handleReport(buildReport('a', 1, 2))).toBe('taken');
    expect(announced).toEqual(['a', 'a']);
  });

  it('holds a report until its service is configured', () => {
    let isConfigured = false;
    const announced: string[] = [];
    const reports = createReports(
      ({service}) => void announced.push(service),
      () => isConfigured,
    );
    expect(reports.handleReport(buildReport('a', 1, 1))).toBe('held');
    isConfigured = true;
    reports.refresh();
    expect(announced).toEqual(['desk']);
  });
});
