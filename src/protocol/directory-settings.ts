/**
 * Settings of a node that finds the others through a directory in the
 * platform's store and stands beside one worker. They come from a template, so
 * every figure that a deployment bounds has a key here.
 */
import * as z from 'zod';
import {buildDurationSchema} from './quantities.js';
import {addressSchema, nodeSettingsSchema} from './settings.js';

const MINUTE_MS = 60_000;

export const directorySettingsSchema = z.strictObject({
  node: z.strictObject({
    id: z.string().min(1).max(128),
    dataCentre: z.string().min(1).max(64),
    /** Service of the worker on this host, the origin of what it calls. */
    service: z.string().min(1).max(64),
    callerAddress: addressSchema,
    peerAddress: addressSchema,
    /** Where load datagrams of other nodes arrive. */
    beaconAddress: addressSchema,
    readinessAddress: addressSchema,
    /** Where the worker on this host reports. */
    reportAddress: addressSchema,
    metricsAddress: addressSchema,
    /** The worker on this host. */
    upstreamAddress: addressSchema,
  }),
  store: z.strictObject({
    address: addressSchema,
    /** Longest wait for one answer beyond the wait of a long poll. */
    timeLimit: buildDurationSchema(10, MINUTE_MS).prefault('1s'),
    /** Longest wait of one read for a new record. */
    pollWait: buildDurationSchema(100, MINUTE_MS).prefault('15s'),
  }),
  limits: z.strictObject({
    /** Retries that reach workers, as a share of the requests of a service. */
    retryRatio: z.number().min(0).max(1),
    /** Such retries beyond the share, over the whole deployment. */
    retryExtra: z.number().min(0),
    /** Share of a service that an unproven version may get. */
    trialShare: z.number().min(0).max(1),
    /** Probes per second that one worker bears. */
    probesPerSecond: z.number().min(0),
    /** Time from a stop signal to the end of the process. */
    grace: buildDurationSchema(100, 10 * MINUTE_MS),
    /** Time between two reports of the worker. */
    reportInterval: buildDurationSchema(10, MINUTE_MS),
  }),
  logging: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

export type DirectorySettings = z.output<typeof directorySettingsSchema>;

/** Silence after which a sent attempt is asked for on a new connection. */
const ACKNOWLEDGE_TIMEOUT = '500ms';

/** Connections between nodes that have a directory. */
export const DIRECTORY_CONNECTIONS = nodeSettingsSchema.shape.connections.parse(
  {
    acknowledgeTimeout: ACKNOWLEDGE_TIMEOUT,
    connectTimeout: '300ms',
    idleTimeout: '8s',
  },
);
