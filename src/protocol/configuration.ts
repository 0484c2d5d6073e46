/**
 * Configuration that operators publish through the platform log: profiles,
 * services and routes. Each service selects a named profile, which holds its
 * routes, limits, time limits, budgets and balancing policy. The types are
 * derived from the schema, and its defaults are the documented ones.
 */
import * as z from 'zod';
import {buildDurationSchema, buildSizeSchema} from './quantities.js';

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const KIB = 1024;
const MIB = 1024 * KIB;

/** Largest values that a profile or route may have. */
export const MAX_BODY_BYTES = 1024 * MIB;
export const MAX_TIME_LIMIT_MS = HOUR_MS;
export const MAX_HEADER_BYTES = MIB;
export const MAX_RETRY_BURST = 1000;
export const MAX_TRIAL_PERCENT = 20;

/** Schema of the names of services, profiles, data centres and routes. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    'allowed: a lower case letter, then letters, digits and "-", at most 63',
  );

/**
 * Policies by which an entry chooses a worker. `random`, `round-robin` and
 * `least-in-flight` are baselines for comparison.
 */
export const BALANCING_POLICIES = [
  'adaptive',
  'random',
  'round-robin',
  'least-in-flight',
  // By the slowdown factor (pace) of the host that workers report, for workers
  // that share their hosts.
  'paced',
] as const;

const routeSchema = z.strictObject({
  name: nameSchema,
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'PATCH']).optional(),
  /** Prefix of the path after the service segment, such as `/tickets`. */
  pathPrefix: z.string().startsWith('/').default('/'),
  /** Whether a request may run more than once; the method decides if absent. */
  idempotent: z.boolean().optional(),
  /** Overrides the profile's time limit. */
  timeLimit: buildDurationSchema(1, MAX_TIME_LIMIT_MS).optional(),
});

const limitsSchema = z.strictObject({
  maxBody: buildSizeSchema(0, MAX_BODY_BYTES).prefault('64MiB'),
  /** Maximum pause between two chunks of a caller's body. */
  bodyPause: buildDurationSchema(100, 10 * MINUTE_MS).prefault('10s'),
  /** Maximum number of requests that wait at one gate. */
  queueLength: z.int().min(0).max(10_000).default(64),
  /** Maximum time that a request waits at one gate. */
  queueWait: buildDurationSchema(0, MINUTE_MS).prefault('200ms'),
  /** Maximum number of concurrent requests at a cold worker. */
  coldConcurrency: z.int().min(1).max(1000).default(1),
  /** Maximum requests per second sent to a cold worker; unlimited if absent. */
  coldRate: z.number().positive().optional(),
  /** Maximum number of concurrent requests of one caller at one entry. */
  callerConcurrency: z.int().min(1).max(100_000).default(256),
});

const retriesSchema = z.strictObject({
  /** Maximum number of attempts of one request, including the first. */
  maxAttempts: z.int().min(1).max(10).default(3),
  /** Retries as a percentage of the service's calls at one entry. */
  budgetPercent: z.number().min(0).max(100).default(10),
  /** Maximum number of unused retries that an entry accumulates for a burst. */
  budgetBurst: z.number().min(0).max(MAX_RETRY_BURST).default(20),
  /** Maximum retries of one request that do not draw on the budget. */
  maxRefusals: z.int().min(0).max(100).default(10),
  /** Whether `budgetBurst` is divided among all entries. */
  sharesBurst: z.boolean().default(false),
  /** Whether a retry after a gate's capacity refusal draws on the budget. */
  paysForRefusals: z.boolean().default(true),
});

const hedgingSchema = z.strictObject({
  enabled: z.boolean().default(true),
  /** Hedged attempts as a percentage of the idempotent calls at one entry. */
  budgetPercent: z.number().min(0).max(50).default(2),
  /** Latency quantile after which the second attempt is sent. */
  quantile: z.number().min(0.5).max(0.999).default(0.99),
});

const probesSchema = z.strictObject({
  /** Maximum probes per second of one upstream, from all sources together. */
  ratePerSecond: z.number().min(0).max(100).default(1),
  burst: z.int().min(1).max(100).default(2),
  path: z.string().startsWith('/').default('/health'),
  timeLimit: buildDurationSchema(1, MINUTE_MS).prefault('500ms'),
});

const idempotencySchema = z.strictObject({
  /** Time during which callers may resend a key. */
  keyLifetime: buildDurationSchema(SECOND_MS, 24 * HOUR_MS).prefault('10m'),
  /**
   * Time for which a key home keeps accepting keys without confirming the end
   * of the log.
   */
  freshnessLimit: buildDurationSchema(SECOND_MS, HOUR_MS).prefault('2m'),
  /** Maximum size of an answer kept for replay. */
  maxAnswer: buildSizeSchema(0, 16 * MIB).prefault('64KiB'),
  /** Maximum number of keys that one node stores. */
  maxKeys: z.int().min(1).max(10_000_000).default(100_000),
});

const movesSchema = z.strictObject({
  /** Percentage of traffic that a new version gets during its trial. */
  trialPercent: z.number().min(0.1).max(MAX_TRIAL_PERCENT).default(5),
  /** Whether rarely used routes need no evidence. */
  skipsRareRoutes: z.boolean().default(false),
  /** Answers per route that are required before each step. */
  evidenceAnswers: z.int().min(1).max(100_000).default(20),
  /** Percentage points of failures above the old version that count as bad. */
  failureMarginPercent: z.number().min(0).max(100).default(5),
  /** Ratio to the old version's median duration that counts as slow. */
  slowdownFactor: z.number().min(1).max(100).default(2),
});

/** Schema of a profile. */
/** Routing between data centres. */
const localitySchema = z.strictObject({
  /** Whether workers of the entry's own data centre come first. */
  mode: z.enum(['any', 'prefer-own']).default('any'),
});

/** Use of a worker's slots by different kinds of requests. */
const admissionSchema = z.strictObject({
  /** Whether a gate reserves capacity for nested calls. */
  reservesForCalls: z.boolean().default(false),
  /** Whether requests with slack wait in the gate's queue instead of retrying. */
  queuesPatientWork: z.boolean().default(false),
  /** Whether the bytes that a worker holds are bounded after crashes. */
  boundsWorkerBytes: z.boolean().default(false),
});

/** Refusals of requests that can't be served. */
const refusalsSchema = z.strictObject({
  /** Whether an entry refuses requests when no worker has capacity. */
  atEntry: z.boolean().default(false),
});

export const profileSchema = z
  .strictObject({
    balancing: z.enum(BALANCING_POLICIES).default('adaptive'),
    /** Latency advantage required of a worker in another data centre. */
    farCost: buildDurationSchema(0, SECOND_MS).prefault('3ms'),
    timeLimit: buildDurationSchema(1, MAX_TIME_LIMIT_MS).prefault('2s'),
    maxTimeLimit: buildDurationSchema(1, MAX_TIME_LIMIT_MS).prefault('30s'),
    routes: z.array(routeSchema).default([]),
    limits: limitsSchema.prefault({}),
    retries: retriesSchema.prefault({}),
    hedging: hedgingSchema.prefault({}),
    probes: probesSchema.prefault({}),
    idempotency: idempotencySchema.prefault({}),
    moves: movesSchema.prefault({}),
    locality: localitySchema.prefault({}),
    admission: admissionSchema.prefault({}),
    refusals: refusalsSchema.prefault({}),
  })
  .refine(profile => profile.timeLimit <= profile.maxTimeLimit, {
    path: ['timeLimit'],
    message: 'time_limit may not exceed max_time_limit',
  })
  .refine(
    profile =>
      profile.idempotency.freshnessLimit <= profile.idempotency.keyLifetime,
    {
      path: ['idempotency', 'freshnessLimit'],
      message: 'freshness_limit may not exceed key_lifetime',
    },
  );

const serviceSchema = z.strictObject({
  profile: nameSchema,
  /** Version that gets all traffic while no move runs; any if absent. */
  version: z.string().min(1).max(64).optional(),
});

const routeTargetSchema = z.strictObject({
  service: nameSchema,
  /** Share of the route's requests, relative to the sum of all weights. */
  weight: z.number().positive().default(1),
});

/**
 * A route by host and path. It takes precedence over routing by the first path
 * segment.
 */
const routeRuleSchema = z.strictObject({
  name: z.string().min(1).max(128),
  /** Value of the Host header, without a port. */
  host: z.string().min(1).max(255),
  /** Begins and ends with a slash; the longest matching prefix wins. */
  pathPrefix: z.string().regex(/^\/(.*\/)?$/, 'allowed: "/" or "/name/"'),
  targets: z.array(routeTargetSchema).min(1),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  timeLimit: buildDurationSchema(1, MAX_TIME_LIMIT_MS),
  /** Latency target, after which an answer counts as late. */
  targetLatency: buildDurationSchema(1, MAX_TIME_LIMIT_MS).optional(),
  /** Maximum number of workers that one request is sent to. */
  maxAttempts: z.int().min(1).max(100).optional(),
  /** Priority among requests of a service; 0 is the highest. */
  rank: z.int().min(0).max(1000).default(0),
});

/** Limits on callers' headers and on their idle connections. */
const callerLimitsSchema = z.strictObject({
  maxHeader: buildSizeSchema(1024, MAX_HEADER_BYTES).prefault('16KiB'),
  headerTimeout: buildDurationSchema(100, 10 * MINUTE_MS).prefault('10s'),
  idleTimeout: buildDurationSchema(100, HOUR_MS).prefault('75s'),
});

/** Schema of the whole configuration: profiles, services and routes. */
export const configurationSchema = z
  .strictObject({
    profiles: z.record(nameSchema, profileSchema),
    services: z.record(nameSchema, serviceSchema),
    routes: z.array(routeRuleSchema).default([]),
    callers: callerLimitsSchema.prefault({}),
  })
  .superRefine((configuration, context) => {
    configuration.routes.forEach(({targets}, index) => {
      for (const {service} of targets) {
        if (service in configuration.services) continue;
        const known = Object.keys(configuration.services).join(', ') || 'none';
        context.addIssue({
          code: 'custom',
          path: ['routes', index, 'targets'],
          message: `no service "${service}"; allowed: ${known}`,
        });
      }
    });
    for (const [name, service] of Object.entries(configuration.services)) {
      if (!(service.profile in configuration.profiles)) {
        const known = Object.keys(configuration.profiles).join(', ') || 'none';
        context.addIssue({
          code: 'custom',
          path: ['services', name, 'profile'],
          message: `no profile "${service.profile}"; allowed: ${known}`,
        });
      }
    }
  });

export type RouteRule = z.output<typeof routeRuleSchema>;
export type CallerLimits = z.output<typeof callerLimitsSchema>;
export type Route = z.output<typeof routeSchema>;
export type Profile = z.output<typeof profileSchema>;
export type BalancingPolicy = Profile['balancing'];
export type Configuration = z.output<typeof configurationSchema>;
/** The configuration as published, with quantities as text, such as `2s`. */
export type ConfigurationInput = z.input<typeof configurationSchema>;
