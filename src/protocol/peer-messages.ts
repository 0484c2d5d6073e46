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
export const nodeInfoSchema = peerSchema.extend({
  dataCentre: z.string().min(1).max(64),
  beaconAddress: z.string().min(3).max(64),
  /** Grows with each change of the description. */
  revision: z.int().min(0),
  isLeaving: z.boolean(),
  workers: z.array(workerSchema),
});

/** A move of a service between versions, as far as it has come. */
export const moveUpdateSchema = z.object({
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
export const peerUpdateSchema = z.object({
  node: nodeInfoSchema,
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
  moves: z.array(moveUpdateSchema),
});

export type PeerName = z.output<typeof peerSchema>;
export type NodeInfo = z.output<typeof nodeInfoSchema>;
export type MoveUpdate = z.output<typeof moveUpdateSchema>;
export type PeerUpdate = z.output<typeof peerUpdateSchema>;

/** Load of the worker of a service. */
export interface ServiceLoad {
  readonly service: string;
  readonly load: WorkerLoad;
}

/** A node's word of itself and of its load, sent as a datagram. */
export interface LoadBeacon {
  readonly nodeId: string;
  readonly incarnation: number;
  /** Of the sender's description; a receiver that has an older one asks. */
  readonly revision: number;
  readonly recordsEnd: number;
  readonly loads: readonly ServiceLoad[];
  /** Present in the regular word, absent in news of load only. */
  readonly introduction?: Introduction;
}

/** The part of a beacon that tells who its sender is and what it wants. */
export interface Introduction {
  readonly node: NodeInfo;
  /** Whether the sender wants to hear of each change of the receiver's load. */
  readonly wantsLoad: boolean;
  /** Whether the receiver is to introduce itself in return. */
  readonly wantsReply: boolean;
}

const FIELD_MARK = '|';
const LIST_MARK = ',';
const LOAD_MARK = '=';
const INTRODUCTION_MARK = '@';
const WORKER_MARK = '+';
const YES = '1';

/** Formats a beacon as a line of fields, which costs less than JSON. */
export function formatBeacon(beacon: LoadBeacon): string {
  const {nodeId, incarnation, revision, recordsEnd, loads} = beacon;
  const parts = loads.map(
    ({service, load}) =>
      `${encodeURIComponent(service)}${LOAD_MARK}${formatWorkerLoad(load)}`,
  );
  return [
    encodeURIComponent(nodeId),
    incarnation,
    revision,
    recordsEnd,
    ...parts,
    ...formatIntroduction(beacon.introduction),
  ].join(FIELD_MARK);
}

function formatIntroduction(introduction: Introduction | undefined): string[] {
  if (!introduction) return [];
  const {node, wantsLoad, wantsReply} = introduction;
  const fields = [
    node.dataCentre,
    node.peerAddress,
    node.beaconAddress,
    formatFlag(node.isLeaving),
    formatFlag(wantsLoad),
    formatFlag(wantsReply),
  ];
  const workers = node.workers.map(({service, version, slots, state}) =>
    formatList(WORKER_MARK, [service, version, String(slots), state]),
  );
  return [formatList(INTRODUCTION_MARK, fields), ...workers];
}

function formatList(mark: string, fields: readonly string[]): string {
  return mark + fields.map(encodeURIComponent).join(LIST_MARK);
}

function formatFlag(isSet: boolean): string {
  return isSet ? YES : '';
}

/** Parses a beacon; undefined when it is malformed. */
export function parseBeacon(text: string): LoadBeacon | undefined {
  const [name, ...rest] = text.split(FIELD_MARK);
  const numbers = rest.slice(0, 3).map(Number);
  const isReadable =
    name && rest.length >= 3 && numbers.every(Number.isSafeInteger);
  if (!isReadable) return undefined;
  const [incarnation, revision, recordsEnd] = numbers as [
    number,
    number,
    number,
  ];
  try {
    const parts = rest.slice(3);
    const nodeId = decodeURIComponent(name);
    const introduction = parseIntroduction(parts, {
      nodeId,
      incarnation,
      revision,
    });
    return {
      nodeId,
      incarnation,
      revision,
      recordsEnd,
      loads: parts.flatMap(parseServiceLoad),
      ...(introduction ? {introduction} : {}),
    };
  } catch {
    // Bytes of some other sender say nothing of a node.
    return undefined;
  }
}

function parseServiceLoad(part: string): ServiceLoad[] {
  const at = part.indexOf(LOAD_MARK);
  if (at <= 0) return [];
  const load = parseWorkerLoad(part.slice(at + 1));
  return load ? [{service: decodeURIComponent(part.slice(0, at)), load}] : [];
}

/** @throws when a part is malformed. */
function parseIntroduction(
  parts: readonly string[],
  {
    nodeId,
    incarnation,
    revision,
  }: Pick<NodeInfo, 'nodeId' | 'incarnation' | 'revision'>,
): Introduction | undefined {
  const own = parts.find(part => part.startsWith(INTRODUCTION_MARK));
  if (own === undefined) return undefined;
  const [dataCentre, peerAddress, beaconAddress, ...flags] = parseList(own);
  const [isLeaving, wantsLoad, wantsReply] = flags.map(flag => flag === YES);
  const workers = parts
    .filter(part => part.startsWith(WORKER_MARK))
    .map(part => {
      const [service, version, slots, state] = parseList(part);
      return {service, version, slots: Number(slots), state};
    });
  const node = nodeInfoSchema.parse({
    nodeId,
    incarnation,
    peerAddress,
    dataCentre,
    beaconAddress,
    revision,
    isLeaving,
    workers,
  });
  return {node, wantsLoad: wantsLoad!, wantsReply: wantsReply!};
}

function parseList(part: string): string[] {
  return part.slice(1).split(LIST_MARK).map(decodeURIComponent);
}
