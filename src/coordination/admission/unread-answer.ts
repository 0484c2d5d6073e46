/**
 * Observes whether the reader of a large answer keeps up with the worker.
 * Addresses callers that read slowly: the answer is read from the worker only
 * as it is passed on, so that it occupies a slot for as long as its reader
 * takes.
 */
import type {Readable} from 'node:stream';

/**
 * Time without reading after which an answer no longer occupies its slot. A
 * worker cuts off an unread answer after some seconds, which isn't noticed on a
 * connection that isn't read.
 */
export const UNREAD_TIMEOUT_MS = 5000;

/** Handlers of a reader that is slower than the worker. */
export interface ReaderHandlers {
  /** Called once when the reader is slower than the worker. */
  readonly handleSlow: () => void;
  /** Called when nothing was read for UNREAD_TIMEOUT_MS. */
  readonly handleUnread: () => void;
}

/** Watches how a stream that is piped to its reader is read. */
export function watchReader(
  stream: Readable,
  {handleSlow, handleUnread}: ReaderHandlers,
): void {
  stream.once('pause', handleSlow);
  let timer: NodeJS.Timeout | undefined;
  // Piping pauses the stream each time that the reader's buffer is full.
  stream.on('pause', () => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      if (stream.readableFlowing === false) handleUnread();
    }, UNREAD_TIMEOUT_MS);
    timer.unref();
  });
  stream.once('close', () => clearTimeout(timer));
}
