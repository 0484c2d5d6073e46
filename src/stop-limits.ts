/**
 * Time limits of a planned stop: how long callers have to leave, when running
 * work is cut off, and what is left for closing. All of it must fit into the
 * time after which the platform or an operator kills the process.
 */
import type {NodeSettings} from './protocol/settings.js';

/** Time limits of a stop in milliseconds. */
export interface StopLimits {
  /** Longest wait for callers to leave. They are told to leave within it. */
  readonly lingerTime: number;
  /** Longest time of each task; by default what is left. */
  readonly taskTime?: number;
  /** Time from the beginning until what still runs is cut off. */
  readonly workTime: number;
  /** Longest time after that for closing connections not in use. */
  readonly closeTime: number;
}

/**
 * Fractions of the grace time: for callers to leave and for work to end, both
 * from the beginning of a stop, and for closing connections after that.
 */
const LINGER_FRACTION = 0.42;
const WORK_FRACTION = 0.92;
const CLOSE_FRACTION = 0.05;

/**
 * Computes the limits of a stop after which the process is killed.
 *
 * @param graceMs milliseconds from the stop signal to the kill.
 */
export function computeGraceLimits(graceMs: number): StopLimits {
  return {
    lingerTime: graceMs * LINGER_FRACTION,
    workTime: graceMs * WORK_FRACTION,
    closeTime: graceMs * CLOSE_FRACTION,
  };
}

const CLOSE_TIMEOUT_MS = 1000;

/** Computes the limits of a stop whose tasks and work have a timeout each. */
export function computeStopLimits({
  lingerTime,
  drainTimeout,
}: NodeSettings['stop']): StopLimits {
  return {
    lingerTime,
    taskTime: drainTimeout,
    workTime: lingerTime + 2 * drainTimeout,
    closeTime: CLOSE_TIMEOUT_MS,
  };
}
