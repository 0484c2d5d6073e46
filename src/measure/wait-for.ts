/**
 * Waits for a condition, never for a time: a busy machine makes it slower but
 * changes no verdict.
 */

const DEFAULT_LIMIT_MS = 30_000;
const POLL_MS = 20;

/**
 * Polls until the condition holds; an error counts as not holding.
 *
 * @throws Error naming the condition when it does not hold within the limit.
 */
export async function waitFor(
  condition: string,
  check: () => boolean | Promise<boolean>,
  limitMs = DEFAULT_LIMIT_MS,
): Promise<void> {
  const until = performance.now() + limitMs;
  let lastError: unknown;
  while (performance.now() < until) {
    try {
      if (await check()) return;
    } catch (error) {
      lastError = error;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  const detail = lastError === undefined ? '' : `: ${String(lastError)}`;
  throw new Error(`waited ${limitMs} ms for ${condition}${detail}`);
}
