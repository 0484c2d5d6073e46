/**
 * Messages between nodes that find each other through the platform's store:
 * descriptions of the nodes and of the workers on their hosts, and operators'
 * records that the receiver may lack. The types are derived from the schemas.
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

/** A worker as the node on its host describes it. */
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
  /** Increases with each change of the description. */
  revision: z.int().min(0),
  isLeaving: z.boolean(),
  workers: z.array(workerSchema),
});

/** Progress of a move of a service between versions. */
export const moveNewsSchema = z.object({
  service: z.string(),
  moveId: z.string(),
  fromVersion: z.string(),
  toVersion: z.string(),
  /** Milliseconds since the order; not a time of day, since clocks differ. */
  elapsedMs: z.number(),
  remainingMs: z.number(),
  sharePercent: z.number(),
  stage: z.enum(['running', 'done', 'taken-back']),
  evidence: z.string(),
  number: z.int(),
});

/** A message between two nodes, in either direction. */
export const peerNewsSchema = z.object({
  node: nodeNewsSchema,
  /** Other nodes that the sender knows. */
  peers: z.array(peerSchema),
  /** Offset after the last of the operators' records that the sender has. */
  recordsEnd: offsetSchema,
  /** Whether the reply is to contain the records from `recordsEnd` on. */
  wantsRecords: z.boolean(),
  /** Records that the receiver requested. */
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

/** A load datagram: a node's identity and the load of its workers. */
export interface LoadBeacon {
  readonly nodeId: string;
  readonly incarnation: number;
  /**
   * Revision of the sender's description; a receiver that has an older one
   * requests the description.
   */
  readonly revision: number;
  /** Offset after the last of the operators' records that the sender has. */
  readonly recordsEnd: number;
  readonly loads: readonly ServiceLoad[];
  /** Present in periodic datagrams, absent in those that report load only. */
  readonly introduction?: Introduction;
}

/** The sender's full description in a load datagram, with its requests. */
export interface Introduction {
  readonly node: NodeNews;
  /** Whether the sender subscribes to changes of the receiver's load. */
  readonly wantsLoad: boolean;
  /** Whether the receiver is to reply with its own introduction. */
  readonly wantsReply: boolean;
}

const FIELD_MARK = '|';
const LIST_MARK = ',';
const LOAD_MARK = '=';
const INTRODUCTION_MARK = '@';
const WORKER_MARK = '+';
const YES = '1';

/** Formats a load datagram as a line of fields, which is cheaper than JSON. */
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

/** Parses a load datagram; returns undefined if it is malformed. */
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
    // Datagrams from unknown senders may contain anything.
    return undefined;
  }
}

function parseServiceLoad(part: string): ServiceLoad[] {
  const at = part.indexOf(LOAD_MARK);
  if (at <= 0) return [];
  const load = parseWorkerLoad(part.slice(at + 1));
  return load ? [{service: decodeURIComponent(part.slice(0, at)), load}] : [];
}

/** @throws when a field is malformed. */
function parseIntroduction(
  parts: readonly string[],
  {
    nodeId,
    incarnation,
    revision,
  }: Pick<NodeNews, 'nodeId' | 'incarnation' | 'revision'>,
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
  const node = nodeNewsSchema.parse({
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
