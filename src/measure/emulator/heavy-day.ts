/**
 * Emulates a heavy day: more requests than workers on shared hosts can serve
 * in time. The choice, the admission and the queue are the product's own; the
 * network, the workers and the callers are emulated, so that a policy shows
 * its worth in seconds and the same way each time.
 */
import seedrandom from 'seedrandom';
import {SlotOutcome} from '../../coordination/concurrency-limit.js';
import {BEACON_PAUSE_MS} from '../../coordination/peer-beacons.js';
import {SlotAdmission} from '../../coordination/slot-admission.js';
import type {Slot} from '../../coordination/worker-admission.js';
import {chooseWorker} from '../../coordination/worker-choice.js';
import {WorkerSubset} from '../../coordination/worker-subset.js';
import {profileSchema} from '../../protocol/configuration.js';
import type {Profile} from '../../protocol/configuration.js';
import {toRefusal} from '../../protocol/reasons.js';
import type {WorkerRow} from '../../state/worker-table.js';
import {recordLoad} from '../../state/worker-table.js';
import {VirtualClock} from './virtual-clock.js';

const SERVICE = 'service';
const DATA_CENTRE = 'one';
const SECOND_MS = 1000;
/** A third of the time left is what callers wait at most before a retry. */
const MOST_RETRY_WAIT_PART = 1 / 3;
/** Times from entry to gate and back. */
const HOP_MS = 8;
/** Gates that an entry asks in vain before it refuses. */
const MOST_REFUSALS = 3;
/** Pause between two looks at the hosts. */
const HOST_CHANGE_MS = 300;
/** Part of the time in which a host is slow, and how many times. */
const SLOW_SHARE = 0.25;
const SLOW_PACE = 4;
/** Part of the slots beyond which a worker slows down, and how many times. */
const KNEE_PART = 0.8;
const KNEE_FACTOR = 1.7;
/** Width of the spread of the work of one request. */
const WORK_SPREAD = 0.3;

/** One kind of request. */
export interface EmulatedKind {
  readonly name: string;
  readonly perSecond: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly rank: number;
  readonly worth: number;
}

/** A day to emulate. */
export interface HeavyDay {
  readonly seed: string;
  readonly seconds: number;
  readonly workers: number;
  /** Nodes that requests enter at; each chooses among some of the workers. */
  readonly entries: number;
  readonly slots: number;
  readonly kinds: readonly EmulatedKind[];
}

/** How the requests of one kind ended. */
export interface KindOutcome {
  all: number;
  inTime: number;
  late: number;
  refused: number;
  /** Ran, but not to an end before the deadline. */
  failed: number;
}

/** How a day went. */
export interface DayOutcome {
  readonly byKind: Readonly<Record<string, KindOutcome>>;
  /** Worth of the answers in time, as a share of all worth. */
  readonly worth: number;
  /** Gates asked, those that refused included. */
  readonly asks: number;
}

interface EmulatedWorker {
  readonly admission: SlotAdmission;
  /** The worker as the entries that choose among it and others know it. */
  readonly rows: WorkerRow[];
  pace: number;
  running: number;
  toldAt: number;
  isTelling: boolean;
}

/** The workers that one entry chooses among, as it knows them. */
type EmulatedEntry = ReadonlyMap<WorkerRow, EmulatedWorker>;

/** Emulates one day. */
export async function runHeavyDay(day: HeavyDay): Promise<DayOutcome> {
  return new HeavyDayRun(day).run();
}

class HeavyDayRun {
  private readonly clock = new VirtualClock();
  private readonly random: () => number;
  private readonly workers: EmulatedWorker[];
  private readonly entries: EmulatedEntry[];
  private readonly outcomes = new Map<string, KindOutcome>();
  private readonly profile: Profile;
  private asks = 0;

  constructor(private readonly day: HeavyDay) {
    this.random = seedrandom(day.seed);
    this.profile = profileSchema.parse({
      balancing: 'paced',
      limits: {queueWait: '1500ms', queueLength: 48},
    });
    this.workers = Array.from({length: day.workers}, () => this.createWorker());
    this.entries = Array.from({length: day.entries}, (unused, index) =>
      this.createEntry(index),
    );
  }

  async run(): Promise<DayOutcome> {
    const {kinds, seconds} = this.day;
    for (const kind of kinds) {
      const outcome = {all: 0, inTime: 0, late: 0, refused: 0, failed: 0};
      this.outcomes.set(kind.name, outcome);
      this.scheduleNext(kind);
    }
    this.updateHosts();
    const longestMs = Math.max(...kinds.map(kind => kind.deadlineMs));
    await this.clock.run(seconds * SECOND_MS + 2 * longestMs);
    return {
      byKind: Object.fromEntries(this.outcomes),
      worth: this.computeWorth(),
      asks: this.asks,
    };
  }

  private createWorker(): EmulatedWorker {
    const {slots} = this.day;
    const admission = new SlotAdmission(
      slots,
      this.profile.limits,
      () => this.clock.nowMs,
      this.clock.timers,
    );
    const worker: EmulatedWorker = {
      admission,
      rows: [],
      pace: 1,
      running: 0,
      toldAt: -Infinity,
      isTelling: false,
    };
    admission.update(slots, 'ready', this.profile.limits);
    admission.recordProbeAnswer({status: 200});
    admission.handleChange = () => this.scheduleNews(worker);
    return worker;
  }

  /** An entry keeps to a part of a large fleet, as in the product. */
  private createEntry(entryIndex: number): EmulatedEntry {
    const workers = new Map<WorkerRow, EmulatedWorker>();
    for (const [index, worker] of this.workers.entries()) {
      const nodeId = `node-${index}`;
      const row: WorkerRow = {
        target: {nodeId, incarnation: 1, peerAddress: nodeId},
        dataCentre: DATA_CENTRE,
        service: SERVICE,
        version: 'v1',
        slots: this.day.slots,
        state: 'ready',
        isSuspect: false,
        inFlightHere: 0,
        observed: undefined,
      };
      workers.set(row, worker);
    }
    const subset = new WorkerSubset(`node-${entryIndex}`, DATA_CENTRE);
    const chosen = subset.select([...workers.keys()]);
    const entry = new Map(chosen.map(row => [row, workers.get(row)!]));
    for (const [row, worker] of entry) worker.rows.push(row);
    return entry;
  }

  /** Words of a gate keep a pause, and the newest load goes. */
  private scheduleNews(worker: EmulatedWorker): void {
    if (worker.isTelling) return;
    worker.isTelling = true;
    const pauseMs = worker.toldAt + BEACON_PAUSE_MS - this.clock.nowMs;
    this.clock.schedule(() => this.sendNews(worker), Math.max(0, pauseMs));
  }

  private sendNews(worker: EmulatedWorker): void {
    worker.isTelling = false;
    worker.toldAt = this.clock.nowMs;
    const {load} = worker.admission;
    this.clock.schedule(() => {
      for (const row of worker.rows) recordLoad(row, load, this.clock.nowMs);
    }, HOP_MS);
  }

  private updateHosts(): void {
    for (const worker of this.workers) {
      worker.pace = this.random() < SLOW_SHARE ? SLOW_PACE : 1;
      const {slots} = this.day;
      const {running, pace} = worker;
      worker.admission.recordFigures({running, waiting: 0, slots, pace});
    }
    if (this.clock.nowMs > this.day.seconds * SECOND_MS) return;
    this.clock.schedule(() => this.updateHosts(), HOST_CHANGE_MS);
  }

  private scheduleNext(kind: EmulatedKind): void {
    const gapMs = (-Math.log(1 - this.random()) * SECOND_MS) / kind.perSecond;
    this.clock.schedule(() => {
      if (this.clock.nowMs > this.day.seconds * SECOND_MS) return;
      this.scheduleNext(kind);
      void this.sendRequest(kind);
    }, gapMs);
  }

  /** One request with one retry of its caller. */
  private async sendRequest(kind: EmulatedKind): Promise<void> {
    const startedAt = this.clock.nowMs;
    const outcome = this.outcomes.get(kind.name)!;
    outcome.all += 1;
    for (let tries = 0; tries < 2; tries++) {
      const retryAfterMs = await this.runOnce(kind, startedAt, outcome);
      if (retryAfterMs === undefined) return;
      const leftMs = startedAt + kind.deadlineMs - this.clock.nowMs;
      const mostMs = leftMs * MOST_RETRY_WAIT_PART;
      await this.wait(Math.min(retryAfterMs, mostMs));
    }
    outcome.refused += 1;
  }

  /** Milliseconds until the caller comes again; undefined at the end. */
  private async runOnce(
    kind: EmulatedKind,
    startedAt: number,
    outcome: KindOutcome,
  ): Promise<number | undefined> {
    const entry = this.pickEntry();
    const tried = new Set<WorkerRow>();
    let retryAfterMs = 0;
    while (tried.size <= MOST_REFUSALS) {
      const row = this.choose(entry, tried);
      if (!row) break;
      this.asks += 1;
      const worker = entry.get(row)!;
      tried.add(row);
      row.inFlightHere += 1;
      await this.wait(HOP_MS);
      try {
        const slot = await this.admit(worker, kind, startedAt);
        await this.runOnWorker(worker, kind, startedAt, slot, outcome);
        await this.wait(HOP_MS);
        recordLoad(row, worker.admission.load, this.clock.nowMs);
        return undefined;
      } catch (error) {
        retryAfterMs = toRefusal(error).retryAfterMs ?? 0;
        await this.wait(HOP_MS);
        recordLoad(row, worker.admission.load, this.clock.nowMs);
      } finally {
        row.inFlightHere -= 1;
      }
    }
    return retryAfterMs;
  }

  private pickEntry(): EmulatedEntry {
    return this.entries[Math.floor(this.random() * this.entries.length)]!;
  }

  private admit(
    worker: EmulatedWorker,
    kind: EmulatedKind,
    startedAt: number,
  ): Promise<Slot> {
    const request = {
      caller: 'caller',
      route: kind.name,
      rank: kind.rank,
      targetAt: startedAt + kind.targetMs,
      deadline: startedAt + kind.deadlineMs,
    };
    return worker.admission.admit(request, new AbortController().signal);
  }

  private choose(
    entry: EmulatedEntry,
    tried: ReadonlySet<WorkerRow>,
  ): WorkerRow | undefined {
    const {nowMs} = this.clock;
    const left = [...entry.keys()].filter(row => !tried.has(row));
    return chooseWorker(this.profile.balancing, left, {
      dataCentre: DATA_CENTRE,
      farCostMs: 0,
      random: this.random,
      turn: 0,
      now: nowMs,
    });
  }

  private async runOnWorker(
    worker: EmulatedWorker,
    kind: EmulatedKind,
    startedAt: number,
    slot: Slot,
    outcome: KindOutcome,
  ): Promise<void> {
    worker.running += 1;
    const isCrowded = worker.running > KNEE_PART * this.day.slots;
    const spread = Math.exp(WORK_SPREAD * this.generateNormal());
    const crowding = isCrowded ? KNEE_FACTOR : 1;
    const runMs = kind.workMs * spread * worker.pace * crowding;
    const leftMs = startedAt + kind.deadlineMs - this.clock.nowMs;
    const isCut = runMs > leftMs;
    await this.wait(Math.min(runMs, Math.max(0, leftMs)));
    worker.running -= 1;
    slot.release(isCut ? SlotOutcome.CANCELLED : SlotOutcome.SUCCESS);
    const isLate = this.clock.nowMs > startedAt + kind.targetMs;
    if (isCut) outcome.failed += 1;
    else if (isLate) outcome.late += 1;
    else outcome.inTime += 1;
  }

  /** A standard normal number, by the method of Box and Muller. */
  private generateNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return radius * Math.cos(2 * Math.PI * this.random());
  }

  private wait(delayMs: number): Promise<void> {
    return new Promise(resolve => this.clock.schedule(resolve, delayMs));
  }

  private computeWorth(): number {
    let earned = 0;
    let owed = 0;
    for (const kind of this.day.kinds) {
      const {all, inTime} = this.outcomes.get(kind.name)!;
      earned += kind.worth * inTime;
      owed += kind.worth * all;
    }
    return owed === 0 ? 0 : earned / owed;
  }
}
