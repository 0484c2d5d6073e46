/**
 * Bounds on what clients make a node hold, derived from the memory that its
 * process has.
 */
const MIB = 1024 * 1024;
/** Used where the settings don't tell the memory of the process. */
const DEFAULT_HELD_BYTES = 32 * MIB;
/** Below this, one request with a large head would reach the bound. */
const MIN_HELD_BYTES = 4 * MIB;
/** The rest is for the program itself, its heap and the work on requests. */
const HELD_FRACTION = 0.25;

/** Bounds in bytes. */
export interface HeldLimits {
  readonly heldPerConnection: number;
  readonly heldPerNode: number;
}

/** What the settings tell about the process; all may be absent. */
export interface ProcessSettings {
  /** Memory of the process in units of 1,000,000 bytes. */
  readonly processMemoryMb?: number | undefined;
  readonly heldPerConnection?: number | undefined;
  readonly heldPerNode?: number | undefined;
}

const BYTES_PER_MB = 1_000_000;
const DEFAULT_CONNECTION_BYTES = 16 * MIB;

/** Computes the bounds of a node. */
export function computeHeldLimits(settings: ProcessSettings): HeldLimits {
  const {
    heldPerConnection = DEFAULT_CONNECTION_BYTES,
    heldPerNode = computeHeldBytes(settings.processMemoryMb),
  } = settings;
  return {
    heldPerNode,
    heldPerConnection: Math.min(heldPerConnection, heldPerNode / 2),
  };
}

function computeHeldBytes(processMemoryMb: number | undefined): number {
  if (processMemoryMb === undefined) return DEFAULT_HELD_BYTES;
  const bytes = Math.floor(processMemoryMb * BYTES_PER_MB * HELD_FRACTION);
  return Math.max(MIN_HELD_BYTES, bytes);
}
