/**
 * After a pause of this process its timers run before its sockets are read, so
 * what a timer concludes from silence may be refuted by bytes that wait there.
 */

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
