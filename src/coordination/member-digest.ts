/**
 * Digests of a member table, divided into buckets by a hash of the node id.
 * Two nodes compare digests and send only the members of the buckets that
 * differ, so that the cost of a comparison does not depend on the number of
 * members as long as no update was lost.
 */
import type {Member} from '../protocol/membership_pb.js';
import {MemberStatus} from '../protocol/membership_pb.js';

const BUCKET_COUNT = 32;
const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the index of the bucket that holds a node's record. */
export function computeBucket(nodeId: string): number {
  return computeHash(nodeId) % BUCKET_COUNT;
}

/**
 * Returns the digest of each bucket. Dead members are left out, because nodes
 * remove them at different times.
 */
export function computeBucketDigests(members: readonly Member[]): number[] {
  const digests = new Array<number>(BUCKET_COUNT).fill(0);
  for (const member of members) {
    if (member.status === MemberStatus.DEAD) continue;
    const {nodeId, incarnation, sequence, status} = member;
    const bucket = computeBucket(nodeId);
    const hash = computeHash(`${nodeId} ${incarnation} ${sequence} ${status}`);
    digests[bucket] = (digests[bucket]! ^ hash) >>> 0;
  }
  return digests;
}

/** Returns the indexes of the buckets whose digests differ. */
export function compareBucketDigests(
  own: readonly number[],
  other: readonly number[],
): number[] {
  const differing: number[] = [];
  own.forEach((digest, bucket) => {
    if (digest !== other[bucket]) differing.push(bucket);
  });
  return differing;
}

/** Returns the 32-bit FNV-1a hash of a text. */
function computeHash(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
