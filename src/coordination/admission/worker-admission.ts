/**
 * Interface of the admission to one worker. It has two implementations:
 * `AdaptiveAdmission` with an adaptive limit, for workers of unknown capacity,
 * and `SlotAdmission` with a limit up to the known slots, for workers that
 * report their load.
 */
import type {Profile} from '../../protocol/configuration.js';
import type {
  ProbeAnswer,
  UpstreamLoadReport,
  WorkerLoad,
  WorkerState,
} from '../../protocol/worker-load.js';
import type {SlotOutcome} from './concurrency-limit.js';

/** Properties of a request that admission depends on. */
export interface AdmissionRequest {
  readonly caller: string;
  readonly route: string;
  /** Deadline in milliseconds on the clock of `performance.now()`. */
  readonly deadline: number;
  /** Priority; 0 is the highest. */
  readonly rank: number;
  /**
   * Time after which an answer is late, in milliseconds on the clock of
   * `performance.now()`.
   */
  readonly targetAt?: number;
  /** Whether a request that is running on another worker waits for it. */
  readonly isNested?: boolean;
  /** Whether its caller has several unanswered requests on one connection. */
  readonly isBulk?: boolean;
  /** Approximate bytes of the request; 0 if absent. */
  readonly bytes?: number;
}

/** Permit for one request in flight at the worker. */
export interface Slot {
  /** Releases the slot; later calls have no effect. */
  release(outcome: SlotOutcome): void;
  /** Records bytes of a body whose length wasn't known at admission. */
  recordBytes?(bytes: number): void;
  /** Records that the rest of the run takes as long as its answer's reader. */
  endServiceTime?(): void;
}

/** Admission to one worker. */
export interface WorkerAdmission {
  /** Current load of the worker. */
  readonly load: WorkerLoad;
  /** Time of the latest request outcome; `-Infinity` before the first. */
  readonly lastOutcomeAt: number;
  /** Applies the worker's announcement and the limits of its profile. */
  update(slots: number, state: WorkerState, limits: Profile['limits']): void;
  /** Treats the worker as cold, as after its data centre is taken back in. */
  resetToCold(): void;
  /** Records the worker's answer to a probe. */
  recordProbeAnswer(answer: ProbeAnswer): void;
  /** Records that no connection for a probe could be established. */
  recordUnreachable(): void;
  /** Records that the worker crashed, after the runs that it ended. */
  recordCrash?(): void;
  /** Records a load report of the worker. */
  recordLoadReport?(figures: UpstreamLoadReport): void;
  /**
   * Returns whether the worker's reported state is stale, so that a probe is
   * due. Without this method the prober decides.
   *
   * @param lastProbeAt time of the last probe on the admission's clock.
   */
  hasStaleFigures?(lastProbeAt: number): boolean;
  /**
   * Waits for a slot and returns it.
   *
   * @throws RefusalError with verdict `not-run`.
   */
  admit(request: AdmissionRequest, signal: AbortSignal): Promise<Slot>;
}
