/**
 * Profiles and services: what operators publish through the platform log.
 * Each service picks one named profile, which holds routes, limits, time
 * limits, budgets and the balancing policy. The schema is the single source
 * of the types, and each default is the documented one.
 */
import * as z from 'zod';
import {buildDurationSchema, buildSizeSchema} from './quantities.js';

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const KIB = 1024;
const MIB = 1024 * KIB;

/** Names of services, profiles, data centres and routes. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    'allowed: a lower case letter, then letters, digits and "-", at most 63',
  );

/** How an entry chooses a worker; three of them are baselines. */
export const BALANCING_POLICIES = [
  'adaptive',
  'random',
  'round-robin',
  'least-in-flight',
  // By the pace that workers tell, for workers that share their hosts.
  'paced',
] as const;

const routeSchema = z.strictObject({
  name: nameSchema,
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'PATCH']).optional(),
  /** Path below the service segment, such as `/tickets`. */
  pathPrefix: z.string().startsWith('/').default('/'),
  /** Overrides what the method says about running twice. */
  idempotent: z.boolean().optional(),
  /** Overrides the profile's time limit. */
  timeLimit: buildDurationSchema(1, HOUR_MS).optional(),
});

const limitsSchema = z.strictObject({
  maxBody: buildSizeSchema(0, 1024 * MIB).prefault('64MiB'),
  /** Longest pause between two parts of a caller's body. */
  bodyPause: buildDurationSchema(100, 10 * MINUTE_MS).prefault('10s'),
  /** Requests that wait at one gate. */
  queueLength: z.int().min(0).max(10_000).default(64),
  /** Longest wait at one gate. */
  queueWait: buildDurationSchema(0, MINUTE_MS).prefault('200ms'),
  /** Concurrent requests that a cold worker bears. */
  coldConcurrency: z.int().min(1).max(1000).default(1),
  /** Requests per second that a cold worker bears; no such bound without. */
  coldRate: z.number().positive().optional(),
  /** Concurrent requests of one caller at one entry. */
  callerConcurrency: z.int().min(1).max(100_000).default(256),
});

const retriesSchema = z.strictObject({
  /** Tries of one request in all, the first included. */
  maxAttempts: z.int().min(1).max(10).default(3),
  /** Retries as a share of the calls of the service at one entry. */
  budgetPercent: z.number().min(0).max(100).default(10),
  /** Retries that an entry may save up; bounds a burst of them. */
  budgetBurst: z.number().min(0).max(1000).default(20),
  /** Gates that one request may ask in vain without cost. */
  maxRefusals: z.int().min(0).max(100).default(10),
  /** Whether that bound is for all entries together. */
  sharesBurst: z.boolean().default(false),
  /** Whether a gate's refusal for lack of room draws on the budget. */
  paysForRefusals: z.boolean().default(true),
});

const hedgingSchema = z.strictObject({
  enabled: z.boolean().default(true),
  /** Second tries as a share of the idempotent calls at one entry. */
  budgetPercent: z.number().min(0).max(50).default(2),
  /** The second try starts when the first is slower than this quantile. */
  quantile: z.number().min(0.5).max(0.999).default(0.99),
});

const probesSchema = z.strictObject({
  /** Probes per second that one upstream bears at most, from all sources. */
  ratePerSecond: z.number().min(0).max(100).default(1),
  burst: z.int().min(1).max(100).default(2),
  path: z.string().startsWith('/').default('/health'),
  timeLimit: buildDurationSchema(1, MINUTE_MS).prefault('500ms'),
});

const idempotencySchema = z.strictObject({
  /** How long callers may resend a key. */
  keyLifetime: buildDurationSchema(SECOND_MS, 24 * HOUR_MS).prefault('10m'),
  /** How long a key home works without word of the log's tail. */
  freshnessLimit: buildDurationSchema(SECOND_MS, HOUR_MS).prefault('2m'),
  /** Largest answer kept for replay. */
  maxAnswer: buildSizeSchema(0, 16 * MIB).prefault('64KiB'),
  /** Keys that one node remembers at most. */
  maxKeys: z.int().min(1).max(10_000_000).default(100_000),
});

const movesSchema = z.strictObject({
  /** Share of a version until it has proved good. */
  trialPercent: z.number().min(0.1).max(20).default(5),
  /** Whether a route that hardly any request takes needs no proof. */
  skipsRareRoutes: z.boolean().default(false),
  /** Answers per route that a step needs as evidence. */
  evidenceAnswers: z.int().min(1).max(100_000).default(20),
  /** Failures above the old version's share that count as bad, in percent. */
  failureMarginPercent: z.number().min(0).max(100).default(5),
  /** Slowdown against the old version's median that counts as slow. */
  slowdownFactor: z.number().min(1).max(100).default(2),
});

/** One named profile. */
export const profileSchema = z
  .strictObject({
    balancing: z.enum(BALANCING_POLICIES).default('adaptive'),
    /** What a worker in another data centre must be faster by. */
    farCost: buildDurationSchema(0, SECOND_MS).prefault('3ms'),
    timeLimit: buildDurationSchema(1, HOUR_MS).prefault('2s'),
    maxTimeLimit: buildDurationSchema(1, HOUR_MS).prefault('30s'),
    routes: z.array(routeSchema).default([]),
    limits: limitsSchema.prefault({}),
    retries: retriesSchema.prefault({}),
    hedging: hedgingSchema.prefault({}),
    probes: probesSchema.prefault({}),
    idempotency: idempotencySchema.prefault({}),
    moves: movesSchema.prefault({}),
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
  /** Version that gets all traffic while no move runs; any when absent. */
  version: z.string().min(1).max(64).optional(),
});

const routeTargetSchema = z.strictObject({
  service: nameSchema,
  /** Share of the route's requests, against the sum of all weights. */
  weight: z.number().positive().default(1),
});

/** A route by host and path, which goes before the first path segment. */
const routeRuleSchema = z.strictObject({
  name: z.string().min(1).max(128),
  /** Value of the Host header, without a port. */
  host: z.string().min(1).max(255),
  /** Begins and ends with a slash; the longest that fits wins. */
  pathPrefix: z.string().regex(/^\/(.*\/)?$/, 'allowed: "/" or "/name/"'),
  targets: z.array(routeTargetSchema).min(1),
  /** Whether running twice does no harm. */
  idempotent: z.boolean(),
  timeLimit: buildDurationSchema(1, HOUR_MS),
  /** Time after which an answer is late. */
  targetLatency: buildDurationSchema(1, HOUR_MS).optional(),
  /** Workers that one request may be sent to. */
  maxAttempts: z.int().min(1).max(100).optional(),
  /** Importance among requests of a service; 0 is the highest. */
  rank: z.int().min(0).max(1000).default(0),
});

/** What callers may send and how long connections of theirs may idle. */
const callerLimitsSchema = z.strictObject({
  maxHeader: buildSizeSchema(1024, MIB).prefault('16KiB'),
  headerTimeout: buildDurationSchema(100, 10 * MINUTE_MS).prefault('10s'),
  idleTimeout: buildDurationSchema(100, HOUR_MS).prefault('75s'),
});

/** Profiles, the services that pick them, and routes that lead to services. */
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
/** The configuration as published, with units in its texts. */
export type ConfigurationInput = z.input<typeof configurationSchema>;
