/**
 * Durations and sizes in settings: a number with its unit, because a number
 * without one does not show whether seconds or milliseconds are meant.
 */
import * as z from 'zod';

const DURATION_UNITS_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

const SIZE_UNITS_BYTES: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1024,
  MiB: 1024 ** 2,
  GiB: 1024 ** 3,
};

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/;
const SIZE_PATTERN = /^(\d+)(B|KiB|MiB|GiB)$/;

/**
 * Builds the schema of a duration such as `250ms`, `2s`, `10m` or `1h`, which
 * is parsed to milliseconds.
 */
export function buildDurationSchema(minMs: number, maxMs: number) {
  const allowed = `${formatDuration(minMs)} to ${formatDuration(maxMs)}`;
  const texts = z.string().meta({allowed});
  return texts.transform((text, context) => {
    const match = DURATION_PATTERN.exec(text);
    if (!match) {
      context.addIssue({
        code: 'custom',
        message: `"${text}" is not a duration; allowed: a number with ms, s, m or h, such as "250ms"`,
      });
      return z.NEVER;
    }
    const ms = Number(match[1]) * DURATION_UNITS_MS[match[2] as string]!;
    if (ms < minMs || ms > maxMs) {
      context.addIssue({
        code: 'custom',
        message: `"${text}" is out of range; allowed: ${minMs}ms to ${maxMs}ms`,
      });
      return z.NEVER;
    }
    return ms;
  });
}

/**
 * Builds the schema of a size such as `64KiB` or `8MiB`, which is parsed to
 * bytes.
 */
export function buildSizeSchema(minBytes: number, maxBytes: number) {
  const allowed = `${formatSize(minBytes)} to ${formatSize(maxBytes)}`;
  const texts = z.string().meta({allowed});
  return texts.transform((text, context) => {
    const match = SIZE_PATTERN.exec(text);
    if (!match) {
      context.addIssue({
        code: 'custom',
        message: `"${text}" is not a size; allowed: a whole number with B, KiB, MiB or GiB, such as "8MiB"`,
      });
      return z.NEVER;
    }
    const bytes = Number(match[1]) * SIZE_UNITS_BYTES[match[2] as string]!;
    if (bytes < minBytes || bytes > maxBytes) {
      context.addIssue({
        code: 'custom',
        message: `"${text}" is out of range; allowed: ${minBytes}B to ${maxBytes}B`,
      });
      return z.NEVER;
    }
    return bytes;
  });
}

/** Formats a duration in the largest unit that gives a whole number. */
export function formatDuration(ms: number): string {
  return formatQuantity(ms, DURATION_UNITS_MS, 'ms');
}

/** Formats a size in the largest unit that gives a whole number. */
export function formatSize(bytes: number): string {
  return formatQuantity(bytes, SIZE_UNITS_BYTES, 'B');
}

function formatQuantity(
  value: number,
  units: Readonly<Record<string, number>>,
  smallest: string,
): string {
  const fitting = Object.entries(units)
    .reverse()
    .find(([, size]) => value > 0 && value % size === 0);
  const [unit, size] = fitting ?? [smallest, 1];
  return `${value / size}${unit}`;
}
