/**
 * The state that follows from the platform log's records, applied in log
 * order by one deterministic function, so that every node that has read the
 * same records holds the same state.
 */
import type {KeyHome} from '../protocol/records.js';

/** A numbered list of key homes of one service. */
export interface HomeList {
  /** 1 for the first list of the service. */
  readonly epoch: number;
  readonly homes: readonly KeyHome[];
  /** Homes of earlier lists whose keys were copied before this list. */
  readonly handedOver: readonly KeyHome[];
  /** Writer's clock in the record that started this list. */
  readonly writtenAtMs: number;
}

/** A move of a service's traffic from one version to another. */
export interface Move {
  readonly moveId: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  readonly doneByMs: number;
  readonly startedAtMs: number;
  readonly sharePercent: number;
  readonly stage: 'running' | 'done' | 'taken-back';
  /** Evidence that the newest step or the end names. */
  readonly evidence: string;
  /** Number of records folded for this service's moves; `buildsOn` names it. */
  readonly number: number;
}

/** Whether a data centre is out, with the number of its records. */
export interface DataCentreState {
  readonly isOut: boolean;
  readonly number: number;
}

/** Everything that follows from the log. It is plain JSON data. */
export interface FoldedState {
  /** Number of accepted records; only ever grows. */
  readonly version: number;
  /** Offset of the next record to fold. */
  readonly nextOffset: number;
  /** Configuration as published, with its number. */
  readonly configuration?: {readonly number: number; readonly input: unknown};
  readonly dataCentres: Readonly<Record<string, DataCentreState>>;
  readonly moves: Readonly<Record<string, Move>>;
  /** Home lists by service in order of epochs, ended ones included. */
  readonly homeLists: Readonly<Record<string, readonly HomeList[]>>;
}

/** The state before the first record. */
export const EMPTY_STATE: FoldedState = {
  version: 0,
  nextOffset: 0,
  dataCentres: {},
  moves: {},
  homeLists: {},
};
