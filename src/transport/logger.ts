/**
 * Writes JSON log lines with roarr. Each line has the node's id; lines about a
 * request have its id and service in their context.
 */
import './enable-logs.js';
import {ROARR, Roarr} from 'roarr';
import type {NodeSettings} from '../protocol/settings.js';

const LEVELS = {debug: 20, info: 30, warn: 40, error: 50} as const;

type Level = keyof typeof LEVELS;
/** Values logged with a line. */
export type LogContext = Readonly<Record<string, string | number | boolean>>;

/** Writes log lines of one node. */
export interface Logger {
  /** Whether lines of this level are written. */
  has(level: Level): boolean;
  write(level: Level, text: string, context?: LogContext): void;
  /** Sets the least level that is written. */
  setLevel(level: Level): void;
}

/** Maximum lines per second of one text; more are counted and omitted. */
const MAX_LINES_PER_SECOND = 50;
const WINDOW_MS = 1000;

/**
 * Creates a logger that writes JSON lines.
 *
 * @param writeLine called with each line; writes to standard error by default.
 */
export function createLogger(
  nodeId: string,
  settings: NodeSettings['logging'],
  writeLine: (line: string) => void = line =>
    void process.stderr.write(`${line}\n`),
): Logger {
  ROARR.write = writeLine;
  const rateLimit = new LineRateLimit();
  const log = Roarr.child({node: nodeId});
  let minLevel: number = LEVELS[settings.level];
  return {
    has: level => LEVELS[level] >= minLevel,
    setLevel: level => {
      minLevel = LEVELS[level];
    },
    write: (level, text, context = {}) => {
      if (LEVELS[level] < minLevel) return;
      const omitted = rateLimit.countOmitted(text);
      if (omitted === undefined) return;
      log[level](omitted > 0 ? {...context, omitted} : {...context}, text);
    },
  };
}

/** Limits the rate of each text, so that one frequent text hides no other. */
class LineRateLimit {
  private readonly windows = new Map<string, {since: number; lines: number}>();

  /**
   * Returns the number of lines omitted before this one, or undefined if this
   * one is to be omitted too.
   */
  countOmitted(text: string): number | undefined {
    const now = performance.now();
    const window = this.windows.get(text);
    if (!window || now - window.since >= WINDOW_MS) {
      this.windows.set(text, {since: now, lines: 1});
      return Math.max(0, (window?.lines ?? 0) - MAX_LINES_PER_SECOND);
    }
    window.lines += 1;
    return window.lines > MAX_LINES_PER_SECOND ? undefined : 0;
  }
}
