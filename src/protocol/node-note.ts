/**
 * What a node has confirmed, or has found about its worker, and what must
 * outlive its process: kept in the platform's store and by other nodes. The
 * types are derived from the schemas.
 */
import * as z from 'zod';

/** Bounds a note, which goes into datagram-sized messages and small records. */
const MAX_LEAVING = 16;

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
