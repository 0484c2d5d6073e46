/**
 * Copies of header sets. Headers of one connection never cross to another,
 * and a caller can't set the system's own headers.
 */
import {HOP_BY_HOP} from '../protocol/headers.js';
import type {Headers} from '../protocol/service-request.js';

const OWN_PREFIX = 'sequoiaspool-';

/** Copies the end-to-end headers of a message. */
export function copyEndToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Headers {
  const named = headers['connection'];
  const dropped =
    typeof named === 'string' && named !== 'keep-alive' && named !== 'close'
      ? new Set(named.toLowerCase().split(/[ ,]+/))
      : undefined;
  const copy: Headers = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name.startsWith(OWN_PREFIX) || dropped?.has(name)) continue;
    copy[name] = value;
  }
  return copy;
}

/** The first value of a header. */
export function findHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
