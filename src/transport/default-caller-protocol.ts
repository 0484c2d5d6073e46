/**
 * The default protocol between callers and an entry. The service of a request
 * is that of the matching host and path route; if none matches, the first path
 * segment names the service.
 */
import type {IncomingMessage} from 'node:http';
import type {Profile, RouteRule} from '../protocol/configuration.js';
import {REQUEST_ID, VERDICT} from '../protocol/headers.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import {Verdict} from '../protocol/verdict.js';
import {writeRefusal} from './answer-writer.js';
import type {CallerProtocol} from './caller-listener.js';
import type {RoutedTarget} from './request-reader.js';
import {
  parseTarget,
  readRequestId,
  readServiceRequest,
} from './request-reader.js';

/** Lookups in the configuration in force. */
export interface RouteLookup {
  findProfile(service: string): Profile | undefined;
  /** Returns the route of a host and path, or undefined if none matches. */
  findRoute(host: string, path: string): RouteRule | undefined;
  /** Chooses the service for the next request of a route. */
  chooseService(rule: RouteRule): string;
}

/** Creates the default caller protocol. */
export function createDefaultCallerProtocol(
  lookup: RouteLookup,
): CallerProtocol {
  return {
    readId: readRequestId,
    readRequest: (message, id) => {
      const target = findTarget(lookup, message);
      const profile = lookup.findProfile(target.service);
      if (!profile) {
        const {service} = target;
        throw new RefusalError(Reason.UNKNOWN_SERVICE, 'not-run', service);
      }
      return readServiceRequest(message, id, target, profile);
    },
    buildAnswerHeaders: id => ({[REQUEST_ID]: id, [VERDICT]: Verdict.RAN}),
    writeRefusal,
  };
}

function findTarget(
  lookup: RouteLookup,
  message: IncomingMessage,
): RoutedTarget {
  const path = message.url ?? '/';
  const rule = lookup.findRoute(message.headers.host ?? '', path);
  if (!rule) return parseTarget(path);
  return {service: lookup.chooseService(rule), path, rule};
}
