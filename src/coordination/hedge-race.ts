/** Waits for an attempt of a call and its hedge, which run in parallel. */
import type {AttemptAnswer} from '../protocol/attempt.js';

/** Whether an attempt settles within a time. */
export function isSettledWithin(
  attempt: Promise<unknown>,
  limitMs: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(false), limitMs);
    const settle = (): void => {
      clearTimeout(timer);
      resolve(true);
    };
    attempt.then(settle, settle);
  });
}

/** Returns which attempt succeeded first, or `main` when both failed. */
export async function waitForFirst(
  main: Promise<AttemptAnswer>,
  hedge: Promise<AttemptAnswer>,
): Promise<'main' | 'hedge'> {
  try {
    return await Promise.any([
      main.then(() => 'main' as const),
      hedge.then(() => 'hedge' as const),
    ]);
  } catch {
    return 'main';
  }
}
