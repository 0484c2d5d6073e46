/**
 * The product's own form of requests and answers. A route by host and path
 * goes first; without one the first path segment names the service.
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

/** What the protocol asks of the configuration in force. */
export interface RouteLookup {
  findProfile(service: string): Profile | undefined;
  /** The route of a host and path; undefined without one. */
  findRoute(host: string, path: string): RouteRule | undefined;
  /** The service that the next request of a route goes to. */
  chooseService(rule: RouteRule): string;
}

/** Creates the protocol over the configuration in force. */
export function createOwnProtocol(lookup: RouteLookup): CallerProtocol {
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
