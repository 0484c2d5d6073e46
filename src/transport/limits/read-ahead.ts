/**
 * A stream that reads ahead of its reader. While the reader lags, small chunks
 * are gathered, since each chunk costs some hundred bytes however short it is:
 * half a MiB in chunks of one byte would take more memory than a node has.
 */
import {Transform} from 'node:stream';
import {ChunkList} from '../../protocol/chunk-list.js';

/** Unread bytes at which the reader counts as lagging. */
const LAG_BYTES = 2048;
/** Bytes that are gathered, and the size of chunks that are passed on alone. */
const GATHERED_BYTES = 4096;
/** Time after which gathered bytes are passed on all the same. */
const GATHER_MS = 20;

/**
 * Creates a stream that passes bytes on and reads ahead up to a limit. It fails
 * with the error that `findError` returns for the size of the next chunk.
 */
export function createReadAhead(
  maxUnreadBytes: number,
  findError: (chunkSize: number) => Error | undefined,
): Transform {
  const gathered = new ChunkList();
  let timer: NodeJS.Timeout | undefined;
  const pushGathered = (): void => {
    clearTimeout(timer);
    timer = undefined;
    if (gathered.size > 0 && !stream.destroyed) stream.push(gathered.take());
  };
  const stream = new Transform({
    readableHighWaterMark: maxUnreadBytes,
    transform(chunk: Buffer, encoding, callback) {
      const error = findError(chunk.length);
      if (error) {
        callback(error);
        return;
      }
      if (stream.readableLength < LAG_BYTES || chunk.length >= GATHERED_BYTES) {
        pushGathered();
        callback(null, chunk);
        return;
      }
      gathered.add(chunk);
      if (gathered.size >= GATHERED_BYTES) pushGathered();
      else timer ??= setTimeout(pushGathered, GATHER_MS);
      callback();
    },
    flush(callback) {
      pushGathered();
      callback();
    },
  });
  stream.once('close', () => clearTimeout(timer));
  return stream;
}
