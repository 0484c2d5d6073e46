/**
 * Bytes of a request, as a worker's memory has to hold them; see
 * `worker-bytes.ts`.
 */
import {Readable} from 'node:stream';
import {takeRest} from '../../protocol/body-rest.js';
import type {ServiceRequest} from '../../protocol/service-request.js';
import type {AdmissionRequest, Slot} from './worker-admission.js';

/** Separators of a header line, as it is sent. */
const HEADER_EXTRA_BYTES = 4;

/**
 * Adds the approximate bytes of a request for its admission. Of a body of
 * unknown length only the buffered start is included.
 */
export function addBytes(request: ServiceRequest): AdmissionRequest {
  const {path, headers, body} = request;
  let bytes = path.length + (findBodyLength(request) ?? body.held.length);
  for (const [name, value] of Object.entries(headers)) {
    for (const item of [value].flat()) {
      bytes += name.length + item.length + HEADER_EXTRA_BYTES;
    }
  }
  return {...request, bytes};
}

/** Returns the request; the rest of a body of unknown length is counted. */
export function countRestBytes(
  request: ServiceRequest,
  slot: Slot,
): ServiceRequest {
  const {held, rest} = request.body;
  if (!rest || findBodyLength(request) !== undefined) return request;
  const counted = Readable.from(countParts(rest, slot));
  // Its reader gets the error; an error without a listener ends the process.
  counted.on('error', () => {});
  return {...request, body: {held, rest: counted}};
}

async function* countParts(rest: Readable, slot: Slot): AsyncGenerator<Buffer> {
  for await (const part of takeRest(rest) as AsyncIterable<Buffer>) {
    slot.recordBytes?.(part.length);
    yield part;
  }
}

/** Returns the length of a body; undefined if it isn't known yet. */
function findBodyLength({headers, body}: ServiceRequest): number | undefined {
  if (!body.rest) return body.held.length;
  const text = [headers['content-length'] ?? ''].flat()[0] ?? '';
  return /^\d+$/.test(text) ? Number(text) : undefined;
}
