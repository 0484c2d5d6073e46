/**
 * Settings of a node, read from a TOML file before the node listens. TOML keys
 * are converted from snake case to camel case. Names never contain underscores,
 * so the conversion cannot change them.
 */
import {readFileSync} from 'node:fs';
import {parse as parseToml, TomlError} from 'smol-toml';
import * as z from 'zod';
import {configurationSchema, nameSchema} from './configuration.js';
import {buildDurationSchema} from './quantities.js';
import {listAllowedKeys} from './schema-keys.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Schema of an IPv4 address with a port, such as `127.0.0.1:7001`. */
export const addressSchema = z
  .string()
  .regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    'allowed: an IP number and a port, such as "127.0.0.1:7001"',
  )
  .refine(
    text =>
      text.split(/[.:]/).every((part, i) => +part <= (i < 4 ? 255 : 65535)),
    'out of range; allowed: 0 to 255 in the IP number, 0 to 65535 for the port',
  );

/** Schema of the settings of a node. */
export const nodeSettingsSchema = z.strictObject({
  node: z.strictObject({
    id: nameSchema,
    dataCentre: nameSchema,
    /** Address for callers, the upstream and operators. */
    callerAddress: addressSchema,
    /** Address for other nodes. */
    peerAddress: addressSchema,
    /** Address to listen on for other nodes; `peerAddress` if absent. */
    peerListenAddress: addressSchema.optional(),
  }),
  platformLog: z.strictObject({
    address: addressSchema,
    name: nameSchema,
    /** Timeout of one answer of the log. */
    timeLimit: buildDurationSchema(10, MINUTE_MS).prefault('2s'),
    /** Maximum time that a read waits for a new record (long poll). */
    pollWait: buildDurationSchema(10, MINUTE_MS).prefault('2s'),
    /** Interval between snapshots; must be well below the log's retention. */
    snapshotInterval: buildDurationSchema(50, 24 * HOUR_MS).prefault('10m'),
  }),
  relay: z
    .strictObject({
      /** Number of peers to which a node pushes each new record. */
      fanout: z.int().min(1).max(20).default(3),
      /** Mean interval between pulls from a random peer. */
      pullInterval: buildDurationSchema(50, MINUTE_MS).prefault('1s'),
      /** Timeout of one answer of a peer. */
      timeLimit: buildDurationSchema(10, MINUTE_MS).prefault('1s'),
    })
    .prefault({}),
  membership: z
    .strictObject({
      /** Peer addresses of some nodes, from which a node learns the others. */
      seeds: z.array(addressSchema).default([]),
      probeInterval: buildDurationSchema(20, MINUTE_MS).prefault('500ms'),
      probeTimeout: buildDurationSchema(10, MINUTE_MS).prefault('200ms'),
      /** Time after which a suspected member is declared dead. */
      suspicionTime: buildDurationSchema(50, 10 * MINUTE_MS).prefault('2s'),
      /**
       * Name that all nodes of one deployment share; defaults to the log's
       * name. Nodes of another deployment are refused, for instance one at an
       * address that a node of this deployment used before.
       */
      deployment: z.string().min(1).max(64).optional(),
    })
    .prefault({}),
  connections: z
    .strictObject({
      /** Local IP address for connections to other nodes; by default any. */
      localAddress: z.ipv4().optional(),
      /** Maximum number of connections to one other node. */
      maxPerNode: z.int().min(1).max(10_000).default(64),
      connectTimeout: buildDurationSchema(10, MINUTE_MS).prefault('250ms'),
      /** Time without acknowledgement after which an attempt is sealed. */
      acknowledgeTimeout: buildDurationSchema(5, MINUTE_MS).prefault('100ms'),
      /** Interval of a gate's acknowledgements of a running attempt. */
      acknowledgeInterval: buildDurationSchema(5, MINUTE_MS).prefault('25ms'),
      /** Idle time after which a kept connection is closed. */
      idleTimeout: buildDurationSchema(100, 10 * MINUTE_MS).prefault('30s'),
    })
    .prefault({}),
  stop: z
    .strictObject({
      /**
       * Time that a planned stop has for handing over keys, and again for
       * running requests; what the first leaves goes to the second.
       */
      drainTimeout: buildDurationSchema(0, 10 * MINUTE_MS).prefault('30s'),
      /**
       * Time for which a stop keeps idle connections open for requests in
       * transit. Callers are told not to reuse connections that were idle for
       * longer.
       */
      lingerTime: buildDurationSchema(0, MINUTE_MS).prefault('5s'),
    })
    .prefault({}),
  metrics: z
    .strictObject({
      /** UDP address of StatsD; no metrics are sent if absent. */
      statsdAddress: addressSchema.optional(),
      prefix: z.string().default('sequoiaspool.'),
    })
    .prefault({}),
  logging: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
  /** Configuration in force until the log's first record is read. */
  configuration: configurationSchema.optional(),
});

export type NodeSettings = z.output<typeof nodeSettingsSchema>;

/** Thrown for invalid settings or configurations; one line per fault. */
export class SettingsError extends Error {
  constructor(
    readonly file: string,
    readonly faults: readonly string[],
  ) {
    super(faults.map(fault => `${file}: ${fault}`).join('\n'));
    this.name = 'SettingsError';
  }
}

/** Converts the keys of parsed TOML from snake case to camel case. */
export function toCamelKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toCamelKeys);
  if (value === null || typeof value !== 'object') return value;
  if (value instanceof Date) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [
      key.replace(/_([a-z])/g, (match: string) =>
        match.charAt(1).toUpperCase(),
      ),
      toCamelKeys(item),
    ]),
  );
}

/** Formats a path of keys as it appears in the file, in snake case. */
export function formatKeyPath(path: readonly PropertyKey[]): string {
  return path
    .map(part =>
      String(part).replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`),
    )
    .join('.');
}

/** Formats the faults that a schema reported, each with its key. */
export function formatFaults(error: z.ZodError, schema?: z.ZodType): string[] {
  return error.issues.map(issue => {
    const path = formatKeyPath(issue.path);
    if (issue.code === 'unrecognized_keys') {
      const keys = issue.keys.map(key => formatKeyPath([key])).join(', ');
      const allowed = schema && listAllowedKeys(schema, issue.path);
      const names = allowed?.map(key => formatKeyPath([key])).join(', ');
      const hint = names === undefined ? '' : `; allowed: ${names}`;
      return `${path ? `${path}: ` : ''}unknown key ${keys}${hint}`;
    }
    if (issue.code === 'invalid_type') {
      const isMissing = issue.message.endsWith('received undefined');
      const fault = isMissing ? 'missing' : 'wrong type';
      return `${path}: ${fault}; allowed: ${formatType(issue.expected)}`;
    }
    return `${path}: ${issue.message}`;
  });
}

function formatType(expected: string): string {
  if (expected === 'object' || expected === 'record') return 'a table';
  if (expected === 'int') return 'a whole number';
  return `${expected === 'array' ? 'an' : 'a'} ${expected}`;
}

/**
 * Parses and validates TOML text with a schema.
 *
 * @throws SettingsError which names the file, the key and the allowed values.
 */
export function parseTomlBySchema<S extends z.ZodType>(
  file: string,
  text: string,
  schema: S,
): z.output<S> {
  let raw: unknown;
  try {
    raw = toCamelKeys(parseToml(text));
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const reason = error.message.split('\n')[0] ?? 'not TOML';
    throw new SettingsError(file, [`line ${error.line}: ${reason}`]);
  }
  const result = schema.safeParse(raw);
  if (!result.success)
    throw new SettingsError(file, formatFaults(result.error, schema));
  return result.data;
}

/**
 * Reads and validates a TOML file with a schema.
 *
 * @throws SettingsError when the file cannot be read or is invalid.
 */
export function readTomlFile<S extends z.ZodType>(
  file: string,
  schema: S,
): z.output<S> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, [`cannot be read: ${String(error)}`]);
  }
  return parseTomlBySchema(file, text, schema);
}
