/**
 * Divides a worker's slots between classes of work by the rules of its profile.
 * Without a rule each request may take any free slot.
 */
import type {Profile} from '../../protocol/configuration.js';
import {CallReservation} from './call-reservation.js';
import type {ReportEstimate} from './estimate-log.js';
import {EstimateLog} from './estimate-log.js';
import type {ClassCounts, Hold, SlotState} from './slot-shares.js';
import {findHold, WorkClass} from './slot-shares.js';
import type {AdmissionRequest} from './worker-admission.js';

/** Rules, counters and log of the use of one worker's slots. */
export interface SlotRules {
  /** Returns the rules of the current profile; none if undefined. */
  readonly findRules: () => Profile['admission'] | undefined;
  readonly count: (name: string) => void;
  readonly report: ReportEstimate;
}

/** Rules of a worker without any. */
export const NO_SLOT_RULES: SlotRules = {
  findRules: () => undefined,
  count: () => {},
  report: () => {},
};

/** A queued request with its class. */
export interface ClassifiedItem {
  readonly workClass: WorkClass;
  readonly request: AdmissionRequest;
}

const OWN_CLASSES = [WorkClass.URGENT, WorkClass.PATIENT];
const ALL_CLASSES = [WorkClass.NESTED, ...OWN_CLASSES];

/** Divides the slots of one worker. */
export class SlotAllocation {
  private readonly reservation = new CallReservation();
  private readonly running: ClassCounts = {nested: 0, urgent: 0, patient: 0};
  /** Sum of the expected service times of the running requests. */
  private readonly runningMs: ClassCounts = {nested: 0, urgent: 0, patient: 0};
  private readonly log: EstimateLog;

  /**
   * @param computeServiceMs returns the expected service time of a route in
   *     milliseconds.
   */
  constructor(
    private readonly rules: SlotRules,
    private readonly computeServiceMs: (route: string) => number,
  ) {
    this.log = new EstimateLog(rules.report);
  }

  /** Records an arrival and returns its class. */
  recordArrival(request: AdmissionRequest, now: number): WorkClass {
    const {route, isNested} = request;
    if (!isNested) return WorkClass.URGENT;
    if (this.rules.findRules()?.reservesForCalls) {
      this.reservation.recordCall(this.computeServiceMs(route), now);
    }
    return WorkClass.NESTED;
  }

  /**
   * Records that a request starts.
   *
   * @returns A function that records its end; to be called once.
   */
  start(workClass: WorkClass, route: string): () => void {
    const serviceMs = this.computeServiceMs(route);
    this.running[workClass] += 1;
    this.runningMs[workClass] += serviceMs;
    return () => {
      this.running[workClass] -= 1;
      this.runningMs[workClass] -= serviceMs;
    };
  }

  /**
   * Returns the state from which `findHold` decides; undefined without rules,
   * when nothing is held.
   */
  computeState(
    limit: number,
    queue: readonly ClassifiedItem[],
    now: number,
  ): SlotState | undefined {
    const rules = this.rules.findRules();
    if (!rules?.reservesForCalls) return undefined;
    const waiting: ClassCounts = {nested: 0, urgent: 0, patient: 0};
    for (const {workClass} of queue) waiting[workClass] += 1;
    const forCalls = this.computeReserved(limit, now);
    return {
      limit,
      running: this.running,
      waiting,
      forCalls,
      forUrgent: 0,
      hasOwnFloor: true,
    };
  }

  /**
   * Returns the expected wait in milliseconds behind the given requests;
   * undefined without rules. The wait ends at the next slot that the class may
   * use: after the work of all that go before, divided among the slots that
   * aren't held for others, or after the work of its own class in the slot
   * that the class always keeps, whichever is earlier.
   */
  computeWait(
    workClass: WorkClass,
    ahead: readonly ClassifiedItem[],
    limit: number,
    now: number,
  ): number | undefined {
    if (!this.rules.findRules()?.reservesForCalls) return undefined;
    const meanMs = this.computeRunningMean(ALL_CLASSES) ?? 0;
    const allMs = meanMs + this.computeWork(ALL_CLASSES, ahead);
    if (workClass === WorkClass.NESTED) return allMs / limit;
    const slots = Math.max(1, limit - this.computeReserved(limit, now));
    const ownRunning = this.running.urgent + this.running.patient;
    const ownMeanMs = this.computeRunningMean(OWN_CLASSES);
    const slotMs =
      ownMeanMs === undefined ? meanMs / limit : ownMeanMs / ownRunning;
    const floorMs = slotMs + this.computeWork(OWN_CLASSES, ahead);
    return Math.min(allMs / slots, floorMs);
  }

  /** Counts a request that found a free slot held for another class. */
  countHeld(hold: Hold): void {
    this.rules.count(`admission.held-for-${hold}`);
  }

  /** Describes the claims to the slots, for the detail of a refusal. */
  describe(limit: number, now: number): string[] {
    if (!this.rules.findRules()?.reservesForCalls) return [];
    const use = this.reservation.computeUse(now).toFixed(1);
    return [`${this.computeReserved(limit, now)} for calls using ${use}`];
  }

  /** Returns the mean service time of running requests of some classes. */
  private computeRunningMean(
    classes: readonly WorkClass[],
  ): number | undefined {
    let count = 0;
    let sumMs = 0;
    for (const workClass of classes) {
      count += this.running[workClass];
      sumMs += this.runningMs[workClass];
    }
    return count > 0 ? sumMs / count : undefined;
  }

  /** Returns the expected work in milliseconds of items of some classes. */
  private computeWork(
    classes: readonly WorkClass[],
    items: readonly ClassifiedItem[],
  ): number {
    let sumMs = 0;
    for (const {workClass, request} of items) {
      if (!classes.includes(workClass)) continue;
      sumMs += this.computeServiceMs(request.route);
    }
    return sumMs;
  }

  private computeReserved(limit: number, now: number): number {
    const reserved = this.reservation.compute(limit, now);
    const use = Number(this.reservation.computeUse(now).toFixed(2));
    this.log.report('slots reserved for calls', reserved, now, {limit, use});
    return reserved;
  }
}

/** Returns the first queued request that may take the next free slot. */
export function findNextItem<T extends ClassifiedItem>(
  queue: readonly T[],
  state: SlotState | undefined,
): T | undefined {
  if (!state) return queue[0];
  return queue.find(({workClass}) => !findHold(workClass, state));
}
