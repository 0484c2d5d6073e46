/**
 * Matches requests to the routes of a profile, which say whether a request is
 * idempotent and how long it may take.
 */
import type {Profile} from './configuration.js';

/** Properties of a request according to its profile. */
export interface RouteMatch {
  readonly name: string;
  readonly idempotent: boolean;
  readonly timeLimitMs: number;
}

const DEFAULT_ROUTE = 'default';

/** Methods that HTTP defines as idempotent. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'TRACE',
  'PUT',
  'DELETE',
]);

/**
 * Finds the first route that matches. Without one the method decides whether
 * the request is idempotent and the profile gives the time limit.
 */
export function findRoute(
  profile: Profile,
  method: string,
  path: string,
): RouteMatch {
  const route = profile.routes.find(
    candidate =>
      (candidate.method === undefined || candidate.method === method) &&
      path.startsWith(candidate.pathPrefix),
  );
  return {
    name: route?.name ?? DEFAULT_ROUTE,
    idempotent: route?.idempotent ?? IDEMPOTENT_METHODS.has(method),
    timeLimitMs: route?.timeLimit ?? profile.timeLimit,
  };
}
