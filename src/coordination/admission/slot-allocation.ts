/**
 * Divides a worker's slots between classes of work by the rules of its profile.
 * Without a rule each request may take any free slot.
 */
import type {Profile} from '../../protocol/configuration.js';
import {CallReservation} from './call-reservation.js';
import type {ReportEstimate} from './estimate-log.js';
import {EstimateLog} from './estimate-log.js';
import {
  computeLatestStart,
  computePatientWait,
  PatientWork,
} from './patient-work.js';
import type {ClassCounts, SlotState} from './slot-shares.js';
import type {SlotOutcome} from './concurrency-limit.js';
import {findHold, WorkClass} from './slot-shares.js';
import {ByteBound, WorkerBytes} from './worker-bytes.js';
import type {AdmissionRequest} from './worker-admission.js';

/** Rules, counters and log of the use of one worker's slots. */
export interface SlotRules {
  /** Returns the rules of the current profile; none if undefined. */
  readonly findRules: () => Profile['admission'] | undefined;
  readonly count: (name: string) => void;
  readonly report: ReportEstimate;
  /** What is known of the worker's memory from earlier processes. */
  readonly byteBound?: ByteBound;
}

/** Rules of a worker without any. */
export const NO_SLOT_RULES: SlotRules = {
  findRules: () => undefined,
  count: () => {},
  report: () => {},
};

/** A request with its class. */
export interface ClassifiedItem {
  readonly workClass: WorkClass;
  readonly request: AdmissionRequest;
  /** Whether it can no longer meet its target. */
  readonly isLate: boolean;
}

/** Expected service times of a route in milliseconds. */
export interface ServiceTimes {
  /** At the present speed of the host. */
  compute(route: string): number;
  /** At the usual speed of the host. */
  computeUsual(route: string): number;
}

/** Use of the worker by a running request. */
export interface WorkerUse {
  /** Adds bytes of a body whose length wasn't known before. */
  addBytes(bytes: number): void;
  /** Ends the use; to be called once. */
  end(outcome: SlotOutcome, now: number): void;
}

const OWN_CLASSES = [WorkClass.URGENT, WorkClass.PATIENT];
const ALL_CLASSES = [WorkClass.NESTED, ...OWN_CLASSES];

/** Divides the slots and the memory of one worker. */
export class SlotAllocation {
  /** Bytes of the requests that the worker holds. */
  readonly bytes: WorkerBytes;
  private readonly reservation = new CallReservation();
  private readonly patientWork = new PatientWork();
  private readonly running: ClassCounts = {nested: 0, urgent: 0, patient: 0};
  /** Sum of the expected service times of the running requests. */
  private readonly runningMs: ClassCounts = {nested: 0, urgent: 0, patient: 0};
  private readonly log: EstimateLog;
  private patientStartedAt = -Infinity;

  constructor(
    private readonly rules: SlotRules,
    private readonly serviceTimes: ServiceTimes,
  ) {
    this.log = new EstimateLog(rules.report);
    this.bytes = new WorkerBytes(
      rules.byteBound ?? new ByteBound(),
      () => rules.findRules()?.boundsWorkerBytes ?? false,
      rules,
    );
  }

  /** Whether any rule divides the slots. */
  get hasRules(): boolean {
    return this.reservesForCalls || this.queuesPatientWork;
  }

  /** Records an arrival and returns its class. */
  recordArrival(
    request: AdmissionRequest,
    isLate: boolean,
    now: number,
  ): WorkClass {
    const {route, isNested = false, targetAt, deadline} = request;
    const ownClass = isNested ? WorkClass.NESTED : WorkClass.URGENT;
    if (!this.hasRules) return ownClass;
    const serviceMs = this.serviceTimes.compute(route);
    if (isNested && this.reservesForCalls) {
      this.reservation.recordCall(serviceMs, now);
    }
    if (!this.queuesPatientWork) return ownClass;
    if (!isLate) {
      const usualMs = this.serviceTimes.computeUsual(route);
      const timeMs = (targetAt ?? deadline) - now;
      this.patientWork.recordArrival(route, timeMs, usualMs, now);
    }
    if (!isNested && this.patientWork.isPatient(route)) {
      return WorkClass.PATIENT;
    }
    if (!isLate) this.patientWork.recordUrgent(serviceMs, now);
    return ownClass;
  }

  /** Records that a request starts. */
  start(
    workClass: WorkClass,
    {route, bytes}: AdmissionRequest,
    now: number,
  ): WorkerUse {
    const serviceMs = this.serviceTimes.compute(route);
    const held = this.bytes.start(bytes);
    this.running[workClass] += 1;
    this.runningMs[workClass] += serviceMs;
    if (workClass === WorkClass.PATIENT) this.patientStartedAt = now;
    return {
      addBytes: more => held.add(more),
      end: (outcome, endedAt) => {
        this.running[workClass] -= 1;
        this.runningMs[workClass] -= serviceMs;
        held.end(outcome, endedAt);
      },
    };
  }

  /** Returns the first queued request that may take the next free slot. */
  findNext<T extends ClassifiedItem>(
    queue: readonly T[],
    state: SlotState | undefined,
  ): T | undefined {
    return findNextItem(queue, state, this.bytes.createFilter());
  }

  /**
   * Returns whether a request may start before those that wait ahead of it and
   * the worker has a slot and memory for it.
   */
  hasRoomFor(
    item: ClassifiedItem,
    ahead: readonly ClassifiedItem[],
    state: SlotState | undefined,
    hasCapacity: () => boolean,
  ): boolean {
    const hasRoom = this.bytes.createFilter();
    if (findNextItem(ahead, state, hasRoom) || !hasCapacity()) return false;
    if (hasRoom(item.request)) return true;
    this.bytes.recordHeldBack();
    return false;
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
    if (!this.hasRules) return undefined;
    const waiting: ClassCounts = {nested: 0, urgent: 0, patient: 0};
    for (const {workClass, isLate} of queue) {
      // What is late has no claim to a slot that others could use.
      if (!isLate) waiting[workClass] += 1;
    }
    return {
      limit,
      running: this.running,
      waiting,
      forCalls: this.computeForCalls(limit, now),
      forUrgent: this.computeForUrgent(limit, now),
      hasOwnFloor: this.reservesForCalls,
    };
  }

  /**
   * Returns the expected wait in milliseconds behind the given requests;
   * undefined while no class has a claim, when all wait for the same slots. The
   * wait ends at the next slot that the class may use: after the work that goes
   * before, divided among the slots that aren't held for others, or after that
   * of its own class in the slot that the class always keeps, whichever is
   * earlier.
   */
  computeWait(
    workClass: WorkClass,
    ahead: readonly ClassifiedItem[],
    limit: number,
    now: number,
  ): number | undefined {
    const forCalls = this.computeForCalls(limit, now);
    const forUrgent = this.computeForUrgent(limit, now);
    if (forCalls === 0 && forUrgent === 0) return undefined;
    const meanMs = this.computeRunningMean(ALL_CLASSES) ?? 0;
    const allMs = this.computeWork(ALL_CLASSES, ahead);
    if (workClass === WorkClass.NESTED) return (meanMs + allMs) / limit;
    const isPatient = workClass === WorkClass.PATIENT;
    const peers = isPatient ? [WorkClass.PATIENT] : OWN_CLASSES;
    const held = isPatient ? Math.max(forCalls, forUrgent) : forCalls;
    const slots = Math.max(1, limit - held);
    const peersMs = this.computeWork(peers, ahead);
    const peersMeanMs = this.computeRunningMean(peers);
    const sharedMs =
      ((peersMeanMs ?? meanMs) + peersMs) / slots + (allMs - peersMs) / limit;
    const hasFloor = isPatient || this.reservesForCalls;
    if (!hasFloor) return sharedMs;
    const floorMs =
      peersMeanMs === undefined
        ? meanMs / limit
        : peersMeanMs / this.countRunning(peers);
    return Math.min(sharedMs, floorMs + peersMs);
  }

  /**
   * Returns the longest wait of a request in milliseconds.
   *
   * @param shortMs longest wait of a request that isn't patient.
   */
  computeMaxWait(item: ClassifiedItem, shortMs: number, now: number): number {
    const {workClass, request, isLate} = item;
    if (workClass !== WorkClass.PATIENT || isLate) return shortMs;
    const {route, targetAt, deadline} = request;
    const serviceMs = this.serviceTimes.compute(route);
    const dueAt = targetAt ?? deadline;
    return Math.max(shortMs, computePatientWait(dueAt, serviceMs, now));
  }

  /**
   * Returns the time until which a queued request may wait after the speed of
   * the host has changed.
   */
  computeExpiry(item: ClassifiedItem & {readonly expiresAt: number}): number {
    const {workClass, request, isLate, expiresAt} = item;
    if (workClass !== WorkClass.PATIENT || isLate) return expiresAt;
    const serviceMs = this.serviceTimes.compute(request.route);
    const dueAt = request.targetAt ?? request.deadline;
    return Math.min(expiresAt, computeLatestStart(dueAt, serviceMs));
  }

  /**
   * Returns whether no slot is held for others than the request, and counts a
   * request that finds a free slot held.
   */
  admit(
    {workClass}: ClassifiedItem,
    state: SlotState | undefined,
    isFull: boolean,
  ): boolean {
    const hold = state && findHold(workClass, state);
    if (hold && !isFull) this.rules.count(`admission.held-for-${hold}`);
    return !hold;
  }

  /**
   * Returns whether a request may join the queue. With slots divided between
   * classes, the first of a class may do so even if others fill the queue.
   */
  hasQueueSpace(
    {workClass}: ClassifiedItem,
    queue: readonly ClassifiedItem[],
    {queueLength}: Profile['limits'],
  ): boolean {
    if (queue.length < queueLength) return true;
    if (!this.hasRules || queueLength === 0) return false;
    return queue.every(other => other.workClass !== workClass);
  }

  /** Counts and logs a request that is queued. */
  recordQueued(
    {workClass}: ClassifiedItem,
    place: number,
    expectedMs: number,
    now: number,
  ): void {
    if (workClass !== WorkClass.PATIENT) return;
    this.rules.count('admission.patient-queued');
    this.log.report('patient work waits', place, now, {
      expectedMs: Math.round(expectedMs),
      running: this.running.patient,
      lastStartMsAgo: Math.round(now - this.patientStartedAt),
    });
  }

  /**
   * Describes a wait and the claims to the slots for the detail of a refusal;
   * nothing without rules.
   */
  describe(wait: readonly string[], limit: number, now: number): string[] {
    const parts = this.hasRules ? [...wait] : [];
    if (this.reservesForCalls) {
      const use = this.reservation.computeUse(now).toFixed(1);
      parts.push(`${this.computeForCalls(limit, now)} for calls using ${use}`);
    }
    if (this.queuesPatientWork) {
      const use = this.patientWork.computeUrgentUse(now).toFixed(1);
      const forUrgent = this.computeForUrgent(limit, now);
      parts.push(
        `${forUrgent} for urgent using ${use}`,
        `patient running ${this.running.patient}`,
      );
      if (this.patientStartedAt > -Infinity) {
        const agoMs = Math.round(now - this.patientStartedAt);
        parts.push(`last patient start ${agoMs} ms ago`);
      }
    }
    return [...parts, ...this.bytes.describe()];
  }

  private get reservesForCalls(): boolean {
    return this.rules.findRules()?.reservesForCalls ?? false;
  }

  private get queuesPatientWork(): boolean {
    return this.rules.findRules()?.queuesPatientWork ?? false;
  }

  private countRunning(classes: readonly WorkClass[]): number {
    return classes.reduce((count, name) => count + this.running[name], 0);
  }

  /** Returns the mean service time of running requests of some classes. */
  private computeRunningMean(
    classes: readonly WorkClass[],
  ): number | undefined {
    const sumMs = classes.reduce((sum, name) => sum + this.runningMs[name], 0);
    const count = this.countRunning(classes);
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
      sumMs += this.serviceTimes.compute(request.route);
    }
    return sumMs;
  }

  private computeForCalls(limit: number, now: number): number {
    if (!this.reservesForCalls) return 0;
    const slots = this.reservation.compute(limit, now);
    const use = Number(this.reservation.computeUse(now).toFixed(2));
    this.log.report('slots reserved for calls', slots, now, {limit, use});
    return slots;
  }

  private computeForUrgent(limit: number, now: number): number {
    if (!this.queuesPatientWork) return 0;
    const slots = this.patientWork.computeLeft(limit, now);
    const use = Number(this.patientWork.computeUrgentUse(now).toFixed(2));
    this.log.report('slots left to urgent work', slots, now, {limit, use});
    return slots;
  }
}

/**
 * Returns the first queued request that may take the next free slot.
 *
 * @param hasRoom returns whether the worker has memory for a request.
 */
function findNextItem<T extends ClassifiedItem>(
  queue: readonly T[],
  state: SlotState | undefined,
  hasRoom: (request: AdmissionRequest) => boolean,
): T | undefined {
  return queue.find(
    ({workClass, request}) =>
      !(state && findHold(workClass, state)) && hasRoom(request),
  );
}
