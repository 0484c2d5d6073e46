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

/** What became of a record when it was folded. */
export const RecordOutcome = {
  /** It took effect. */
  ACCEPTED: 'accepted',
  /** An earlier record took its place, or its subject had ended. */
  SUPERSEDED: 'superseded',
} as const;

export type RecordOutcome = (typeof RecordOutcome)[keyof typeof RecordOutcome];

/** A record that was folded lately, so that a doubled one folds once. */
export interface FoldedRecordId {
  readonly id: string;
  readonly outcome: RecordOutcome;
}

/** A node that announced itself in the log. */
export interface JoinedNode {
  readonly incarnation: number;
  readonly peerAddress: string;
  readonly writtenAtMs: number;
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
  /** Nodes that joined, by id; the newest ones only. */
  readonly joins: Readonly<Record<string, JoinedNode>>;
  /** Ids of the newest records, oldest first. */
  readonly recentRecords: readonly FoldedRecordId[];
  /** Records that were skipped because they were malformed. */
  readonly malformedCount: number;
  /**
   * Writer's clock in the newest snapshot record, or in the first record
   * while there is no snapshot; 0 before any record.
   */
  readonly snapshotAtMs: number;
}

/** The state before the first record. */
export const EMPTY_STATE: FoldedState = {
  version: 0,
  nextOffset: 0,
  dataCentres: {},
  moves: {},
  homeLists: {},
  joins: {},
  recentRecords: [],
  malformedCount: 0,
  snapshotAtMs: 0,
};
