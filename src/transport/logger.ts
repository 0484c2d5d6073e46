/**
 * JSON log lines by roarr, with the node's name in each. A request's id and
 * service go into the context of lines about it.
 */
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

/** Creates a logger that writes JSON lines to standard error. */
export function createLogger(
  nodeId: string,
  settings: NodeSettings['logging'],
): Logger {
  ROARR.write = line => void process.stderr.write(`${line}\n`);
  const log = Roarr.child({node: nodeId});
  const least = LEVELS[settings.level];
  return {
    has: level => LEVELS[level] >= least,
    write: (level, text, context = {}) => {
      if (LEVELS[level] >= least) log[level]({...context}, text);
    },
  };
}
