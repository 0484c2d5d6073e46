/**
 * Settings of the operators' command: addresses of the platform log and of some
 * nodes. Flags override the settings file.
 */
import {userInfo} from 'node:os';
import * as z from 'zod';
import {nameSchema} from '../protocol/configuration.js';
import {buildDurationSchema} from '../protocol/quantities.js';
import {
  addressSchema,
  formatFaults,
  readTomlFile,
  SettingsError,
} from '../protocol/settings.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Settings of the operators' command. */
export const controlSettingsSchema = z.strictObject({
  platformLog: z.strictObject({
    address: addressSchema,
    name: nameSchema,
    /** Longest wait for an answer of the log. */
    timeLimit: buildDurationSchema(10, MINUTE_MS).prefault('2s'),
  }),
  /** Caller addresses of some nodes, which know the others. */
  nodes: z.array(addressSchema).default([]),
  /** Author of published records. */
  author: z.string().min(1).max(128).optional(),
  /** Longest wait for acceptance, and then again until in force. */
  timeLimit: buildDurationSchema(100, HOUR_MS).prefault('30s'),
});

export type ControlSettings = z.output<typeof controlSettingsSchema>;

/** Flags that all commands share. */
export interface SharedFlags {
  readonly settings?: string;
  readonly log?: string;
  readonly logName?: string;
  readonly node?: readonly string[];
  readonly author?: string;
  readonly timeLimit?: string;
  readonly json?: boolean;
}

const FLAGS_SOURCE = 'flags';

/**
 * Reads the settings file, if one is given, and overrides it with the flags.
 *
 * @throws SettingsError naming file or flags, key and what is allowed.
 */
export function readControlSettings(flags: SharedFlags): ControlSettings {
  const overrides = {
    ...(flags.node ? {nodes: flags.node} : {}),
    ...(flags.author === undefined ? {} : {author: flags.author}),
    ...(flags.timeLimit === undefined ? {} : {timeLimit: flags.timeLimit}),
  };
  const log = {
    ...(flags.log === undefined ? {} : {address: flags.log}),
    ...(flags.logName === undefined ? {} : {name: flags.logName}),
  };
  const base: Record<string, unknown> = flags.settings
    ? readTomlFile(flags.settings, rawSchema)
    : {};
  const platformLog = {...(base['platformLog'] as object | undefined), ...log};
  const result = controlSettingsSchema.safeParse({
    ...base,
    ...overrides,
    platformLog,
  });
  if (result.success) return result.data;
  const source = flags.settings ?? FLAGS_SOURCE;
  throw new SettingsError(
    source,
    formatFaults(result.error, controlSettingsSchema),
  );
}

/** Returns the author of records, by default the name of the system user. */
export function findAuthor(settings: ControlSettings): string {
  return settings.author ?? userInfo().username;
}

const rawSchema = z.record(z.string(), z.unknown());
