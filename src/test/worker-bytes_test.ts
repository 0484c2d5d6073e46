/**
 * A worker that crashes when the requests it holds exceed its memory, on a
 * virtual clock. Load: uploads that together exceed it, beside lookups.
 */
import {Readable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {SlotOutcome} from '../coordination/admission/concurrency-limit.js';
import {SlotAdmission} from '../coordination/admission/slot-admission.js';
import type {Slot} from '../coordination/admission/worker-admission.js';
import {ByteBounds} from '../coordination/admission/worker-bytes.js';
import {CrashQuarantine} from '../coordination/crash-quarantine.js';
import {Gate} from '../coordination/gate.js';
import {VirtualClock} from '../measure/emulator/virtual-clock.js';
import {waitFor} from '../measure/wait-for.js';
import {configurationSchema, profileSchema} from '../protocol/configuration.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import {EMPTY_BODY} from '../protocol/service-request.js';
import {CrashTable} from '../state/crash-table.js';
import {StateStore} from '../state/state-store.js';
import {createLookup} from './stand-ins/lookup.js';

const MIB = 1024 * 1024;
const SLOTS = 6;
const LOOKUP_BYTES = 300;
const DEADLINE_MS = 2000;
const SERVICE_MS = 200;
const RESTART_MS = 500;

/** A worker with bounded memory behind its admission. */
class Bench {
  readonly clock = new VirtualClock();
  readonly bounds = new ByteBounds();
  readonly counts = new Map<string, number>();
  readonly lines: string[] = [];
  readonly served = new Map<string, number>();
  crashes = 0;
  admission: SlotAdmission;
  private readonly running = new Map<Slot, number>();
  private downUntil = -Infinity;

  constructor(
    private readonly isOn: boolean,
    private readonly memoryBytes = Infinity,
  ) {
    this.admission = this.createAdmission('v1');
  }

  /** Creates the admission to a new process of the worker. */
  createAdmission(version: string): SlotAdmission {
    const profile = profileSchema.parse({
      limits: {queueWait: '2s'},
      admission: {boundsWorkerBytes: this.isOn},
    });
    const {clock, counts} = this;
    this.admission = new SlotAdmission(
      SLOTS,
      profile.limits,
      () => clock.nowMs,
      clock.timers,
      {
        findRules: () => profile.admission,
        count: name => counts.set(name, (counts.get(name) ?? 0) + 1),
        report: (text, context) =>
          this.lines.push(`${text} ${JSON.stringify(context)}`),
        byteBound: this.bounds.find('depot', version),
      },
    );
    this.admission.update(SLOTS, 'ready', profile.limits);
    return this.admission;
  }

  admit(bytes: number, route = 'upload'): Promise<Slot> {
    const deadline = this.clock.nowMs + DEADLINE_MS;
    const request = {caller: 'c', route, rank: 1, deadline, bytes};
    return this.admission.admit(request, new AbortController().signal);
  }

  /** Runs a request; the worker crashes if its memory is exceeded. */
  async send(bytes: number, route = 'upload'): Promise<void> {
    const slot = await this.admit(bytes, route).catch(() => undefined);
    if (!slot) return;
    if (this.clock.nowMs < this.downUntil) {
      slot.release(SlotOutcome.UNREACHABLE);
      return;
    }
    this.running.set(slot, bytes);
    const held = [...this.running.values()].reduce((sum, n) => sum + n, 0);
    if (held > this.memoryBytes) {
      this.endProcess();
      return;
    }
    this.clock.schedule(() => {
      if (!this.running.delete(slot)) return;
      this.served.set(route, (this.served.get(route) ?? 0) + 1);
      slot.release(SlotOutcome.SUCCESS);
    }, SERVICE_MS);
  }

  /** Ends the process with all requests that it holds. */
  endProcess(slots: Iterable<Slot> = [...this.running.keys()]): void {
    this.crashes += 1;
    this.running.clear();
    this.downUntil = this.clock.nowMs + RESTART_MS;
    for (const slot of slots) slot.release(SlotOutcome.CONNECTION_LOST);
    this.admission.recordCrash();
  }

  /** Sends a request of each kind at regular intervals. */
  async runStreams(
    streams: ReadonlyArray<{bytes: number; everyMs: number; route: string}>,
    seconds: number,
  ): Promise<void> {
    for (const {bytes, everyMs, route} of streams) {
      for (let at = 0; at < seconds * 1000; at += everyMs) {
        this.clock.schedule(() => void this.send(bytes, route), at);
      }
    }
    await this.clock.run((seconds + 5) * 1000);
  }
}

/** Returns whether a request gets a slot without waiting. */
async function isAdmitted(bench: Bench, bytes: number): Promise<boolean> {
  let isStarted = false;
  void bench.admit(bytes).then(
    () => (isStarted = true),
    () => {},
  );
  await new Promise(resolve => setImmediate(resolve));
  return isStarted;
}

/** Runs usual requests, then crashes the worker while it holds the given requests. */
async function recordCrash(
  bench: Bench,
  held: readonly number[],
  usualBytes = LOOKUP_BYTES,
): Promise<void> {
  for (let count = 0; count < 50; count++) {
    (await bench.admit(usualBytes)).release(SlotOutcome.SUCCESS);
  }
  const slots = await Promise.all(held.map(bytes => bench.admit(bytes)));
  bench.endProcess(slots);
  bench.clock.nowMs += RESTART_MS;
}

describe('uploads that exceed the memory of a worker', () => {
  // Guards against a worker that crashes again and again, and against uploads
  // that are starved by lookups or the other way round once a bound is known.
  it.each([
    {name: 'crash it again and again without the key', isOn: false},
    {name: 'crash it a few times with the key', isOn: true},
  ])('$name', async ({isOn}) => {
    const bench = new Bench(isOn, 10 * MIB);
    const streams = [
      {bytes: 4 * MIB, everyMs: 70, route: 'upload'},
      {bytes: LOOKUP_BYTES, everyMs: 130, route: 'lookup'},
    ];
    await bench.runStreams(streams, 60);
    const served = (route: string): number => bench.served.get(route) ?? 0;
    if (!isOn) {
      expect(bench.crashes).toBeGreaterThan(20);
      return;
    }
    expect(bench.crashes).toBeLessThanOrEqual(4);
    expect(served('upload')).toBeGreaterThan(200);
    expect(served('lookup')).toBeGreaterThan(300);
    expect(bench.counts.get('admission.held-for-bytes')).toBeGreaterThan(0);
    expect(bench.lines[0]).toMatch(/held.*usual.*heldAtCrash.*value/);
  });
});

describe('a crash', () => {
  // Guards against capacity lost to a crash that has nothing to do with memory,
  // and against a bound that is forgotten with the process that crashed.
  it.each([
    {name: 'with large requests bounds', held: [4, 4, 4], expected: false},
    {name: 'with lookups says nothing', held: [0, 0], expected: true},
    {
      name: 'with usual uploads says nothing',
      held: [4],
      usual: 4,
      expected: true,
    },
    {name: 'bounds the next process', held: [4, 4, 4], process: 'v1'},
    {name: 'says nothing of a new version', held: [4, 4, 4], process: 'v2'},
  ])(
    '$name',
    async ({held, usual = 0, process, expected = process === 'v2'}) => {
      const bench = new Bench(true);
      const sizes = held.map(mib => mib * MIB || LOOKUP_BYTES);
      await recordCrash(bench, sizes, usual * MIB || LOOKUP_BYTES);
      if (process) bench.createAdmission(process);
      await bench.admit(6 * MIB);
      expect(await isAdmitted(bench, 6 * MIB)).toBe(expected);
    },
  );
});

describe('at a bound of 9 MiB', () => {
  // Guards against a request that no worker ever takes, a slot that stays idle
  // beside a large request, and a large one that small ones keep out.
  it.each([
    {name: 'a request above it runs alone', held: [], bytes: 20, runs: true},
    {name: 'and beside lookups', held: [0, 0], bytes: 20, runs: true},
    {name: 'not beside an upload', held: [4], bytes: 20, runs: false},
    {name: 'a second upload fits', held: [4], bytes: 4, runs: true},
    {name: 'a third one waits', held: [4, 4], bytes: 4, runs: false},
    {name: 'a lookup passes it', held: [4, 4, 4], bytes: 0, runs: true},
    {name: 'an upload does not', held: [4, 6], bytes: 4, runs: false},
  ])('$name', async ({held, bytes, runs}) => {
    const bench = new Bench(true);
    await recordCrash(bench, [4 * MIB, 4 * MIB, 4 * MIB]);
    for (const mib of held) void bench.admit(mib * MIB || LOOKUP_BYTES);
    expect(await isAdmitted(bench, bytes * MIB || LOOKUP_BYTES)).toBe(runs);
  });

  // Guards against a bound that stays for ever after one crash.
  it('runs that end well raise it', async () => {
    const bench = new Bench(true);
    await recordCrash(bench, [4 * MIB, 4 * MIB, 4 * MIB]);
    const stream = {bytes: 4 * MIB, everyMs: 60, route: 'upload'};
    await bench.runStreams([stream], 60);
    await bench.admit(5 * MIB);
    expect(await isAdmitted(bench, 5 * MIB)).toBe(true);
  });
});

const NONE: Readonly<Record<string, string>> = {};

describe('a gate whose worker loses all runs at once', () => {
  // Guards against a crash that doesn't reach the bound, and against bodies
  // that aren't counted because they are passed on in parts.
  it.each([
    {name: 'whole bodies', isStreamed: false, headers: NONE, held: 1},
    {
      name: 'streamed bodies with a length',
      isStreamed: true,
      headers: {'content-length': String(2 * MIB)},
      held: 1,
    },
    {name: 'streamed bodies without', isStreamed: true, headers: NONE, held: 1},
    {
      name: 'no bodies',
      isStreamed: false,
      headers: NONE,
      isEmpty: true,
      held: 0,
    },
  ])('learns from $name', async ({isStreamed, headers, isEmpty, held}) => {
    const profile = {admission: {boundsWorkerBytes: true}};
    const state = new StateStore(
      configurationSchema.parse({
        profiles: {desk: profile},
        services: {'kona-desk': {profile: 'desk'}},
      }),
    );
    let countHeld = 0;
    const losses: Array<(error: Error) => void> = [];
    const gate = new Gate(
      () => ({
        sendRequest: async ({path, body}) => {
          if (path === '/lookup') {
            return {status: 200, headers: {}, body: EMPTY_BODY};
          }
          body.rest?.resume();
          return new Promise((resolve, reject) => losses.push(reject));
        },
        sendProbe: async () => ({status: 200}),
        close: async () => {},
      }),
      state,
      'kona',
      new CrashQuarantine(new CrashTable(), async () => {}),
      {
        createAdmission: ({slots}, limits) =>
          new SlotAdmission(slots, limits, undefined, undefined, {
            findRules: () => state.findProfile('kona-desk')?.admission,
            count: name => {
              if (name === 'admission.held-for-bytes') countHeld += 1;
            },
            report: () => {},
          }),
      },
    );
    gate.announce({
      service: 'kona-desk',
      version: 'v1',
      address: '127.0.0.1:1',
      slots: SLOTS,
      state: 'ready',
      ttlMs: 600_000,
    });
    const send = (path: string): Promise<unknown> => {
      const data = Buffer.alloc(isEmpty || path === '/lookup' ? 0 : 2 * MIB);
      const body =
        isStreamed && path !== '/f'
          ? {held: Buffer.alloc(0), rest: Readable.from([data])}
          : {held: data};
      const lookup = createLookup(performance.now() + 60_000);
      const request = {
        ...lookup,
        path,
        headers: {...headers},
        body,
        fingerprint: path,
      };
      const {signal} = new AbortController();
      return gate.runAttempt(request, 'v1', signal).catch(() => {});
    };
    if (!isStreamed) for (let n = 0; n < 50; n++) await send('/lookup');
    const runs = ['/a', '/b', '/c'].map(send);
    await waitFor('the runs', () => losses.length === 3);
    await new Promise(resolve => setImmediate(resolve));
    const lost = new RefusalError(Reason.CONNECTION_LOST, 'may-have-run');
    for (const lose of losses.splice(0)) lose(lost);
    await Promise.all(runs);
    const later = ['/d', '/e'].map(send);
    await waitFor('the next runs', () => losses.length === 2);
    await new Promise(resolve => setImmediate(resolve));
    later.push(send('/f'));
    await waitFor('the last one', () => losses.length + countHeld === 3);
    expect(countHeld).toBe(held);
    for (const lose of losses.splice(0)) lose(lost);
    await waitFor('the held one', () => losses.length === held);
    for (const lose of losses.splice(0)) lose(lost);
    await Promise.all(later);
    await gate.close();
  });
});
