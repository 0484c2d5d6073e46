/**
 * Copies headers from one message to another, without hop-by-hop headers and
 * without the load balancer's own, which a caller must not set.
 */
import {HOP_BY_HOP} from '../protocol/headers.js';
import type {Headers} from '../protocol/service-request.js';

const OWN_PREFIX = 'sequoiaspool-';

/** Copies the end-to-end headers of a message. */
export function copyEndToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Headers {
  const connectionHeader = headers['connection'];
  const connectionOptions =
    typeof connectionHeader === 'string' &&
    connectionHeader !== 'keep-alive' &&
    connectionHeader !== 'close'
      ? new Set(connectionHeader.toLowerCase().split(/[ ,]+/))
      : undefined;
  const copy: Headers = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name.startsWith(OWN_PREFIX) || connectionOptions?.has(name)) continue;
    copy[name] = value;
  }
  return copy;
}

/** Returns the first value of a header. */
export function findHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
