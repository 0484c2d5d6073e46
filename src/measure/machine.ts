/**
 * Resource usage of the machine and of processes, read from /proc, so that a
 * measurement costs the measured process nothing.
 */
import {readFileSync} from 'node:fs';
import {cpus, loadavg} from 'node:os';

/** Clock ticks per second of the times in /proc; always 100 on Linux. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/** Resource usage of a process. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Load of the machine, reported with every measurement. */
export interface MachineLoad {
  readonly cores: number;
  /** Load averages over 1, 5 and 15 minutes. */
  readonly loadAverage: readonly number[];
}

/** Reads the processor time and memory of a process. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name is in parentheses and may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES,
  };
}

/** Sums the processor time of several processes. */
export function readCpuSeconds(pids: readonly number[]): number {
  return pids.reduce((sum, pid) => sum + readProcessUsage(pid).cpuSeconds, 0);
}

/** Reads the load of the machine. */
export function readMachineLoad(): MachineLoad {
  return {
    cores: cpus().length,
    loadAverage: loadavg().map(value => Math.round(value * 100) / 100),
  };
}

/** Returns the bytes that a process has read and written, sockets included. */
export function readInputOutput(pid: number): {bytes: number} {
  const text = readFileSync(`/proc/${pid}/io`, 'utf8');
  const find = (name: string): number =>
    Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(text)?.[1] ?? 0);
  return {bytes: find('rchar') + find('wchar')};
}
