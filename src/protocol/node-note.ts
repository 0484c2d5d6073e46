/**
 * What a node has confirmed, or has found about its worker, and what must
 * outlive its process: kept in the platform's store and by other nodes. The
 * types are derived from the schemas.
 */
import * as z from 'zod';
import type {NotedCrash} from './crash-record.js';
import {notedCrashSchema} from './crash-record.js';

/** Bounds of a note, which nodes and the store keep for each node. */
const MAX_LEAVING = 16;
const MAX_NOTED_CRASHES = 8;

/** A worker process that was confirmed as leaving. */
export const leavingProcessSchema = z.object({
  instanceId: z.string().min(1).max(128),
  /** Start of the process as Unix time in ms; absent if it did not tell. */
  bornAtMs: z.number().optional(),
  /** Time of the confirmation as Unix time in milliseconds. */
  leftAtMs: z.number(),
});

/** What is kept of one node. */
export const nodeNoteSchema = z.object({
  nodeId: z.string().min(1).max(128),
  leaving: z.array(leavingProcessSchema).max(MAX_LEAVING),
  /** Latest crashes of its worker; in the store only. */
  crashes: z.array(notedCrashSchema).max(MAX_NOTED_CRASHES).default([]),
});

export type LeavingProcess = z.output<typeof leavingProcessSchema>;
export type NodeNote = z.output<typeof nodeNoteSchema>;

/** Builds a key of one process, since a restart may reuse the id. */
export function buildProcessKey({
  instanceId,
  bornAtMs,
}: Pick<LeavingProcess, 'instanceId' | 'bornAtMs'>): string {
  return `${instanceId} ${bornAtMs ?? ''}`;
}

/** Merges lists of leaving processes; the latest are kept. */
export function mergeLeaving(
  ...lists: ReadonlyArray<readonly LeavingProcess[]>
): LeavingProcess[] {
  const byKey = new Map(
    lists.flat().map(process => [buildProcessKey(process), process]),
  );
  return [...byKey.values()]
    .sort((one, other) => one.leftAtMs - other.leftAtMs)
    .slice(-MAX_LEAVING);
}

/** Appends crashes that are not listed yet; the latest are kept. */
export function mergeCrashes(
  known: readonly NotedCrash[],
  added: readonly NotedCrash[],
): NotedCrash[] {
  const ids = new Set(known.map(({crashId}) => crashId));
  const isNew = ({crashId}: NotedCrash): boolean => !ids.has(crashId);
  return [...known, ...added.filter(isNew)].slice(-MAX_NOTED_CRASHES);
}
