/**
 * What a gate asks of the admission to one worker. Two answers to it exist:
 * an adaptive limit for workers of which nothing is known, and slots with a
 * learnt knee for workers that tell their load.
 */
import type {Profile} from '../protocol/configuration.js';
import type {
  ProbeAnswer,
  UpstreamFigures,
  WorkerLoad,
  WorkerState,
} from '../protocol/worker-load.js';
import type {SlotOutcome} from './concurrency-limit.js';

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly caller: string;
  readonly route: string;
  /** Deadline on the clock of `performance.now()`. */
  readonly deadline: number;
  /** Importance; 0 is the highest. */
  readonly rank: number;
  /** Time on the clock of `performance.now()` after which it is late. */
  readonly targetAt?: number;
  /** Whether a request that holds a worker elsewhere waits for it. */
  readonly isNested?: boolean;
}

/** Right to have one request in flight at the worker. */
export interface Slot {
  /** Gives the slot back; later calls have no effect. */
  release(outcome: SlotOutcome): void;
}

/** Admission to one worker. */
export interface WorkerAdmission {
  /** Load figures as of now. */
  readonly load: WorkerLoad;
  /** Time of the newest outcome of a request; `-Infinity` before the first. */
  readonly lastOutcomeAt: number;
  /** Takes over what the worker announced and the profile in force. */
  update(slots: number, state: WorkerState, limits: Profile['limits']): void;
  /** Falls back to what a cold worker bears, as when it comes back. */
  resetToCold(): void;
  recordProbeAnswer(answer: ProbeAnswer): void;
  /** Notes that the worker accepted no connection of a probe. */
  recordUnreachable(): void;
  /** Notes figures that the worker told of itself. */
  recordFigures?(figures: UpstreamFigures): void;
  /** Whether a probe is worth its price; undefined leaves it to the prober. */
  hasStaleFigures?(lastProbeAt: number): boolean;
  /**
   * Waits for a slot.
   *
   * @throws RefusalError with verdict `not-run`.
   */
  admit(request: AdmissionRequest, signal: AbortSignal): Promise<Slot>;
}
