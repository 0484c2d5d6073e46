/**
 * Records of the platform log, which is the only place for agreement and
 * durable state. A record contains the version that it builds on, so that the
 * first of two concurrent writers in log order wins, and an id, so that a
 * record that was appended twice is folded once.
 */
import * as z from 'zod';
import {configurationSchema, nameSchema} from './configuration.js';
import {addressSchema} from './settings.js';

/** A key home, identified by its process and not only by its address. */
export const keyHomeSchema = z.strictObject({
  nodeId: nameSchema,
  incarnation: z.number(),
  peerAddress: addressSchema,
});

const commonFields = {
  /** Unique id of the record, chosen by its writer. */
  id: z.string().min(1).max(128),
  /** Name of the operator or id of the node that wrote the record. */
  author: z.string().min(1).max(128),
  /** Time on the writer's clock in milliseconds since 1970. */
  writtenAtMs: z.number(),
  /** Number of the record of the same subject that this record replaces. */
  buildsOn: z.int().min(0),
};

/** Publishes profiles and services as a whole. Subject: the configuration. */
export const configurationRecordSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('configuration'),
  /** Validated by its own schema when folded, but stored as published. */
  configuration: z
    .unknown()
    .refine(
      value => configurationSchema.safeParse(value).success,
      'is not a valid configuration',
    ),
});

/** Takes a data centre out or back in. Subject: the data centre. */
export const dataCentreRecordSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('data-centre'),
  dataCentre: nameSchema,
  out: z.boolean(),
});

/** Starts a move of a service to a version. Subject: the service's move. */
export const moveStartRecordSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('move-start'),
  service: nameSchema,
  moveId: z.string().min(1),
  fromVersion: z.string().min(1),
  toVersion: z.string().min(1),
  /** Time by which the new version must get all traffic, ms since 1970. */
  doneByMs: z.number(),
});

/** Raises the new version's share of traffic. Subject: the service's move. */
export const moveStepRecordSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('move-step'),
  service: nameSchema,
  moveId: z.string().min(1),
  sharePercent: z.number().min(0).max(100),
  evidence: z.string(),
});

/** Ends a move. Subject: the service's move. */
export const moveEndRecordSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('move-end'),
  service: nameSchema,
  moveId: z.string().min(1),
  outcome: z.enum(['done', 'taken-back']),
  evidence: z.string(),
});

/** Lists the key homes of a service. Subject: the service's home list. */
export const homeListRecordSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('home-list'),
  service: nameSchema,
  homes: z.array(keyHomeSchema),
  /** Nodes whose keys were copied to the homes of this list beforehand. */
  handedOver: z.array(keyHomeSchema).default([]),
});

/** Announces a node to joining nodes while no peer answers. Subject: none. */
export const joinRecordSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('join'),
  nodeId: nameSchema,
  incarnation: z.number(),
  peerAddress: addressSchema,
});

/** Replicated state, appended before older records expire. */
export const snapshotRecordSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('snapshot'),
  /** Offset after the last record that the snapshot contains. */
  upToOffset: z.number(),
  state: z.unknown(),
});

/** Schema of any record of the log. */
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

/** A record with its offset in the log. */
export interface LoggedRecord {
  readonly offset: number;
  /** JSON text as appended; it may be malformed. */
  readonly data: string;
}
