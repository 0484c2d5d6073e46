/**
 * Handlers that apply each kind of record to the state. A handler returns the
 * new state, or undefined when the record doesn't build on the current version
 * of its subject: of racing writers the first in log order wins.
 */
import type {
  LogRecord,
  LogRecordKind,
  RecordOfKind,
} from '../protocol/records.js';
import type {
  ReplicatedState,
  HomeList,
  JoinedNode,
  Move,
} from './replicated-state.js';

/** Maximum number of nodes whose join records are kept. */
const MAX_REMEMBERED_JOINS = 256;

/** Number of home lists of a service that are kept regardless of age. */
const MIN_KEPT_LISTS = 64;
/** Number of lists after a list from whose timestamps its end is derived. */
const END_TIMESTAMP_SAMPLES = 8;
/** More than twice the longest lifetime of a key. */
const LIST_RETENTION_MS = 50 * 3_600_000;

type RecordHandler<K extends LogRecordKind> = (
  state: ReplicatedState,
  record: RecordOfKind<K>,
) => ReplicatedState | undefined;

const RECORD_HANDLERS: {readonly [K in LogRecordKind]: RecordHandler<K>} = {
  configuration: applyConfiguration,
  'data-centre': applyDataCentre,
  'move-start': applyMoveStart,
  'move-step': applyMoveStep,
  'move-end': applyMoveEnd,
  'home-list': applyHomeList,
  join: applyJoin,
  snapshot: applySnapshot,
};

/** Applies a record; undefined when it is superseded. */
export function applyRecord(
  state: ReplicatedState,
  record: LogRecord,
): ReplicatedState | undefined {
  const handler = RECORD_HANDLERS[record.kind] as RecordHandler<LogRecordKind>;
  return handler(state, record);
}

function applyConfiguration(
  state: ReplicatedState,
  record: RecordOfKind<'configuration'>,
): ReplicatedState | undefined {
  const number = state.configuration?.number ?? 0;
  if (record.buildsOn !== number) return undefined;
  const configuration = {number: number + 1, input: record.configuration};
  return {...state, configuration};
}

function applyDataCentre(
  state: ReplicatedState,
  record: RecordOfKind<'data-centre'>,
): ReplicatedState | undefined {
  const number = state.dataCentres[record.dataCentre]?.number ?? 0;
  if (record.buildsOn !== number) return undefined;
  const changed = {isOut: record.out, number: number + 1};
  return {
    ...state,
    dataCentres: {...state.dataCentres, [record.dataCentre]: changed},
  };
}

function applyMoveStart(
  state: ReplicatedState,
  record: RecordOfKind<'move-start'>,
): ReplicatedState | undefined {
  const known = state.moves[record.service];
  const number = known?.number ?? 0;
  const isFree = known?.stage !== 'running' && known?.moveId !== record.moveId;
  if (!isFree || record.buildsOn !== number) return undefined;
  if (record.fromVersion === record.toVersion) return undefined;
  return updateMove(state, record.service, {
    moveId: record.moveId,
    fromVersion: record.fromVersion,
    toVersion: record.toVersion,
    doneByMs: record.doneByMs,
    startedAtMs: record.writtenAtMs,
    sharePercent: 0,
    stage: 'running',
    evidence: '',
    number: number + 1,
  });
}

function applyMoveStep(
  state: ReplicatedState,
  record: RecordOfKind<'move-step'>,
): ReplicatedState | undefined {
  const move = findRunningMove(state, record);
  if (!move || record.buildsOn !== move.number) return undefined;
  if (record.sharePercent <= move.sharePercent) return undefined;
  return updateMove(state, record.service, {
    ...move,
    sharePercent: record.sharePercent,
    evidence: record.evidence,
    number: move.number + 1,
  });
}

/**
 * Ends a move. An end that takes the move back needs only the move's id: a step
 * that precedes it in log order must not keep a bad version in service.
 */
function applyMoveEnd(
  state: ReplicatedState,
  record: RecordOfKind<'move-end'>,
): ReplicatedState | undefined {
  const move = findRunningMove(state, record);
  if (!move) return undefined;
  const isDone = record.outcome === 'done';
  if (isDone && record.buildsOn !== move.number) return undefined;
  return updateMove(state, record.service, {
    ...move,
    sharePercent: isDone ? 100 : 0,
    stage: record.outcome,
    evidence: record.evidence,
    number: move.number + 1,
  });
}

function findRunningMove(
  state: ReplicatedState,
  record: RecordOfKind<'move-step' | 'move-end'>,
): Move | undefined {
  const move = state.moves[record.service];
  const isRunning = move?.moveId === record.moveId && move.stage === 'running';
  return isRunning ? move : undefined;
}

function updateMove(
  state: ReplicatedState,
  service: string,
  move: Move,
): ReplicatedState {
  return {...state, moves: {...state.moves, [service]: move}};
}

function applyHomeList(
  state: ReplicatedState,
  record: RecordOfKind<'home-list'>,
): ReplicatedState | undefined {
  const lists = state.homeLists[record.service] ?? [];
  const epoch = lists.at(-1)?.epoch ?? 0;
  if (record.buildsOn !== epoch) return undefined;
  const added = {
    epoch: epoch + 1,
    homes: record.homes,
    handedOver: record.handedOver,
    writtenAtMs: record.writtenAtMs,
  };
  return {
    ...state,
    homeLists: {
      ...state.homeLists,
      [record.service]: selectNeededLists([...lists, added]),
    },
  };
}

/**
 * Drops lists that ended so long ago that none of their keys may be resent.
 * Since writers' clocks may be wrong, the current time is the lowest timestamp
 * of many newest lists, and the end of a list is the highest of several
 * timestamps that follow it.
 */
function selectNeededLists(lists: readonly HomeList[]): readonly HomeList[] {
  const times = lists.map(list => list.writtenAtMs);
  const nowMs = Math.min(...times.slice(-MIN_KEPT_LISTS));
  const maxDropped = Math.max(0, lists.length - MIN_KEPT_LISTS);
  let dropped = 0;
  while (dropped < maxDropped) {
    const ends = times.slice(dropped + 1, dropped + 1 + END_TIMESTAMP_SAMPLES);
    if (Math.max(...ends) + LIST_RETENTION_MS > nowMs) break;
    dropped += 1;
  }
  return lists.slice(dropped);
}

function applyJoin(
  state: ReplicatedState,
  record: RecordOfKind<'join'>,
): ReplicatedState | undefined {
  const known = state.joins[record.nodeId];
  if (known && known.incarnation >= record.incarnation) return undefined;
  const {incarnation, peerAddress, writtenAtMs} = record;
  const others = Object.entries(state.joins)
    .filter(([nodeId]) => nodeId !== record.nodeId)
    .slice(1 - MAX_REMEMBERED_JOINS);
  const joined: JoinedNode = {incarnation, peerAddress, writtenAtMs};
  const joins = Object.fromEntries([...others, [record.nodeId, joined]]);
  return {...state, joins};
}

/** Records a snapshot's time; its state equals the one folded already. */
function applySnapshot(
  state: ReplicatedState,
  record: RecordOfKind<'snapshot'>,
): ReplicatedState {
  return {...state, snapshotAtMs: record.writtenAtMs};
}
