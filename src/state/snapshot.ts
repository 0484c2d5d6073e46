/**
 * Snapshots of the whole replicated state as JSON, for nodes that can no longer
 * read the records from which it was derived.
 */
import * as z from 'zod';
import {keyHomeSchema} from '../protocol/records.js';
import type {LoggedRecord} from '../protocol/records.js';
import {parseRecord} from './fold-record.js';
import type {ReplicatedState} from './replicated-state.js';
import {RecordOutcome} from './replicated-state.js';

const homeListSchema = z.strictObject({
  epoch: z.int().min(1),
  homes: z.array(keyHomeSchema),
  handedOver: z.array(keyHomeSchema),
  writtenAtMs: z.number(),
});

const moveSchema = z.strictObject({
  moveId: z.string(),
  fromVersion: z.string(),
  toVersion: z.string(),
  doneByMs: z.number(),
  startedAtMs: z.number(),
  sharePercent: z.number(),
  stage: z.enum(['running', 'done', 'taken-back']),
  evidence: z.string(),
  number: z.int(),
});

const foldedStateSchema: z.ZodType<ReplicatedState> = z.strictObject({
  version: z.int().min(0),
  nextOffset: z.int().min(0),
  configuration: z
    .strictObject({number: z.int().min(1), input: z.unknown()})
    .optional(),
  dataCentres: z.record(
    z.string(),
    z.strictObject({isOut: z.boolean(), number: z.int()}),
  ),
  moves: z.record(z.string(), moveSchema),
  homeLists: z.record(z.string(), z.array(homeListSchema)),
  joins: z.record(
    z.string(),
    z.strictObject({
      incarnation: z.number(),
      peerAddress: z.string(),
      writtenAtMs: z.number(),
    }),
  ),
  recentRecords: z.array(
    z.strictObject({id: z.string(), outcome: z.enum(RecordOutcome)}),
  ),
  malformedCount: z.int().min(0),
  snapshotAtMs: z.number(),
});

/** Parses the state in a snapshot; returns undefined when it is malformed. */
export function parseSnapshot(value: unknown): ReplicatedState | undefined {
  const result = foldedStateSchema.safeParse(value);
  return result.success ? result.data : undefined;
}

/**
 * Finds the newest usable snapshot among records that a reader can't fold
 * because earlier ones have expired. A snapshot is usable when all records
 * after its state are still retained.
 */
export function findSnapshot(
  records: readonly LoggedRecord[],
  firstKeptOffset: number,
): ReplicatedState | undefined {
  let best: ReplicatedState | undefined;
  for (const {data} of records) {
    const parsed = parseRecord(data);
    if (!('record' in parsed) || parsed.record.kind !== 'snapshot') continue;
    const state = parseSnapshot(parsed.record.state);
    if (!state || state.nextOffset < firstKeptOffset) continue;
    if (!best || state.version > best.version) best = state;
  }
  return best;
}
