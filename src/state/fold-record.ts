/**
 * Folds one record of the platform log into the state. The function is pure, so
 * that all nodes that have read the same records hold the same state, whether
 * the records came from the log or from peers.
 */
import type {LoggedRecord, LogRecord} from '../protocol/records.js';
import {logRecordSchema} from '../protocol/records.js';
import type {ReplicatedState} from './replicated-state.js';
import {RecordOutcome} from './replicated-state.js';
import {applyRecord} from './record-handlers.js';

/** Number of newest record ids kept to detect duplicates. */
const MAX_REMEMBERED_RECORD_IDS = 256;

/** Outcomes of folding a record, including those that don't apply it. */
export const FoldOutcome = {
  ...RecordOutcome,
  /** A record with this id was folded before; only the offset advances. */
  DUPLICATE: 'duplicate',
  /** It is not a valid record of a known kind and was skipped. */
  MALFORMED: 'malformed',
  /** Its offset was folded before; nothing changed. */
  OLD: 'old',
  /** Earlier records are missing; nothing changed. */
  GAP: 'gap',
} as const;

export type FoldOutcome = (typeof FoldOutcome)[keyof typeof FoldOutcome];

/** State after a record, and the outcome of the record. */
export interface FoldResult {
  readonly state: ReplicatedState;
  readonly outcome: FoldOutcome;
  /** Why a malformed record was skipped. */
  readonly detail?: string;
}

/** Folds the record at the next offset; any other changes nothing. */
export function foldRecord(
  state: ReplicatedState,
  logged: LoggedRecord,
): FoldResult {
  if (logged.offset < state.nextOffset) {
    return {state, outcome: FoldOutcome.OLD};
  }
  if (logged.offset > state.nextOffset) {
    return {state, outcome: FoldOutcome.GAP};
  }
  const advanced = {...state, nextOffset: logged.offset + 1};
  const parsed = parseRecord(logged.data);
  if ('fault' in parsed) {
    return {
      state: {...advanced, malformedCount: state.malformedCount + 1},
      outcome: FoldOutcome.MALFORMED,
      detail: parsed.fault,
    };
  }
  const {record} = parsed;
  if (state.recentRecords.some(({id}) => id === record.id)) {
    return {state: advanced, outcome: FoldOutcome.DUPLICATE};
  }
  return foldNewRecord(advanced, record);
}

/** Parses the text of a record; returns a fault when it is malformed. */
export function parseRecord(
  data: string,
): {record: LogRecord} | {fault: string} {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch {
    return {fault: 'the record is not valid JSON'};
  }
  const result = logRecordSchema.safeParse(value);
  if (result.success) return {record: result.data};
  const issue = result.error.issues[0];
  return {fault: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`};
}

function foldNewRecord(state: ReplicatedState, record: LogRecord): FoldResult {
  const applied = applyRecord(state, record);
  const outcome = applied ? RecordOutcome.ACCEPTED : RecordOutcome.SUPERSEDED;
  const next = applied ?? state;
  const recentRecords = [
    ...state.recentRecords.slice(1 - MAX_REMEMBERED_RECORD_IDS),
    {id: record.id, outcome},
  ];
  return {
    outcome,
    state: {
      ...next,
      recentRecords,
      version: state.version + (applied ? 1 : 0),
      snapshotAtMs: next.snapshotAtMs || record.writtenAtMs,
    },
  };
}
