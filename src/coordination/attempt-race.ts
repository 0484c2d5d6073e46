/** Waits for one of two attempts, or for one within a time. */
import type {AttemptAnswer} from '../protocol/attempt.js';

/** Returns whether an attempt ends, in whatever way, within a time. */
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
