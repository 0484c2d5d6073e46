/**
 * Reads the whole body of a message that is meant for the node itself. The
 * bound keeps a stray sender from filling the node's memory.
 */
import type {IncomingMessage} from 'node:http';
import {Reason, RefusalError} from '../protocol/reasons.js';

/** @throws RefusalError with reason `body-too-large` beyond the bound. */
export async function readWholeBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of message as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > maxBytes) throw new RefusalError(Reason.BODY_TOO_LARGE);
    parts.push(part);
  }
  return Buffer.concat(parts);
}
