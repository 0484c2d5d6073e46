/**
 * Chooses the home of an idempotency key, the node that owns it, by rendezvous
 * hashing: each home in the list gets a score for the key and the highest score
 * wins, so a change of the list moves only the keys of added or removed homes.
 */
import type {KeyHome} from '../protocol/records.js';

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MURMUR_FACTOR_1 = 0x85ebca6b;
const MURMUR_FACTOR_2 = 0xc2b2ae35;

const nodeHashesByList = new WeakMap<readonly KeyHome[], readonly number[]>();

/** Returns the home of a key, or undefined when the list is empty. */
export function chooseHome(
  homes: readonly KeyHome[],
  service: string,
  key: string,
): KeyHome | undefined {
  const hashes = findNodeHashes(homes);
  const keyHash = computeHash(key, computeHash(service, FNV_OFFSET_BASIS));
  let best: KeyHome | undefined;
  let bestScore = -1;
  for (const [index, home] of homes.entries()) {
    const score = mergeHashes(keyHash, hashes[index]!);
    const isBetter =
      score > bestScore || (score === bestScore && home.nodeId < best!.nodeId);
    if (!isBetter) continue;
    best = home;
    bestScore = score;
  }
  return best;
}

/**
 * Returns the score by which nodes are ordered for a task of a service. All
 * nodes compute the same order.
 */
export function computeNodeScore(text: string, nodeId: string): number {
  const textHash = computeHash(text, FNV_OFFSET_BASIS);
  return mergeHashes(textHash, computeHash(nodeId, FNV_OFFSET_BASIS));
}

function findNodeHashes(homes: readonly KeyHome[]): readonly number[] {
  let hashes = nodeHashesByList.get(homes);
  if (!hashes) {
    hashes = homes.map(home => computeHash(home.nodeId, FNV_OFFSET_BASIS));
    nodeHashesByList.set(homes, hashes);
  }
  return hashes;
}

/** Computes the FNV-1a hash of a text, continuing from an earlier hash. */
function computeHash(text: string, start: number): number {
  let hash = start;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Combines two hashes and applies the finalizer of MurmurHash3, so that similar
 * inputs give unrelated scores.
 */
function mergeHashes(first: number, second: number): number {
  let hash = first ^ Math.imul(second, FNV_PRIME);
  hash = Math.imul(hash ^ (hash >>> 16), MURMUR_FACTOR_1);
  hash = Math.imul(hash ^ (hash >>> 13), MURMUR_FACTOR_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}
