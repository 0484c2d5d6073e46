/**
 * Reads the complete body of a message to the node itself. The size limit keeps
 * an unknown sender from filling the node's memory.
 */
import type {IncomingMessage} from 'node:http';
import {Reason, RefusalError} from '../protocol/reasons.js';

/**
 * Reads a complete body.
 *
 * @throws RefusalError with reason `body-too-large` above `maxBytes`.
 */
export async function readWholeBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maxBytes) throw new RefusalError(Reason.BODY_TOO_LARGE);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
