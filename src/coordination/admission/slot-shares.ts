/**
 * Decides whether a request may take a free slot that another class of work
 * has a claim to. Without such claims a flood of one class takes all slots,
 * and each request of another class waits for a whole service time of the
 * flood, whatever its place in the queue.
 */

/** Classes of work at one worker. */
export const WorkClass = {
  /** Called by a running request. */
  NESTED: 'nested',
  /** A caller's own request. */
  URGENT: 'urgent',
  /** A caller's own request that tolerates much more latency than others. */
  PATIENT: 'patient',
} as const;

export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];

/** Number of requests in each class. */
export type ClassCounts = Record<WorkClass, number>;

/** State of a worker's slots. */
export interface SlotState {
  /** Number of requests that may run concurrently. */
  readonly limit: number;
  readonly running: Readonly<ClassCounts>;
  readonly waiting: Readonly<ClassCounts>;
  /** Slots reserved for nested calls. */
  readonly forCalls: number;
  /** Slots that patient work leaves to nested calls and urgent requests. */
  readonly forUrgent: number;
  /** Whether callers' own requests keep one slot beside nested calls. */
  readonly hasOwnFloor: boolean;
}

/** Whom a slot is held for. */
export type Hold = 'calls' | 'urgent' | 'own' | 'patient';

/**
 * Returns whom the next free slot is held for, if not for the given class. A
 * claim beyond what its class already uses holds as many of the free slots. A
 * slot is never held for a class whose requests may not take it themselves,
 * so that no slot stays free while all classes wait.
 */
export function findHold(
  workClass: WorkClass,
  state: SlotState,
): Hold | undefined {
  const {limit, running, waiting, forCalls, forUrgent, hasOwnFloor} = state;
  const own = running.urgent + running.patient;
  const inFlight = own + running.nested;
  const isHeld = (claimed: number, used: number): boolean =>
    claimed > used && inFlight + claimed - used >= limit;
  const isHeldForCalls = isHeld(forCalls, running.nested);
  const isHeldForUrgent = isHeld(forUrgent, running.nested + running.urgent);
  if (workClass !== WorkClass.NESTED && isHeldForCalls) return 'calls';
  if (workClass === WorkClass.PATIENT) {
    return isHeldForUrgent ? 'urgent' : undefined;
  }
  const isLast = limit > 1 && inFlight + 1 >= limit && !isHeldForCalls;
  if (!isLast) return undefined;
  const waitingOwn = waiting.urgent + waiting.patient;
  const isNested = workClass === WorkClass.NESTED;
  if (isNested && hasOwnFloor && own === 0 && waitingOwn > 0) return 'own';
  const isPatientIdle = running.patient === 0 && waiting.patient > 0;
  return isPatientIdle && !isHeldForUrgent ? 'patient' : undefined;
}
