/**
 * Replicated state, derived from the platform log by folding its records in log
 * order with a deterministic function, so that all nodes that have read the
 * same records hold the same state.
 */
import type {KeyHome} from '../protocol/records.js';

/** A numbered list of the nodes that hold a service's keys (key homes). */
export interface HomeList {
  /** 1 for the first list of the service. */
  readonly epoch: number;
  readonly homes: readonly KeyHome[];
  /** Homes of earlier lists whose keys were copied before this list. */
  readonly handedOver: readonly KeyHome[];
  /** Timestamp of the record that started this list, by its writer's clock. */
  readonly writtenAtMs: number;
}

/** A move of a service's traffic from one version to another. */
export interface Move {
  readonly moveId: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Deadline of the move. */
  readonly doneByMs: number;
  readonly startedAtMs: number;
  /** Share of traffic for the new version; 0 during the trial. */
  readonly sharePercent: number;
  readonly stage: 'running' | 'done' | 'taken-back';
  /** Evidence given by the newest step or by the end. */
  readonly evidence: string;
  /**
   * Number of records folded for this service's moves. The `buildsOn` field of
   * the next record must equal it.
   */
  readonly number: number;
}

/** Whether a data centre is out, and the number of its records so far. */
export interface DataCentreState {
  readonly isOut: boolean;
  readonly number: number;
}

/** Outcome of a well-formed record when it was folded. */
export const RecordOutcome = {
  /** It took effect. */
  ACCEPTED: 'accepted',
  /** An earlier record won the race, or the subject had ended already. */
  SUPERSEDED: 'superseded',
} as const;

export type RecordOutcome = (typeof RecordOutcome)[keyof typeof RecordOutcome];

/** Id and outcome of a recent record, to detect duplicates. */
export interface FoldedRecordId {
  readonly id: string;
  readonly outcome: RecordOutcome;
}

/** A node that announced itself by a join record. */
export interface JoinedNode {
  readonly incarnation: number;
  readonly peerAddress: string;
  readonly writtenAtMs: number;
}

/** Everything derived from the log, as plain JSON data. */
export interface ReplicatedState {
  /** Number of accepted records; never decreases. */
  readonly version: number;
  /** Offset of the next record to fold. */
  readonly nextOffset: number;
  /** Published configuration, before parsing, and its number. */
  readonly configuration?: {readonly number: number; readonly input: unknown};
  readonly dataCentres: Readonly<Record<string, DataCentreState>>;
  readonly moves: Readonly<Record<string, Move>>;
  /** Home lists by service in order of epochs, including ended ones. */
  readonly homeLists: Readonly<Record<string, readonly HomeList[]>>;
  /** Nodes with the newest join records, by id. */
  readonly joins: Readonly<Record<string, JoinedNode>>;
  /** Ids and outcomes of the newest records, oldest first. */
  readonly recentRecords: readonly FoldedRecordId[];
  /** Number of malformed records that were skipped. */
  readonly malformedCount: number;
  /**
   * Timestamp of the newest snapshot record by its writer's clock, or of the
   * first record while there is no snapshot; 0 before any record.
   */
  readonly snapshotAtMs: number;
}

/** The state before the first record. */
export const EMPTY_STATE: ReplicatedState = {
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
