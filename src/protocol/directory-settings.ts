/**
 * Settings of a node that finds the others through a directory in the
 * platform's store and has one worker on its host. The settings come from a
 * template, so every value that a deployment limits has a key here.
 */
import * as z from 'zod';
import {buildDurationSchema, buildSizeSchema} from './quantities.js';
import {addressSchema, nodeSettingsSchema} from './settings.js';

const MINUTE_MS = 60_000;
const MIB = 1024 * 1024;

export const directorySettingsSchema = z.strictObject({
  node: z.strictObject({
    id: z.string().min(1).max(128),
    dataCentre: z.string().min(1).max(64),
    /** Service of the worker on this host; its own calls originate there. */
    service: z.string().min(1).max(64),
    callerAddress: addressSchema,
    peerAddress: addressSchema,
    /** UDP address that receives load datagrams of other nodes. */
    beaconAddress: addressSchema,
    readinessAddress: addressSchema,
    /** Address that receives the reports of the worker on this host. */
    reportAddress: addressSchema,
    metricsAddress: addressSchema,
    /** Address of the worker on this host. */
    upstreamAddress: addressSchema,
  }),
  store: z.strictObject({
    address: addressSchema,
    /** Timeout of one answer, in addition to the wait of a long poll. */
    timeLimit: buildDurationSchema(10, MINUTE_MS).prefault('1s'),
    /** Maximum time that a read waits for a new record (long poll). */
    pollWait: buildDurationSchema(100, MINUTE_MS).prefault('15s'),
  }),
  /** Limits of the deployment; the defaults hold where it names none. */
  limits: z
    .strictObject({
      /** Ratio of retries that reach workers to the requests of a service. */
      retryRatio: z.number().min(0).max(1).default(0.1),
      /** Retries allowed in addition to `retryRatio`, in the whole deployment. */
      retryExtra: z.number().min(0).default(20),
      /** Maximum fraction of a service's traffic for a version in its trial. */
      trialShare: z.number().min(0).max(1).default(0.05),
      /** Maximum probes per second of one worker. */
      probesPerSecond: z.number().min(0).default(1),
      /** Maximum time from a stop signal to the end of the process. */
      grace: buildDurationSchema(100, 10 * MINUTE_MS).prefault('5s'),
      /** Interval between reports of the worker. */
      reportInterval: buildDurationSchema(10, MINUTE_MS).prefault('2s'),
      /** Maximum memory held for one connection to this node. */
      heldPerConnection: buildSizeSchema(MIB, 1024 * MIB).prefault('16MiB'),
      /**
       * Maximum memory held for all connections to this node together; by
       * default a quarter of `processMemoryMb`, 32 MiB without it.
       */
      heldPerNode: buildSizeSchema(MIB, 1024 * MIB).optional(),
      /** Memory of the process in units of 1,000,000 bytes. */
      processMemoryMb: z.number().min(0).optional(),
      /** Open descriptors of the process; 4096 or the system's, if absent. */
      processDescriptors: z.number().min(0).optional(),
    })
    .prefault({}),
  scheduling: z
    .strictObject({
      /**
       * Whether routing, admission and refusals follow the demand in each data
       * centre and for each kind of request; see docs/design/hard-load.md.
       */
      demandAware: z.boolean().default(false),
    })
    .prefault({}),
  logging: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

export type DirectorySettings = z.output<typeof directorySettingsSchema>;

/**
 * Time without acknowledgement after which the outcome of an attempt is queried
 * on a new connection.
 */
const ACKNOWLEDGE_TIMEOUT = '500ms';

/** Connection settings between nodes that have a directory. */
export const DIRECTORY_CONNECTIONS = nodeSettingsSchema.shape.connections.parse(
  {
    acknowledgeTimeout: ACKNOWLEDGE_TIMEOUT,
    connectTimeout: '300ms',
    idleTimeout: '8s',
  },
);
