/**
 * Bounds on what clients make a node hold, derived from what its process has:
 * memory and open descriptors. Each listener has a part of the descriptors, so
 * that the clients of one don't take those of the others, nor those of the node's
 * own connections to workers, other nodes and the store.
 */
import {readFileSync} from 'node:fs';

const MIB = 1024 * 1024;
/** Used where the settings don't tell the memory of the process. */
const DEFAULT_HELD_BYTES = 32 * MIB;
/** Below this, one request with a large head would reach the bound. */
const MIN_HELD_BYTES = 4 * MIB;
/** The rest is for the program itself, its heap and the work on requests. */
const HELD_FRACTION = 0.25;
const DEFAULT_DESCRIPTORS = 4096;
/** Descriptors for files and for the runtime itself. */
const FILE_DESCRIPTORS = 200;
/** Of a process with few descriptors, files take at most this fraction. */
const MAX_FILE_FRACTION = 0.5;
/** Fraction of the other descriptors that one listener's connections take. */
const LISTENER_FRACTIONS: Readonly<Record<string, number>> = {
  callers: 0.5,
  peers: 0.25,
};
/** Of any other listener, which only the node's own host and operators use. */
const SMALL_LISTENER_FRACTION = 1 / 32;
const MIN_CONNECTIONS = 8;

/** Bounds in bytes and numbers. */
export interface HeldLimits {
  readonly heldPerConnection: number;
  readonly heldPerNode: number;
  /** Returns how many connections a listener may have. */
  findMaxConnections(listener: string): number;
}

/** What the settings tell about the process; all may be absent. */
export interface ProcessSettings {
  /** Memory of the process in units of 1,000,000 bytes. */
  readonly processMemoryMb?: number | undefined;
  /** Open descriptors that the process may have. */
  readonly processDescriptors?: number | undefined;
  readonly heldPerConnection?: number | undefined;
  readonly heldPerNode?: number | undefined;
}

const BYTES_PER_MB = 1_000_000;
const DEFAULT_CONNECTION_BYTES = 16 * MIB;

/** Computes the bounds of a node. */
export function computeHeldLimits(
  settings: ProcessSettings,
  systemDescriptors = readDescriptorLimit(),
): HeldLimits {
  const {processMemoryMb, processDescriptors} = settings;
  const {
    heldPerConnection = DEFAULT_CONNECTION_BYTES,
    heldPerNode = computeHeldBytes(processMemoryMb),
  } = settings;
  const descriptors = countDescriptors(processDescriptors, systemDescriptors);
  const files = Math.min(FILE_DESCRIPTORS, descriptors * MAX_FILE_FRACTION);
  return {
    heldPerNode,
    heldPerConnection: Math.min(heldPerConnection, heldPerNode / 2),
    findMaxConnections: listener => {
      const fraction = LISTENER_FRACTIONS[listener] ?? SMALL_LISTENER_FRACTION;
      const count = Math.floor((descriptors - files) * fraction);
      return Math.max(MIN_CONNECTIONS, count);
    },
  };
}

/**
 * Counts the descriptors that a process may have. A platform may count sockets
 * by itself, up to the number that it tells the process, and leave the system a
 * limit for files alone: then that limit is just the part of files. Any other
 * limit holds for sockets, too.
 */
function countDescriptors(
  toldDescriptors: number | undefined,
  systemDescriptors: number,
): number {
  if (toldDescriptors === undefined) {
    return Math.min(DEFAULT_DESCRIPTORS, systemDescriptors);
  }
  const isForFilesAlone = systemDescriptors === FILE_DESCRIPTORS;
  return isForFilesAlone
    ? toldDescriptors
    : Math.min(toldDescriptors, systemDescriptors);
}

function computeHeldBytes(processMemoryMb: number | undefined): number {
  if (processMemoryMb === undefined) return DEFAULT_HELD_BYTES;
  const bytes = Math.floor(processMemoryMb * BYTES_PER_MB * HELD_FRACTION);
  return Math.max(MIN_HELD_BYTES, bytes);
}

/** Reads the limit of this process; infinite where the system tells none. */
function readDescriptorLimit(): number {
  try {
    const text = readFileSync('/proc/self/limits', 'utf8');
    const [, count] = /^Max open files +(\d+)/m.exec(text) ?? [];
    return Number(count ?? Infinity);
  } catch {
    // Other systems have no such file; the settings or the default hold there.
    return Infinity;
  }
}
