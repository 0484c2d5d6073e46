/**
 * A data centre taken out gets no new work a few seconds after the command, by
 * any entry, with the log down as well; nothing is cut; it comes back.
 */
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {runControl} from './control-command.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';

const NO_NEW_WORK_MS = 3000;
const DATA_CENTRES = ['arusha', 'mwanza'];
const CALLERS_PER_ENTRY = 2;
const SERVICE_TIME_MS = 20;
/** Calls answered between two steps of a test. */
const SOME_CALLS = 200;

let fixture: Fixture;
let callers: Callers | undefined;

/** Callers of all entries that call without a pause and note the outcomes. */
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
    .map(host => fixture.upstreams.get(host.spec.id)!.figures.requests)
    .reduce((sum, requests) => sum + requests, 0);
}

/** Time of the newest request to any worker of a data centre. */
function findLastWork(dataCentre: string): number {
  return Math.max(
    ...fixture.deployment.hosts
      .filter(host => host.spec.dataCentre === dataCentre)
      .map(host => fixture.upstreams.get(host.spec.id)!.figures)
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
    await callers.waitForCalls(SOME_CALLS);
    expect(countWork('arusha')).toBeGreaterThan(0);

    if (logDownAfterAppend) fixture.log.control.appendsUntilDown = 1;
    const commandAt = Date.now();
    const out = await runControl(fixture, ['data-centre', 'out', 'arusha']);
    expect(out.result).toMatchObject({out: true, inForce: 4, nodes: 4});
    await callers.waitForCalls(SOME_CALLS);
    await waitFor(
      'the time after which no new work is allowed',
      () => Date.now() - commandAt > NO_NEW_WORK_MS,
    );
    const workWhenOut = countWork('arusha');
    await callers.waitForCalls(SOME_CALLS);
    expect(countWork('arusha')).toBe(workWhenOut);
    expect(findLastWork('arusha') - commandAt).toBeLessThan(NO_NEW_WORK_MS);

    fixture.log.control.isDown = false;
    const back = await runControl(fixture, ['data-centre', 'in', 'arusha']);
    expect(back.result).toMatchObject({out: false, inForce: 4, nodes: 4});
    await waitFor('work in the data centre', () => {
      return countWork('arusha') > workWhenOut + SOME_CALLS;
    });
    await callers.stop();
    expect(callers.failures).toEqual([]);
  });

  it('and an entry that has not heard of it is refused by the gates', async () => {
    fixture = await startFixture({workers: 2, dataCentres: DATA_CENTRES});
    const entry = fixture.deployment.findHost('desk-1');
    entry.node?.send('SIGSTOP');
    const out = await runControl(fixture, [
      ...['--time-limit', '500ms'],
      ...['data-centre', 'out', 'arusha'],
    ]);
    expect(out.exitCode).toBe(4);
    expect(out.result['error']).toContain('desk-1 (no answer)');
    const workWhenOut = countWork('arusha');
    entry.node?.send('SIGCONT');
    for (let call = 0; call < SOME_CALLS; call++) {
      const url = `http://${entry.callerAddress}/kona-desk/bookings`;
      const response = await fetch(url, {method: 'POST', body: 'x'});
      expect(response.status).toBe(200);
      await response.text();
    }
    expect(countWork('arusha')).toBe(workWhenOut);
  });

  it('and a mistyped name is refused', async () => {
    fixture = await startFixture({workers: 2, dataCentres: DATA_CENTRES});
    const end = await runControl(fixture, ['data-centre', 'out', 'arusa']);
    expect(end.exitCode).toBe(7);
    expect(end.result['error']).toContain('known: arusha, mwanza');
    expect(fixture.log.appendCount).toBe(0);
  });
});
