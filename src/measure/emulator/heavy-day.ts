/**
 * Emulates a heavy day: more requests than workers on shared hosts can serve in
 * time. Worker choice, admission and queues are the code that nodes run; the
 * network, the workers, the nodes' processors and the callers are emulated on
 * a virtual clock, so that a day takes seconds and is reproducible.
 */
import seedrandom from 'seedrandom';
import {SlotOutcome} from '../../coordination/admission/concurrency-limit.js';
import {NestedCalls} from '../../coordination/nested-calls.js';
import {MIN_LOAD_INTERVAL_MS} from '../../coordination/peer-beacons.js';
import {hasTimeToRetryRefusal} from '../../coordination/refusals/retry-rules.js';
import {SlotAdmission} from '../../coordination/admission/slot-admission.js';
import type {
  AdmissionRequest,
  Slot,
} from '../../coordination/admission/worker-admission.js';
import {chooseWorker} from '../../coordination/routing/worker-choice.js';
import {WorkerSubset} from '../../coordination/routing/worker-subset.js';
import {profileSchema} from '../../protocol/configuration.js';
import type {Profile} from '../../protocol/configuration.js';
import {toRefusal} from '../../protocol/reasons.js';
import type {WorkerRow} from '../../state/worker-table.js';
import {recordLoad} from '../../state/worker-table.js';
import type {
  DayOutcome,
  EmulatedKind,
  EmulatedService,
  HeavyDay,
  KindOutcome,
} from './emulated-day.js';
import {VirtualClock} from './virtual-clock.js';

const DATA_CENTRE = 'one';
const MS_PER_SECOND = 1000;
/** Longest wait before a caller's retry, as a fraction of the time left. */
const MAX_RETRY_WAIT_FRACTION = 1 / 3;
/** Number of refusals up to which an entry tries another gate. */
const MAX_REFUSALS = 3;
/** Interval at which the slowdowns of hosts change. */
const HOST_CHANGE_INTERVAL_MS = 300;
/** Fraction of the time in which a host is slow, and its slowdown factor. */
const SLOW_TIME_FRACTION = 0.25;
const SLOW_PACE = 4;
/** Utilization above which a worker slows down, and its slowdown factor. */
const KNEE_UTILIZATION = 0.8;
const KNEE_SLOWDOWN_FACTOR = 1.7;
/** Standard deviation of the logarithm of a request's processing time. */
const WORK_LOG_DEVIATION = 0.3;
/** Largest fraction by which a caller shortens its deadline at random. */
const DEADLINE_JITTER_FRACTION = 0.1;

interface EmulatedWorker {
  readonly node: EmulatedNode;
  readonly slots: number;
  readonly admission: SlotAdmission;
  /** Rows of this worker in the tables of the entries that may choose it. */
  readonly rows: WorkerRow[];
  pace: number;
  running: number;
  lastSentAt: number;
  isSendScheduled: boolean;
}

interface EmulatedNode {
  readonly nestedCalls: NestedCalls;
  /** Workers that the node's entry chooses among, by service. */
  readonly subsets: Map<string, ReadonlyMap<WorkerRow, EmulatedWorker>>;
  /** Time at which the node's processor has done all work accepted so far. */
  freeAt: number;
}

/** A request or call, as an entry sends it to a gate. */
interface EmulatedRequest extends AdmissionRequest {
  readonly kind: EmulatedKind;
  readonly targetAt: number;
}

/** Outcome of sending a request through an entry. */
interface EntryOutcome {
  readonly result: 'served' | 'refused' | 'failed';
  readonly retryAfterMs: number;
}

/** Emulates a day and returns its outcome. */
export async function runHeavyDay(day: HeavyDay): Promise<DayOutcome> {
  return new HeavyDayRun(day).run();
}

class HeavyDayRun {
  private readonly clock = new VirtualClock();
  private readonly random: () => number;
  private readonly nodes: EmulatedNode[];
  private readonly workers: EmulatedWorker[] = [];
  private readonly outcomes = new Map<string, KindOutcome>();
  private readonly kinds: ReadonlyMap<string, EmulatedKind>;
  private readonly profile: Profile;
  private asks = 0;

  constructor(private readonly day: HeavyDay) {
    this.random = seedrandom(day.seed);
    this.profile = profileSchema.parse({
      balancing: 'paced',
      limits: {queueWait: '1500ms', queueLength: 48},
    });
    this.kinds = new Map(day.kinds.map(kind => [kind.name, kind]));
    this.nodes = Array.from({length: day.nodes}, () => ({
      nestedCalls: new NestedCalls(),
      subsets: new Map<string, ReadonlyMap<WorkerRow, EmulatedWorker>>(),
      freeAt: 0,
    }));
    for (const service of day.services) this.addService(service);
  }

  async run(): Promise<DayOutcome> {
    const {kinds, seconds} = this.day;
    for (const kind of kinds) {
      this.outcomes.set(kind.name, {
        all: 0,
        inTime: 0,
        late: 0,
        refused: 0,
        failed: 0,
        lostRuns: 0,
      });
      if (kind.perSecond > 0) this.scheduleNext(kind);
    }
    this.updateHosts();
    const longestMs = Math.max(...kinds.map(kind => kind.deadlineMs));
    await this.clock.run(seconds * MS_PER_SECOND + 2 * longestMs);
    return {
      byKind: Object.fromEntries(this.outcomes),
      worth: this.computeWorth(),
      asks: this.asks,
    };
  }

  private addService({name, workers: count, slots}: EmulatedService): void {
    const first = this.workers.length;
    const workers = Array.from({length: count}, (unused, index) =>
      this.createWorker(this.nodes[first + index]!, slots),
    );
    this.workers.push(...workers);
    for (const [index, node] of this.nodes.entries()) {
      node.subsets.set(name, this.selectSubset(index, name, first, workers));
    }
  }

  private createWorker(node: EmulatedNode, slots: number): EmulatedWorker {
    const admission = new SlotAdmission(
      slots,
      this.profile.limits,
      () => this.clock.nowMs,
      this.clock.timers,
    );
    const worker: EmulatedWorker = {
      node,
      slots,
      admission,
      rows: [],
      pace: 1,
      running: 0,
      lastSentAt: -Infinity,
      isSendScheduled: false,
    };
    admission.update(slots, 'ready', this.profile.limits);
    admission.recordProbeAnswer({status: 200});
    admission.handleLoadChange = () => this.scheduleLoadUpdate(worker);
    return worker;
  }

  /** Selects the workers that an entry chooses among, as a node does. */
  private selectSubset(
    entryIndex: number,
    service: string,
    firstWorker: number,
    workers: readonly EmulatedWorker[],
  ): ReadonlyMap<WorkerRow, EmulatedWorker> {
    const all = new Map<WorkerRow, EmulatedWorker>();
    for (const [index, worker] of workers.entries()) {
      const nodeId = `node-${firstWorker + index}`;
      const row: WorkerRow = {
        target: {nodeId, incarnation: 1, peerAddress: nodeId},
        dataCentre: DATA_CENTRE,
        service,
        version: 'v1',
        slots: worker.slots,
        state: 'ready',
        isSuspect: false,
        inFlightHere: 0,
        observed: undefined,
      };
      all.set(row, worker);
    }
    const workerSubset = new WorkerSubset(`node-${entryIndex}`, DATA_CENTRE);
    const chosen = workerSubset.select([...all.keys()]);
    const subset = new Map(chosen.map(row => [row, all.get(row)!]));
    for (const [row, worker] of subset) worker.rows.push(row);
    return subset;
  }

  /** Schedules a load update, at least the minimum interval after the last. */
  private scheduleLoadUpdate(worker: EmulatedWorker): void {
    if (worker.isSendScheduled) return;
    worker.isSendScheduled = true;
    const pauseMs = worker.lastSentAt + MIN_LOAD_INTERVAL_MS - this.clock.nowMs;
    this.clock.schedule(
      () => this.sendLoadUpdate(worker),
      Math.max(0, pauseMs),
    );
  }

  private sendLoadUpdate(worker: EmulatedWorker): void {
    worker.isSendScheduled = false;
    worker.lastSentAt = this.clock.nowMs;
    const {load} = worker.admission;
    this.clock.schedule(() => {
      for (const row of worker.rows) recordLoad(row, load, this.clock.nowMs);
    }, this.day.networkMs);
  }

  private updateHosts(): void {
    for (const worker of this.workers) {
      worker.pace = this.random() < SLOW_TIME_FRACTION ? SLOW_PACE : 1;
      const {running, slots, pace} = worker;
      worker.admission.recordLoadReport({running, waiting: 0, slots, pace});
    }
    if (this.clock.nowMs > this.day.seconds * MS_PER_SECOND) return;
    this.clock.schedule(() => this.updateHosts(), HOST_CHANGE_INTERVAL_MS);
  }

  private scheduleNext(kind: EmulatedKind): void {
    const gapMs =
      (-Math.log(1 - this.random()) * MS_PER_SECOND) / kind.perSecond;
    this.clock.schedule(() => {
      if (this.clock.nowMs > this.day.seconds * MS_PER_SECOND) return;
      this.scheduleNext(kind);
      void this.sendRequest(kind);
    }, gapMs);
  }

  /** Sends a request, which its caller retries once. */
  private async sendRequest(kind: EmulatedKind): Promise<void> {
    const startedAt = this.clock.nowMs;
    const outcome = this.outcomes.get(kind.name)!;
    outcome.all += 1;
    const targetAt = startedAt + kind.targetMs;
    const deadlineFactor = 1 - DEADLINE_JITTER_FRACTION * this.random();
    const deadline = startedAt + kind.deadlineMs * deadlineFactor;
    let last: EntryOutcome = {result: 'refused', retryAfterMs: 0};
    for (let attempt = 0; attempt < 2; attempt++) {
      const node = this.nodes[Math.floor(this.random() * this.nodes.length)]!;
      last = await this.sendThroughEntry(node, {kind, targetAt, deadline});
      if (last.result === 'served') {
        if (this.clock.nowMs > targetAt) outcome.late += 1;
        else outcome.inTime += 1;
        return;
      }
      const maxWaitMs = (deadline - this.clock.nowMs) * MAX_RETRY_WAIT_FRACTION;
      if (maxWaitMs <= 0) break;
      await this.wait(Math.min(last.retryAfterMs, maxWaitMs));
    }
    outcome[last.result === 'refused' ? 'refused' : 'failed'] += 1;
  }

  /** Sends a request through an entry, which retries refusals at other gates. */
  private async sendThroughEntry(
    node: EmulatedNode,
    sent: Pick<EmulatedRequest, 'kind' | 'targetAt' | 'deadline'>,
  ): Promise<EntryOutcome> {
    await this.handleMessage(node);
    const {kind, deadline} = sent;
    const request: EmulatedRequest = {
      ...sent,
      caller: 'caller',
      route: kind.name,
      rank: kind.rank,
      isNested: node.nestedCalls.observe(kind.name, deadline),
    };
    const tried = new Set<WorkerRow>();
    let retryAfterMs = 0;
    const subset = node.subsets.get(kind.service)!;
    const startedAt = this.clock.nowMs;
    while (tried.size <= MAX_REFUSALS && this.clock.nowMs < deadline) {
      const row = this.chooseRow(subset, tried);
      if (!row) break;
      this.asks += 1;
      const worker = subset.get(row)!;
      tried.add(row);
      row.inFlightHere += 1;
      await this.sendMessage(node, worker.node);
      try {
        const slot = await worker.admission.admit(
          request,
          new AbortController().signal,
        );
        const isSuccessful = await this.runOnWorker(worker, request, slot);
        const result = isSuccessful ? 'served' : 'failed';
        return {result, retryAfterMs: 0};
      } catch (error) {
        retryAfterMs = toRefusal(error).retryAfterMs ?? 0;
      } finally {
        await this.sendMessage(worker.node, node);
        row.inFlightHere -= 1;
        recordLoad(row, worker.admission.load, this.clock.nowMs);
      }
      if (!hasTimeToRetryRefusal(request, startedAt, this.clock.nowMs)) break;
    }
    return {result: 'refused', retryAfterMs};
  }

  private chooseRow(
    subset: ReadonlyMap<WorkerRow, EmulatedWorker>,
    tried: ReadonlySet<WorkerRow>,
  ): WorkerRow | undefined {
    const {nowMs} = this.clock;
    const untried = [...subset.keys()].filter(row => !tried.has(row));
    return chooseWorker(this.profile.balancing, untried, {
      dataCentre: DATA_CENTRE,
      farCostMs: 0,
      random: this.random,
      choiceCount: 0,
      now: nowMs,
    });
  }

  /** Runs a request; returns whether it succeeded before its deadline. */
  private async runOnWorker(
    worker: EmulatedWorker,
    request: EmulatedRequest,
    slot: Slot,
  ): Promise<boolean> {
    const {kind, deadline} = request;
    worker.running += 1;
    const endRun = worker.node.nestedCalls.startRun(deadline);
    const isAboveKnee = worker.running > KNEE_UTILIZATION * worker.slots;
    const variation = Math.exp(WORK_LOG_DEVIATION * this.generateNormal());
    const kneeSlowdown = isAboveKnee ? KNEE_SLOWDOWN_FACTOR : 1;
    const runMs = kind.workMs * variation * worker.pace * kneeSlowdown;
    const remainingMs = deadline - this.clock.nowMs;
    await this.wait(Math.min(runMs, Math.max(0, remainingMs)));
    const isTimedOut = runMs > remainingMs;
    const hasCalls = !isTimedOut && (await this.runCalls(worker.node, request));
    endRun();
    worker.running -= 1;
    const isSuccessful = hasCalls && this.clock.nowMs <= deadline;
    if (isTimedOut) slot.release(SlotOutcome.CANCELLED);
    else slot.release(isSuccessful ? SlotOutcome.SUCCESS : SlotOutcome.FAILURE);
    return isSuccessful;
  }

  /** Makes the calls of a running request; returns false when one failed. */
  private async runCalls(
    node: EmulatedNode,
    {kind, deadline}: EmulatedRequest,
  ): Promise<boolean> {
    const {calls} = kind;
    if (!calls || this.random() >= calls.fraction) return true;
    const called = this.kinds.get(calls.kind)!;
    for (let callIndex = 0; callIndex < calls.times; callIndex++) {
      const {nowMs} = this.clock;
      const {result} = await this.sendThroughEntry(node, {
        kind: called,
        targetAt: nowMs + called.targetMs,
        deadline: Math.min(deadline, nowMs + called.deadlineMs),
      });
      if (result === 'served') continue;
      this.outcomes.get(kind.name)!.lostRuns += 1;
      return false;
    }
    return true;
  }

  /** Sends a message between nodes, with its processing at both ends. */
  private async sendMessage(
    from: EmulatedNode,
    to: EmulatedNode,
  ): Promise<void> {
    await this.handleMessage(from);
    if (from !== to) await this.wait(this.day.networkMs);
    await this.handleMessage(to);
  }

  /** Waits until a node has processed a message; it processes one at a time. */
  private async handleMessage(node: EmulatedNode): Promise<void> {
    const {handlingMs} = this.day;
    if (handlingMs === 0) return;
    node.freeAt = Math.max(node.freeAt, this.clock.nowMs) + handlingMs;
    await this.wait(node.freeAt - this.clock.nowMs);
  }

  /** Generates a standard normal number with the Box-Muller transform. */
  private generateNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return radius * Math.cos(2 * Math.PI * this.random());
  }

  private wait(delayMs: number): Promise<void> {
    return new Promise(resolve => this.clock.schedule(resolve, delayMs));
  }

  private computeWorth(): number {
    let earned = 0;
    let total = 0;
    for (const kind of this.day.kinds) {
      const {all, inTime} = this.outcomes.get(kind.name)!;
      earned += kind.worth * inTime;
      total += kind.worth * all;
    }
    return total === 0 ? 0 : earned / total;
  }
}
