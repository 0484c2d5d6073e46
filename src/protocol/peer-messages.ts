/**
 * What nodes that find each other through the platform's store tell each
 * other: who they are, which workers stand beside them, and the operators'
 * records that the other may lack. The schemas are the source of the types.
 */
import * as z from 'zod';
import type {WorkerLoad} from './worker-load.js';
import {formatWorkerLoad, parseWorkerLoad, WorkerState} from './worker-load.js';

const offsetSchema = z.int().min(0);

const peerSchema = z.object({
  nodeId: z.string().min(1).max(128),
  incarnation: z.int().min(0),
  peerAddress: z.string().min(3).max(64),
});

/** A worker as the node beside it describes it. */
const workerSchema = z.object({
  service: z.string().min(1).max(64),
  version: z.string().min(1).max(64),
  slots: z.int().min(1),
  state: z.enum(WorkerState),
});

/** A node as it describes itself. */
export const nodeNewsSchema = peerSchema.extend({
  dataCentre: z.string().min(1).max(64),
  beaconAddress: z.string().min(3).max(64),
  /** Grows with each change of the description. */
  revision: z.int().min(0),
  isLeaving: z.boolean(),
  workers: z.array(workerSchema),
});

/** A move of a service between versions, as far as it has come. */
export const moveNewsSchema = z.object({
  service: z.string(),
  moveId: z.string(),
  fromVersion: z.string(),
  toVersion: z.string(),
  /** Milliseconds since the order, since clocks of hosts differ. */
  elapsedMs: z.number(),
  remainingMs: z.number(),
  sharePercent: z.number(),
  stage: z.enum(['running', 'done', 'taken-back']),
  evidence: z.string(),
  number: z.int(),
});

/** One message between two nodes, in either direction. */
export const peerNewsSchema = z.object({
  node: nodeNewsSchema,
  /** Other nodes that the sender knows. */
  peers: z.array(peerSchema),
  /** Offset up to which the sender knows the operators' records. */
  recordsEnd: offsetSchema,
  /** Whether the answer should bring the records from `recordsEnd` on. */
  wantsRecords: z.boolean(),
  /** Records that the receiver asked for. */
  records: z.array(
    z.object({
      key: z.string(),
      offset: offsetSchema,
      value: z.string().optional(),
    }),
  ),
  moves: z.array(moveNewsSchema),
});

export type PeerName = z.output<typeof peerSchema>;
export type NodeNews = z.output<typeof nodeNewsSchema>;
export type MoveNews = z.output<typeof moveNewsSchema>;
export type PeerNews = z.output<typeof peerNewsSchema>;

/** Load of the worker of a service. */
export interface ServiceLoad {
  readonly service: string;
  readonly load: WorkerLoad;
}

/** Load of a node's workers, sent as a datagram whenever it changes. */
export interface LoadBeacon {
  readonly nodeId: string;
  readonly incarnation: number;
  /** Of the sender's description; a receiver that has an older one asks. */
  readonly revision: number;
  readonly recordsEnd: number;
  readonly loads: readonly ServiceLoad[];
}

/** Formats a beacon as a line of fields. */
export function formatBeacon(beacon: LoadBeacon): string {
  const {nodeId, incarnation, revision, recordsEnd, loads} = beacon;
  const parts = loads.map(
    ({service, load}) => `${service}=${formatWorkerLoad(load)}`,
  );
  return [nodeId, incarnation, revision, recordsEnd, ...parts].join('|');
}

/** Parses a beacon; undefined when it is malformed. */
export function parseBeacon(text: string): LoadBeacon | undefined {
  const [nodeId, incarnation, revision, recordsEnd, ...parts] = text.split('|');
  const numbers = [incarnation, revision, recordsEnd].map(Number);
  if (!nodeId || numbers.some(value => !Number.isSafeInteger(value))) {
    return undefined;
  }
  const loads = parts.flatMap(part => {
    const at = part.indexOf('=');
    const load = parseWorkerLoad(part.slice(at + 1));
    return load ? [{service: part.slice(0, at), load}] : [];
  });
  return {
    nodeId,
    incarnation: numbers[0]!,
    revision: numbers[1]!,
    recordsEnd: numbers[2]!,
    loads,
  };
}
