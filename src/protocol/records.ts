/**
 * Records of the platform log, the only place where anything is agreed or
 * kept. A record names the version that it builds on, so that of two racing
 * writers the first in log order wins, and an id, so that a doubled append
 * folds once.
 */
import * as z from 'zod';
import {configurationSchema, nameSchema} from './configuration.js';
import {addressSchema} from './settings.js';

/** One key home: a process, not only an address. */
export const keyHomeSchema = z.strictObject({
  nodeId: nameSchema,
  incarnation: z.number(),
  peerAddress: addressSchema,
});

const base = {
  /** Unique id of the record, chosen by its writer. */
  id: z.string().min(1).max(128),
  /** Who wrote it: an operator's name or a node id. */
  author: z.string().min(1).max(128),
  /** Writer's clock in milliseconds since 1970. */
  writtenAtMs: z.number(),
  /** Number of the record of the same subject that this one replaces. */
  buildsOn: z.int().min(0),
};

/** Publishes profiles and services as a whole. Subject: the configuration. */
export const configurationRecordSchema = z.strictObject({
  ...base,
  kind: z.literal('configuration'),
  /** Checked by its own schema when folded; kept as published. */
  configuration: z
    .unknown()
    .refine(
      value => configurationSchema.safeParse(value).success,
      'is no valid configuration',
    ),
});

/** Takes a data centre out or brings it back. Subject: the data centre. */
export const dataCentreRecordSchema = z.strictObject({
  ...base,
  kind: z.literal('data-centre'),
  dataCentre: nameSchema,
  out: z.boolean(),
});

/** Starts a move of a service to a version. Subject: the service's move. */
export const moveStartRecordSchema = z.strictObject({
  ...base,
  kind: z.literal('move-start'),
  service: nameSchema,
  moveId: z.string().min(1),
  fromVersion: z.string().min(1),
  toVersion: z.string().min(1),
  /** Time by which all traffic must be at the new version, ms since 1970. */
  doneByMs: z.number(),
});

/** Raises the share of the new version. Subject: the service's move. */
export const moveStepRecordSchema = z.strictObject({
  ...base,
  kind: z.literal('move-step'),
  service: nameSchema,
  moveId: z.string().min(1),
  sharePercent: z.number().min(0).max(100),
  evidence: z.string(),
});

/** Ends a move for good. Subject: the service's move. */
export const moveEndRecordSchema = z.strictObject({
  ...base,
  kind: z.literal('move-end'),
  service: nameSchema,
  moveId: z.string().min(1),
  outcome: z.enum(['done', 'taken-back']),
  evidence: z.string(),
});

/** Names the key homes of a service. Subject: the service's home list. */
export const homeListRecordSchema = z.strictObject({
  ...base,
  kind: z.literal('home-list'),
  service: nameSchema,
  homes: z.array(keyHomeSchema),
  /** Nodes whose keys were copied to the homes of this list before it. */
  handedOver: z.array(keyHomeSchema).default([]),
});

/** Tells newcomers of a node while no peer answers. Subject: none. */
export const joinRecordSchema = z.strictObject({
  ...base,
  kind: z.literal('join'),
  nodeId: nameSchema,
  incarnation: z.number(),
  peerAddress: addressSchema,
});

/** The folded state, appended again before older records expire. */
export const snapshotRecordSchema = z.strictObject({
  ...base,
  kind: z.literal('snapshot'),
  /** Offset after the last record that the snapshot holds. */
  upToOffset: z.number(),
  state: z.unknown(),
});

/** Any record of the log. */
export const logRecordSchema = z.discriminatedUnion('kind', [
  configurationRecordSchema,
  dataCentreRecordSchema,
  moveStartRecordSchema,
  moveStepRecordSchema,
  moveEndRecordSchema,
  homeListRecordSchema,
  joinRecordSchema,
  snapshotRecordSchema,
]);

export type KeyHome = z.output<typeof keyHomeSchema>;
export type LogRecord = z.output<typeof logRecordSchema>;
export type LogRecordKind = LogRecord['kind'];
export type RecordOfKind<K extends LogRecordKind> = Extract<
  LogRecord,
  {kind: K}
>;

/** A record with its place in the log. */
export interface LoggedRecord {
  readonly offset: number;
  /** JSON text as appended; it may be malformed. */
  readonly data: string;
}
