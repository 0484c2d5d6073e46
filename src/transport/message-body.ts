/**
 * Reads the complete body of a message to the node itself, or of an answer to
 * its own call. The size limit keeps a sender from filling the node's memory.
 */
import {ChunkList} from '../protocol/chunk-list.js';
import {Reason, RefusalError} from '../protocol/reasons.js';

/**
 * Reads a complete body. A longer one is left at the limit, which closes its
 * connection.
 *
 * @throws RefusalError with reason `body-too-large` above `maxBytes`.
 */
export async function readWholeBody(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer> {
  const chunks = new ChunkList();
  for await (const chunk of body) {
    chunks.add(chunk);
    if (chunks.size > maxBytes) throw new RefusalError(Reason.BODY_TOO_LARGE);
  }
  return chunks.take();
}
