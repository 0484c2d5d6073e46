/**
 * Messages between nodes that find each other through the platform's store:
 * descriptions of the nodes and of the workers on their hosts, and operators'
 * records that the receiver may lack. The types are derived from the schemas.
 */
import * as z from 'zod';
import {parseAddress} from './node-identity.js';
import {agedCrashSchema, crashRecordSchema} from './crash-record.js';
import {nodeNoteSchema} from './node-note.js';
import type {RecordPosition} from './record-position.js';
import {addressSchema} from './settings.js';
import type {WorkerLoad} from './worker-load.js';
import {formatWorkerLoad, parseWorkerLoad, WorkerState} from './worker-load.js';

/** Far above what a node sends; bounds what an unknown sender can add. */
const MAX_CRASHES = 256;
const offsetSchema = z.int().min(0);
/** Era of the store; absent in messages of nodes that know of none. */
const eraSchema = z.int().min(0).default(0);

/** Sending to port 0, or to none, throws instead of failing later. */
const peerAddressSchema = addressSchema.refine(
  text => parseAddress(text).port > 0,
  'nothing can be sent to port 0',
);

const peerSchema = z.object({
  nodeId: z.string().min(1).max(128),
  incarnation: z.int().min(0),
  peerAddress: peerAddressSchema,
});

/** A worker as the node on its host describes it. */
const workerSchema = z.object({
  service: z.string().min(1).max(64),
  version: z.string().min(1).max(64),
  slots: z.int().min(1),
  state: z.enum(WorkerState),
});

/** A node as it describes itself. */
export const nodeInfoSchema = peerSchema.extend({
  dataCentre: z.string().min(1).max(64),
  beaconAddress: peerAddressSchema,
  /** Increases with each change of the description. */
  revision: z.int().min(0),
  isLeaving: z.boolean(),
  workers: z.array(workerSchema),
});

/** Progress of a move of a service between versions. */
export const moveUpdateSchema = z.object({
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

/** Crash reports, which the receiver forwards to the addresses. */
export const crashPushSchema = z.object({
  reports: z.array(crashRecordSchema).max(MAX_CRASHES),
  forwardTo: z.array(peerAddressSchema),
});

/** A message between two nodes, in either direction. */
export const peerUpdateSchema = z.object({
  node: nodeInfoSchema,
  /** Other nodes that the sender knows. */
  peers: z.array(peerSchema),
  /** Offset after the last of the operators' records that the sender has. */
  recordsEnd: offsetSchema,
  /** Era of the store in which `recordsEnd` is valid. */
  recordsEra: eraSchema,
  /** Whether the reply is to contain the records from `recordsEnd` on. */
  wantsRecords: z.boolean(),
  /** Records that the receiver requested. */
  records: z.array(
    z.object({
      key: z.string(),
      era: eraSchema,
      offset: offsetSchema,
      value: z.string().optional(),
    }),
  ),
  moves: z.array(moveUpdateSchema),
  /** Notes of the sender, and those that it keeps of the receiver. */
  notes: z.array(nodeNoteSchema).default([]),
  /** Crashes of any node's worker that still matter. */
  crashes: z.array(agedCrashSchema).max(MAX_CRASHES).default([]),
});

export type PeerIdentity = z.output<typeof peerSchema>;
export type NodeInfo = z.output<typeof nodeInfoSchema>;
export type MoveUpdate = z.output<typeof moveUpdateSchema>;
export type CrashPush = z.output<typeof crashPushSchema>;
export type PeerUpdate = z.output<typeof peerUpdateSchema>;

/** Returns the position after the last record that an update's sender has. */
export function findRecordsEnd({
  recordsEra: era,
  recordsEnd: offset,
}: PeerUpdate): RecordPosition {
  return {era, offset};
}

/** Load of the worker of a service. */
export interface ServiceLoad {
  readonly service: string;
  readonly load: WorkerLoad;
}

/** An answer of the store to any node, as known to one of them. */
export interface StoreAnswer {
  /** Higher than the numbers of the answers that its receiver knew of. */
  readonly number: number;
  /** Milliseconds since the answer; infinite if there was none. */
  readonly ageMs: number;
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
  /** Position after the last of the operators' records that the sender has. */
  readonly recordsEnd: RecordPosition;
  /** The last answer of the store, which showed no later records. */
  readonly storeAnswer: StoreAnswer;
  readonly loads: readonly ServiceLoad[];
  /** Present in periodic datagrams, absent in those that report load only. */
  readonly introduction?: Introduction;
}

/** The sender's full description in a load datagram, with its requests. */
export interface Introduction {
  readonly node: NodeInfo;
  /** Whether the sender subscribes to changes of the receiver's load. */
  readonly wantsLoad: boolean;
  /** Whether the receiver is to reply with its own introduction. */
  readonly wantsReply: boolean;
}

const FIELD_SEPARATOR = '|';
const LIST_SEPARATOR = ',';
const LOAD_SEPARATOR = '=';
const INTRODUCTION_PREFIX = '@';
const WORKER_PREFIX = '+';
const ERA_PREFIX = '~';
const ANSWER_PREFIX = '!';
const FLAG_SET = '1';

/** Formats a load datagram as a line of fields, which is cheaper than JSON. */
export function formatBeacon(beacon: LoadBeacon): string {
  const {nodeId, incarnation, revision, recordsEnd, storeAnswer, loads} =
    beacon;
  const fields = loads.map(
    ({service, load}) =>
      `${encodeURIComponent(service)}${LOAD_SEPARATOR}${formatWorkerLoad(load)}`,
  );
  return [
    encodeURIComponent(nodeId),
    incarnation,
    revision,
    recordsEnd.offset,
    ...formatEra(recordsEnd),
    formatStoreAnswer(storeAnswer),
    ...fields,
    ...formatIntroduction(beacon.introduction),
  ].join(FIELD_SEPARATOR);
}

function formatStoreAnswer({number, ageMs}: StoreAnswer): string {
  return `${ANSWER_PREFIX}${number}${LIST_SEPARATOR}${ageMs}`;
}

/** Formats an era; the first one has no field. */
function formatEra({era}: RecordPosition): string[] {
  return era === 0 ? [] : [`${ERA_PREFIX}${era}`];
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
    formatList(WORKER_PREFIX, [service, version, String(slots), state]),
  );
  return [formatList(INTRODUCTION_PREFIX, fields), ...workers];
}

function formatList(prefix: string, fields: readonly string[]): string {
  return prefix + fields.map(encodeURIComponent).join(LIST_SEPARATOR);
}

function formatFlag(isSet: boolean): string {
  return isSet ? FLAG_SET : '';
}

/** Finds the description of a node in one of its revisions, if it is known. */
export type FindDescription = (
  name: Pick<NodeInfo, 'nodeId' | 'incarnation' | 'revision'>,
) => NodeInfo | undefined;

/**
 * Parses a load datagram; returns undefined if it is malformed.
 *
 * @param findDescription finds descriptions that need not be parsed again, as
 *     most introductions repeat one.
 */
export function parseBeacon(
  text: string,
  findDescription: FindDescription = () => undefined,
): LoadBeacon | undefined {
  const [name, ...rest] = text.split(FIELD_SEPARATOR);
  const numbers = rest.slice(0, 3).map(Number);
  const isReadable =
    name && rest.length >= 3 && numbers.every(Number.isSafeInteger);
  if (!isReadable) return undefined;
  const [incarnation, revision, offset] = numbers as [number, number, number];
  try {
    const fields = rest.slice(3);
    const nodeId = decodeURIComponent(name);
    const introduction = parseIntroduction(
      fields,
      {nodeId, incarnation, revision},
      findDescription,
    );
    return {
      nodeId,
      incarnation,
      revision,
      recordsEnd: {era: parseEra(fields), offset},
      storeAnswer: parseStoreAnswer(fields),
      loads: fields.flatMap(parseServiceLoad),
      ...(introduction ? {introduction} : {}),
    };
  } catch {
    // Datagrams from unknown senders may contain anything.
    return undefined;
  }
}

/** Parses the store's last answer; a malformed one counts as none. */
function parseStoreAnswer(fields: readonly string[]): StoreAnswer {
  const field = fields.find(one => one.startsWith(ANSWER_PREFIX));
  const [number, ageMs] =
    field?.slice(ANSWER_PREFIX.length).split(LIST_SEPARATOR).map(Number) ?? [];
  const isReadable = Number.isSafeInteger(number) && Number(ageMs) >= 0;
  return isReadable
    ? {number: number!, ageMs: ageMs!}
    : {number: 0, ageMs: Infinity};
}

/** @throws when the field is malformed. */
function parseEra(fields: readonly string[]): number {
  const field = fields.find(one => one.startsWith(ERA_PREFIX));
  const era = field === undefined ? 0 : Number(field.slice(ERA_PREFIX.length));
  if (!Number.isSafeInteger(era) || era < 0) throw new RangeError('bad era');
  return era;
}

function parseServiceLoad(field: string): ServiceLoad[] {
  const at = field.indexOf(LOAD_SEPARATOR);
  if (at <= 0) return [];
  const load = parseWorkerLoad(field.slice(at + 1));
  return load ? [{service: decodeURIComponent(field.slice(0, at)), load}] : [];
}

/** @throws when a field is malformed. */
function parseIntroduction(
  fields: readonly string[],
  name: Pick<NodeInfo, 'nodeId' | 'incarnation' | 'revision'>,
  findDescription: FindDescription,
): Introduction | undefined {
  const introductionField = fields.find(field =>
    field.startsWith(INTRODUCTION_PREFIX),
  );
  if (introductionField === undefined) return undefined;
  const [dataCentre, peerAddress, beaconAddress, ...flags] =
    parseList(introductionField);
  const [isLeaving, wantsLoad, wantsReply] = flags.map(
    flag => flag === FLAG_SET,
  );
  const node =
    findDescription(name) ??
    nodeInfoSchema.parse({
      ...name,
      peerAddress,
      dataCentre,
      beaconAddress,
      isLeaving,
      workers: fields.flatMap(parseWorker),
    });
  return {node, wantsLoad: wantsLoad!, wantsReply: wantsReply!};
}

function parseWorker(field: string): object[] {
  if (!field.startsWith(WORKER_PREFIX)) return [];
  const [service, version, slots, state] = parseList(field);
  return [{service, version, slots: Number(slots), state}];
}

function parseList(field: string): string[] {
  return field.slice(1).split(LIST_SEPARATOR).map(decodeURIComponent);
}
