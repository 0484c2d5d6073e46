/**
 * Reports of crashes of workers, as nodes and the platform's store exchange
 * them. The types are derived from the schemas.
 */
import * as z from 'zod';

const fingerprintsSchema = z.array(z.string().max(64)).max(1024).readonly();

/** A crash of a worker and the requests that were in it. */
export const crashRecordSchema = z.object({
  crashId: z.string().min(1).max(64),
  service: z.string().max(64),
  /** Fingerprints of the requests whose connection was lost. */
  fingerprints: fingerprintsSchema,
  /** Fingerprints that a worker has answered since the crash. */
  answeredFingerprints: fingerprintsSchema,
  /** Fingerprints that ran as the only suspect, after an earlier crash. */
  suspects: fingerprintsSchema,
});

/** A crash with the time since then, for nodes whose clocks differ. */
export const agedCrashSchema = crashRecordSchema.extend({
  ageMs: z.number().min(0),
});

/** A crash with its time as Unix time in milliseconds, for the store. */
export const notedCrashSchema = crashRecordSchema.extend({atMs: z.number()});

/** A crash report as nodes exchange it. */
export type CrashRecord = Readonly<z.output<typeof crashRecordSchema>>;
export type AgedCrash = Readonly<z.output<typeof agedCrashSchema>>;
export type NotedCrash = Readonly<z.output<typeof notedCrashSchema>>;

/**
 * Sends reports to one node, which forwards them to others; rejects when it
 * does not answer.
 */
export type SendCrashes = (
  peerAddress: string,
  reports: readonly CrashRecord[],
  forwardTo: readonly string[],
) => Promise<void>;
