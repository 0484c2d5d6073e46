/**
 * A data centre that is taken out must get no new work from any entry a few
 * seconds after the command, also when the log is down. Running requests must
 * complete, and the data centre must get work again when it is put back.
 */
import {afterEach, describe, expect, it} from 'vitest';
import {CrashQuarantine} from '../coordination/crash-quarantine.js';
import {Gate} from '../coordination/gate.js';
import {waitFor} from '../measure/wait-for.js';
import type {Announcement} from '../protocol/announcement.js';
import {configurationSchema} from '../protocol/configuration.js';
import type {ServiceRequest} from '../protocol/service-request.js';
import {EMPTY_BODY} from '../protocol/service-request.js';
import {CrashTable} from '../state/crash-table.js';
import {StateStore} from '../state/state-store.js';
import {runControl} from './control-command.js';
import type {Fixture} from './deployment-fixture.js';
import {DEFAULT_CONFIGURATION, startFixture} from './deployment-fixture.js';

/** Time after the command from which on no new work may arrive. */
const NEW_WORK_GRACE_MS = 3000;
const DATA_CENTRES = ['arusha', 'mwanza'];
const CALLERS_PER_ENTRY = 2;
const SERVICE_TIME_MS = 20;
/** Number of calls answered between two steps of a test. */
const CALLS_PER_STEP = 200;

let fixture: Fixture;
let callers: Callers | undefined;

/** Callers of all entries that call without pause and record the outcomes. */
class Callers {
  answered = 0;
  readonly failures: string[] = [];
  private isStopping = false;
  private readonly tasks: Promise<void>[] = [];

  constructor() {
    for (const {callerAddress} of fixture.deployment.hosts) {
      for (let index = 0; index < CALLERS_PER_ENTRY; index++) {
        this.tasks.push(this.run(callerAddress));
      }
    }
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.tasks);
  }

  async waitForCalls(count: number): Promise<void> {
    const target = this.answered + count;
    await waitFor('more calls', () => this.answered >= target);
  }

  private async run(address: string): Promise<void> {
    const url = `http://${address}/kona-desk/bookings`;
    while (!this.isStopping) {
      try {
        const response = await fetch(url, {method: 'POST', body: 'x'});
        const text = await response.text();
        if (response.status !== 200) this.failures.push(text);
      } catch (error) {
        this.failures.push(String(error));
      }
      this.answered += 1;
    }
  }
}

function countWork(dataCentre: string): number {
  return fixture.deployment.hosts
    .filter(host => host.spec.dataCentre === dataCentre)
    .map(host => fixture.upstreams.get(host.spec.id)!.stats.requests)
    .reduce((sum, requests) => sum + requests, 0);
}

/** Returns the time of the newest request to any worker of a data centre. */
function findLastWork(dataCentre: string): number {
  return Math.max(
    ...fixture.deployment.hosts
      .filter(host => host.spec.dataCentre === dataCentre)
      .map(host => fixture.upstreams.get(host.spec.id)!.stats)
      .map(figures => figures.lastRequestAtMs),
  );
}

afterEach(async () => {
  await callers?.stop();
  await fixture?.stop();
});

describe('a data centre taken out gets no new work, and comes back', () => {
  const cases = [
    {name: 'with the log up', logDownAfterAppend: false},
    {name: 'with the log down after acceptance', logDownAfterAppend: true},
  ];
  it.each(cases)('$name', async ({logDownAfterAppend}) => {
    fixture = await startFixture({
      workers: 4,
      dataCentres: DATA_CENTRES,
      control: {serviceTimeMs: SERVICE_TIME_MS},
    });
    callers = new Callers();
    await callers.waitForCalls(CALLS_PER_STEP);
    expect(countWork('arusha')).toBeGreaterThan(0);

    if (logDownAfterAppend) {
      fixture.log.control.downAfterRecord = '"kind":"data-centre"';
    }
    const commandAt = Date.now();
    const out = await runControl(fixture, ['data-centre', 'out', 'arusha']);
    expect(out.result).toMatchObject({out: true, inForce: 4, nodes: 4});
    await callers.waitForCalls(CALLS_PER_STEP);
    await waitFor(
      'the time after which no new work is allowed',
      () => Date.now() - commandAt > NEW_WORK_GRACE_MS,
    );
    const workWhenOut = countWork('arusha');
    await callers.waitForCalls(CALLS_PER_STEP);
    expect(countWork('arusha')).toBe(workWhenOut);
    expect(findLastWork('arusha') - commandAt).toBeLessThan(NEW_WORK_GRACE_MS);

    Object.assign(fixture.log.control, {isDown: false, downAfterRecord: ''});
    const back = await runControl(fixture, ['data-centre', 'in', 'arusha']);
    expect(back.result).toMatchObject({out: false, inForce: 4, nodes: 4});
    await waitFor('work in the data centre', () => {
      return countWork('arusha') > workWhenOut + CALLS_PER_STEP;
    });
    await callers.stop();
    expect(callers.failures).toEqual([]);
  });

  it('and the operator is told of a node that has not heard of it', async () => {
    fixture = await startFixture({
      workers: 2,
      dataCentres: DATA_CENTRES,
      // The other node must keep the frozen one in its list of live nodes.
      nodeSettings: {membership: {suspicionTime: '10m'}},
    });
    const frozen = fixture.deployment.findHost('desk-1');
    frozen.node?.sendSignal('SIGSTOP');
    const out = await runControl(fixture, [
      ...['--time-limit', '500ms'],
      ...['data-centre', 'out', 'arusha'],
    ]);
    expect(out.exitCode).toBe(4);
    expect(out.result['error']).toContain('desk-1 (no answer)');
  });

  it('and a mistyped name is refused', async () => {
    fixture = await startFixture({workers: 2, dataCentres: DATA_CENTRES});
    const end = await runControl(fixture, ['data-centre', 'out', 'arusa']);
    expect(end.exitCode).toBe(7);
    expect(end.result['error']).toContain('known: arusha, mwanza');
    const records = fixture.log.listRecords('kona').join('\n');
    expect(records).not.toContain('"kind":"data-centre"');
  });
});

const ANNOUNCEMENT: Announcement = {
  service: 'kona-desk',
  version: 'v1',
  address: '127.0.0.1:1',
  slots: 6,
  state: 'ready',
  ttlMs: 600_000,
};

const LOOKUP: ServiceRequest = {
  id: 'r1',
  service: 'kona-desk',
  method: 'GET',
  path: '/tickets/1',
  headers: {},
  caller: 'test',
  deadline: Infinity,
  route: 'default',
  idempotent: true,
  rank: 0,
  fingerprint: '',
  body: EMPTY_BODY,
};

function setOut(state: StateStore, dataCentre: string, out: boolean): void {
  const {nextOffset, dataCentres} = state.current;
  const record = {
    kind: 'data-centre',
    id: `record-${nextOffset}`,
    author: 'test',
    writtenAtMs: 1,
    buildsOn: dataCentres[dataCentre]?.number ?? 0,
    dataCentre,
    out,
  };
  const data = JSON.stringify(record);
  state.applyRecords([{offset: nextOffset, data}]);
}

describe('a gate refuses what an entry that has not heard sends', () => {
  const cases = [
    {name: 'its data centre is out', dataCentre: 'arusha', runs: 0},
    {name: 'another one is out', dataCentre: 'mwanza', runs: 1},
  ];
  it.each(cases)('$name', async ({dataCentre, runs}) => {
    let ran = 0;
    const state = new StateStore(
      configurationSchema.parse(DEFAULT_CONFIGURATION),
    );
    const gate = new Gate(
      () => ({
        sendRequest: async () => {
          ran += 1;
          return {status: 200, headers: {}, body: EMPTY_BODY};
        },
        sendProbe: async () => ({status: 200}),
        close: async () => {},
      }),
      state,
      'arusha',
      new CrashQuarantine(new CrashTable(), async () => {}),
    );
    gate.announce(ANNOUNCEMENT);
    setOut(state, dataCentre, true);
    const signal = new AbortController().signal;
    const outcome = await gate
      .runAttempt(LOOKUP, 'v1', signal)
      .catch((error: unknown) => error);
    expect(ran).toBe(runs);
    if (runs === 0) {
      expect(outcome).toMatchObject({
        reason: 'data-centre-out',
        verdict: 'not-run',
      });
    }
    setOut(state, dataCentre, false);
    await gate.runAttempt(LOOKUP, 'v1', signal);
    expect(ran).toBe(runs + 1);
    await gate.close();
  });
});
