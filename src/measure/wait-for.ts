/**
 * Waits for a condition instead of a fixed time, so that a busy machine makes a
 * test slower but does not change its result.
 */

const DEFAULT_TIMEOUT_MS = 30_000;
const POLL_MS = 20;

/**
 * Polls until the condition holds; an error of the check counts as not holding.
 *
 * @throws Error naming the condition when it does not hold before the timeout.
 */
export async function waitFor(
  condition: string,
  check: () => boolean | Promise<boolean>,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  let lastError: unknown;
  while (performance.now() < deadline) {
    try {
      if (await check()) return;
    } catch (error) {
      lastError = error;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  const detail = lastError === undefined ? '' : `: ${String(lastError)}`;
  throw new Error(`waited ${timeoutMs} ms for ${condition}${detail}`);
}
