/**
 * The client of the platform's log during outages, lost answers and slow
 * answers: a record is appended once, or the append fails with an error.
 */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createRecordPublisher} from '../coordination/record-publisher.js';
import {waitFor} from '../measure/wait-for.js';
import {LogUnavailableError} from '../protocol/platform-log.js';
import type {LogRecord} from '../protocol/records.js';
import {RecordOutcome} from '../state/replicated-state.js';
import {StateStore} from '../state/state-store.js';
import {PlatformLogClient} from '../transport/platform-log-client.js';
import type {LogControl} from './stand-ins/platform-log.js';
import {PlatformLogStandIn} from './stand-ins/platform-log.js';

const LOG = 'kona';
const TIME_LIMIT_MS = 300;
const APPEND_TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 500;
const CALLS_BEFORE_REPAIR = 3;

let log: PlatformLogStandIn;
let client: PlatformLogClient;

function buildRecord(id: string, buildsOn = 0): LogRecord {
  return {
    kind: 'data-centre',
    id,
    author: 'test',
    writtenAtMs: 1,
    buildsOn,
    dataCentre: 'arusha',
    out: true,
  };
}

function countRecords(id: string): number {
  const records = log.listRecords(LOG).map(text => JSON.parse(text) as unknown);
  return records.filter(record => (record as LogRecord).id === id).length;
}

beforeEach(async () => {
  log = new PlatformLogStandIn();
  await log.start();
  client = new PlatformLogClient({
    address: log.address,
    name: LOG,
    timeLimit: TIME_LIMIT_MS,
  });
});

afterEach(async () => {
  await client.close();
  await log.stop();
});

interface FaultCase {
  readonly name: string;
  readonly fault: Partial<LogControl>;
  /** Control values that end the fault after CALLS_BEFORE_REPAIR calls. */
  readonly repair?: Partial<LogControl>;
  /**
   * Whether the record may be appended twice: a call that takes effect after
   * the client's timeout may follow a retry.
   */
  readonly mayDouble?: boolean;
}

describe('a record gets in exactly once', () => {
  const cases: FaultCase[] = [
    {name: 'without faults', fault: {}},
    {name: 'one answer lost', fault: {lostAnswers: 1}},
    {name: 'three answers lost', fault: {lostAnswers: 3}},
    {name: 'down at first', fault: {isDown: true}, repair: {isDown: false}},
    {
      name: 'silent at first',
      fault: {isSilent: true},
      repair: {isSilent: false},
    },
    {name: 'slow', fault: {delayMs: TIME_LIMIT_MS / 2}},
    {
      name: 'slower than the time limit at first',
      fault: {delayMs: TIME_LIMIT_MS * 2},
      repair: {delayMs: 0},
      mayDouble: true,
    },
    {
      name: 'too many appends at first',
      fault: {appendsPerSecond: 0},
      repair: {appendsPerSecond: 500},
    },
  ];
  it.each(cases)('$name', async ({fault, repair, mayDouble}) => {
    log.append(LOG, [JSON.stringify(buildRecord('before'))]);
    Object.assign(log.control, fault);
    const appended = client.append(buildRecord('r1', 1), 0, APPEND_TIMEOUT_MS);
    if (repair) {
      await waitFor(
        'calls to the log',
        () => log.callCount >= CALLS_BEFORE_REPAIR,
      );
      Object.assign(log.control, repair);
    }
    const logged = await appended;
    expect(log.listRecords(LOG)[logged.offset]).toBe(logged.data);
    if (!mayDouble) expect(countRecords('r1')).toBe(1);
    const state = new StateStore(undefined);
    state.applyRecords((await client.read(0, 0)).records);
    expect(state.findOutcome('r1')).toBe(RecordOutcome.ACCEPTED);
    expect(state.current.version).toBe(2);
  });

  it('an answer lost, and the log down after it', async () => {
    Object.assign(log.control, {lostAnswers: 1, downAfterRecord: '"r1"'});
    const appended = client.append(buildRecord('r1'), 0, APPEND_TIMEOUT_MS);
    await waitFor(
      'calls to the log',
      () => log.callCount >= CALLS_BEFORE_REPAIR,
    );
    log.control.isDown = false;
    expect((await appended).offset).toBe(0);
    expect(countRecords('r1')).toBe(1);
  });
});

describe('an append fails when the log does not accept the record', () => {
  const cases: Array<FaultCase & {mayHaveTakenEffect: boolean}> = [
    {name: 'down', fault: {isDown: true}, mayHaveTakenEffect: true},
    {name: 'silent', fault: {isSilent: true}, mayHaveTakenEffect: true},
    {
      name: 'overloaded',
      fault: {appendsPerSecond: 0},
      mayHaveTakenEffect: false,
    },
  ];
  it.each(cases)('$name', async ({fault, mayHaveTakenEffect}) => {
    Object.assign(log.control, fault);
    const error = await client
      .append(buildRecord('r1'), 0, SHORT_TIMEOUT_MS)
      .catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(LogUnavailableError);
    expect(error).toMatchObject({mayHaveTakenEffect});
    expect(countRecords('r1')).toBe(0);
  });

  it('connection refused', async () => {
    await log.stop();
    const error = await client
      .append(buildRecord('r1'), 0, SHORT_TIMEOUT_MS)
      .catch((reason: unknown) => reason);
    expect(error).toMatchObject({mayHaveTakenEffect: false});
    await log.start(Number(log.address.split(':')[1]));
  });
});

describe('of concurrent writers one is accepted, the others superseded', () => {
  it('many at once, with answers lost', async () => {
    const writers = 8;
    log.control.lostAnswers = 4;
    const outcomes = await Promise.all(
      [...Array(writers).keys()].map(index => {
        const state = new StateStore(undefined);
        const append = createRecordPublisher({log: client, state});
        return append(buildRecord(`r${index}`));
      }),
    );
    const countOf = (outcome: RecordOutcome): number =>
      outcomes.filter(each => each === outcome).length;
    expect(countOf(RecordOutcome.ACCEPTED)).toBe(1);
    expect(countOf(RecordOutcome.SUPERSEDED)).toBe(writers - 1);
    expect(log.listRecords(LOG)).toHaveLength(writers);
  });
});
