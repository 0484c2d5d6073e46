/**
 * What an emulated day consists of, and how it went.
 */

/** Calls that a request makes, one after the other, while it holds a slot. */
export interface EmulatedCalls {
  readonly kind: string;
  readonly times: number;
  /** Part of the requests that make them. */
  readonly share: number;
}

/** One kind of request. */
export interface EmulatedKind {
  readonly name: string;
  readonly service: string;
  /** 0 for a kind that only other requests call. */
  readonly perSecond: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly rank: number;
  readonly worth: number;
  readonly calls?: EmulatedCalls;
}

/** One service. */
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
  /** Nodes that requests enter at; the first ones stand beside a worker. */
  readonly nodes: number;
  readonly kinds: readonly EmulatedKind[];
  /** One way between two nodes. */
  readonly networkMs: number;
  /** Processor time of a node for one message of an attempt. */
  readonly handlingMs: number;
}

/** How the requests of one kind ended. */
export interface KindOutcome {
  all: number;
  inTime: number;
  late: number;
  refused: number;
  /** Ran, but not to a good end before the deadline. */
  failed: number;
  /** Runs that ended badly because a call did. */
  lostRuns: number;
}

/** How a day went. */
export interface DayOutcome {
  readonly byKind: Readonly<Record<string, KindOutcome>>;
  /** Worth of the answers in time, as a share of all worth. */
  readonly worth: number;
  /** Gates asked, those that refused included. */
  readonly asks: number;
}
