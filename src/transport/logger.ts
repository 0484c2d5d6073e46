/**
 * JSON log lines by roarr, with the node's name in each. A request's id and
 * service go into the context of lines about it.
 */
import './enable-logs.js';
import {ROARR, Roarr} from 'roarr';
import type {NodeSettings} from '../protocol/settings.js';

const LEVELS = {debug: 20, info: 30, warn: 40, error: 50} as const;

type Level = keyof typeof LEVELS;
/** Values that go with a line. */
export type LogContext = Readonly<Record<string, string | number | boolean>>;

/** Writes log lines of one node. */
export interface Logger {
  /** Whether lines of this level are written. */
  has(level: Level): boolean;
  write(level: Level, text: string, context?: LogContext): void;
}

/** Lines of one text per second; the rest are counted and left out. */
const MAX_LINES_PER_SECOND = 50;
const SECOND_MS = 1000;

/**
 * Creates a logger that writes JSON lines.
 *
 * @param writeLine takes each line; standard error without.
 */
export function createLogger(
  nodeId: string,
  settings: NodeSettings['logging'],
  writeLine: (line: string) => void = line =>
    void process.stderr.write(`${line}\n`),
): Logger {
  ROARR.write = writeLine;
  const bound = new LineBound();
  const log = Roarr.child({node: nodeId});
  const least = LEVELS[settings.level];
  return {
    has: level => LEVELS[level] >= least,
    write: (level, text, context = {}) => {
      if (LEVELS[level] < least) return;
      const omitted = bound.take(text);
      if (omitted === undefined) return;
      log[level](omitted > 0 ? {...context, omitted} : {...context}, text);
    },
  };
}

/** Bounds the lines of each text, so that a flood of one hides no other. */
class LineBound {
  private readonly counts = new Map<string, {since: number; lines: number}>();

  /** Lines left out before this one; undefined when it is left out too. */
  take(text: string): number | undefined {
    const now = performance.now();
    const known = this.counts.get(text);
    if (!known || now - known.since >= SECOND_MS) {
      this.counts.set(text, {since: now, lines: 1});
      return Math.max(0, (known?.lines ?? 0) - MAX_LINES_PER_SECOND);
    }
    known.lines += 1;
    return known.lines > MAX_LINES_PER_SECOND ? undefined : 0;
  }
}
