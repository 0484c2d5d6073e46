/**
 * Choice of a key's home by rendezvous hashing: each home of the list gets a
 * score for the key and the highest wins, so a change of the list moves only
 * the keys of the homes that came or went.
 */
import type {KeyHome} from '../protocol/records.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FACTOR_1 = 0x85ebca6b;
const MIX_FACTOR_2 = 0xc2b2ae35;

const hashesOfLists = new WeakMap<readonly KeyHome[], readonly number[]>();

/** Chooses the home of a key; undefined when the list is empty. */
export function chooseHome(
  homes: readonly KeyHome[],
  service: string,
  key: string,
): KeyHome | undefined {
  const hashes = findHashes(homes);
  const keyHash = computeHash(key, computeHash(service, FNV_OFFSET));
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

/** Order of nodes for a task of a service, the same at each node. */
export function computeRank(text: string, nodeId: string): number {
  const textHash = computeHash(text, FNV_OFFSET);
  return mergeHashes(textHash, computeHash(nodeId, FNV_OFFSET));
}

function findHashes(homes: readonly KeyHome[]): readonly number[] {
  let hashes = hashesOfLists.get(homes);
  if (!hashes) {
    hashes = homes.map(home => computeHash(home.nodeId, FNV_OFFSET));
    hashesOfLists.set(homes, hashes);
  }
  return hashes;
}

/** FNV-1a of a text, going on from an earlier hash. */
function computeHash(text: string, start: number): number {
  let hash = start;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/** The finalizer of MurmurHash3, so that close inputs give distant scores. */
function mergeHashes(first: number, second: number): number {
  let hash = first ^ Math.imul(second, FNV_PRIME);
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTOR_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}
