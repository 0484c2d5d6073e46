/**
 * Reads the query of `/-/route`, which asks where a request would go, and builds
 * the request that it describes.
 */
import {randomUUID} from 'node:crypto';
import * as z from 'zod';
import type {Entry} from './coordination/entry.js';
import type {RouteSplitter} from './coordination/route-split.js';
import type {Profile, RouteRule} from './protocol/configuration.js';
import {buildDurationSchema} from './protocol/quantities.js';
import {findRoute} from './protocol/routes.js';
import type {ServiceRequest} from './protocol/service-request.js';
import {EMPTY_BODY} from './protocol/service-request.js';
import {formatFaults} from './protocol/settings.js';
import type {StateStore} from './state/state-store.js';
import type {NodeAnswer} from './transport/caller-listener.js';
import {
  buildRoutePolicy,
  computeFingerprint,
} from './transport/request-reader.js';

const MAX_TIME_MS = 3_600_000;
const MAX_RANK = 1000;
/** Caller of the described request; no real one has a space at the start. */
const CALLER = ' route';

const querySchema = z
  .strictObject({
    service: z.string().min(1).optional(),
    host: z.string().min(1).optional(),
    path: z.string().startsWith('/').default('/'),
    method: z.string().min(1).default('GET'),
    rank: z.coerce.number().int().min(0).max(MAX_RANK).optional(),
    'time-limit': buildDurationSchema(1, MAX_TIME_MS).optional(),
    target: buildDurationSchema(1, MAX_TIME_MS).optional(),
    nested: z.enum(['0', '1']).default('0'),
  })
  .refine(({service, host}) => service !== undefined || host !== undefined, {
    message: 'service or host is required',
  });

type RouteQuery = z.output<typeof querySchema>;

/** Builds the handler of `/-/route`; it changes nothing at the node. */
export function buildRouteHandler(
  entry: Pick<Entry, 'describeRoute'>,
  state: Pick<StateStore, 'findProfile' | 'routes'>,
  splitter: Pick<RouteSplitter, 'findNextService'>,
): (query: URLSearchParams) => NodeAnswer {
  return parameters => {
    const parsed = querySchema.safeParse(Object.fromEntries(parameters));
    if (!parsed.success)
      return {
        status: 400,
        body: {error: formatFaults(parsed.error).join('; ')},
      };
    const query = parsed.data;
    const {host, path} = query;
    const rule = host === undefined ? undefined : state.routes.find(host, path);
    const service =
      query.service ?? (rule ? splitter.findNextService(rule) : undefined);
    if (service === undefined) {
      const error = `no route of host ${host} and path ${path} is configured`;
      return {status: 404, body: {error}};
    }
    const profile = state.findProfile(service);
    if (!profile) {
      const error = `service ${service} is not configured`;
      return {status: 404, body: {error}};
    }
    const now = performance.now();
    const request = buildRequest({...query, service}, rule, profile, now);
    return {status: 200, body: entry.describeRoute(request, now)};
  };
}

/** Builds the request as a caller's is read, with the given values instead. */
function buildRequest(
  query: RouteQuery & {readonly service: string},
  rule: RouteRule | undefined,
  profile: Profile,
  now: number,
): ServiceRequest {
  const {service, method, path, rank, target} = query;
  const givenMs = query['time-limit'];
  const route = rule
    ? {...rule, timeLimitMs: rule.timeLimit}
    : findRoute(profile, method, path);
  const limitMs = Math.min(givenMs ?? route.timeLimitMs, profile.maxTimeLimit);
  const deadline = now + limitMs;
  return {
    id: randomUUID(),
    service,
    method,
    path,
    headers: {},
    caller: CALLER,
    deadline,
    ...(givenMs === undefined ? {} : {awaitedUntil: deadline}),
    route: route.name,
    idempotent: route.idempotent,
    ...buildRoutePolicy(rule, now),
    ...(rank === undefined ? {} : {rank}),
    ...(target === undefined ? {} : {targetAt: now + target}),
    ...(query.nested === '1' ? {isNested: true} : {}),
    fingerprint: computeFingerprint({service, path}, method, {}, EMPTY_BODY),
    body: EMPTY_BODY,
  };
}
