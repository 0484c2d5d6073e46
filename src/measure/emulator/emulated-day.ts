/**
 * Input and outcome of an emulated day of load.
 */

/** Calls that a request makes in sequence while it holds a slot. */
export interface EmulatedCalls {
  /** Name of the kind that is called. */
  readonly kind: string;
  /** Number of calls per request. */
  readonly times: number;
  /** Fraction of the requests that make these calls. */
  readonly fraction: number;
}

/** A kind of request. */
export interface EmulatedKind {
  readonly name: string;
  readonly service: string;
  /** Arrival rate; 0 for a kind that is only called by other requests. */
  readonly perSecond: number;
  /** Median processing time on a host at its usual speed. */
  readonly workMs: number;
  /** Time from the arrival within which an answer counts as in time. */
  readonly targetMs: number;
  /** Time from the arrival after which the caller gives up. */
  readonly deadlineMs: number;
  /** Priority; 0 is the highest. */
  readonly rank: number;
  /** Value of an answer in time, relative to the other kinds. */
  readonly worth: number;
  readonly calls?: EmulatedCalls;
}

/** A service and its workers. */
export interface EmulatedService {
  readonly name: string;
  readonly workers: number;
  readonly slots: number;
}

/** A day to emulate. */
export interface HeavyDay {
  readonly seed: string;
  readonly seconds: number;
  readonly services: readonly EmulatedService[];
  /** Number of nodes that take requests; the first ones host a worker each. */
  readonly nodes: number;
  readonly kinds: readonly EmulatedKind[];
  /** One-way network delay between two nodes. */
  readonly networkMs: number;
  /** Processor time that a node spends on one message. */
  readonly handlingMs: number;
}

/** Counts of the requests of one kind by outcome. */
export interface KindOutcome {
  all: number;
  inTime: number;
  late: number;
  refused: number;
  /** Requests that ran but failed or missed the deadline. */
  failed: number;
  /** Runs that failed because a call that they made failed. */
  lostRuns: number;
}

/** Outcome of a day. */
export interface DayOutcome {
  readonly byKind: Readonly<Record<string, KindOutcome>>;
  /**
   * Worth of the answers in time, as a fraction of the worth of all requests.
   */
  readonly worth: number;
  /** Number of requests sent to gates, refused ones included. */
  readonly asks: number;
}
