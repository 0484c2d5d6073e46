/**
 * Identity of a node process. Processes at the same address have different
 * incarnations, and a later process has a larger one.
 */

/** Identity of a node process. */
export interface NodeIdentity {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
}

const INCARNATIONS_PER_MS = 1000;

/** Creates an incarnation from the clock and a random number. */
export function createIncarnation(nowMs: number, random: () => number): number {
  return (
    nowMs * INCARNATIONS_PER_MS + Math.floor(random() * INCARNATIONS_PER_MS)
  );
}

/** An address split into host and port. */
export interface ParsedAddress {
  readonly host: string;
  readonly port: number;
}

/** Splits an address such as `127.0.0.1:7001`. */
export function parseAddress(address: string): ParsedAddress {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
