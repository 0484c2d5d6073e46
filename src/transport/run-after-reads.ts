/**
 * After a pause of this process its timers run before its sockets are read, so
 * what a timer concludes from silence may be refuted by bytes that wait there,
 * and a request may be read in one turn with the close of its connection.
 */
import type {Socket} from 'node:net';

/**
 * Calls a function once the sockets that are readable now have been read.
 *
 * @returns a function that cancels the call.
 */
export function runAfterReads(handle: () => void): () => void {
  // The event loop polls for input between timers and immediates.
  const immediate = setImmediate(handle);
  return () => clearImmediate(immediate);
}

/**
 * Runs a request unless its peer's close was waiting behind it. The event loop
 * reads the end of a connection one turn after the bytes before it.
 */
export function runUnlessClosed(socket: Socket, run: () => void): void {
  runAfterReads(() => {
    runAfterReads(() => {
      if (!socket.readableEnded && !socket.destroyed) run();
    });
  });
}
